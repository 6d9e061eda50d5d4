//===- logsetup.h - Where events go -----------------------------*- C++ -*-===//
//
// The parts of log4cxx that the ways out of the log share.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_LOG_INTERNAL_LOGSETUP_H
#define GERANIUMBAY_FRAMEWORK_LOG_INTERNAL_LOGSETUP_H

#include "framework/log/log.h"

#include <log4cxx/appender.h>
#include <log4cxx/layout.h>

namespace geraniumbay {

/// The layout of every line.
log4cxx::LayoutPtr logLayout();

/// Sends events of \p Lowest and above to \p Appender alone.
void logTo(const log4cxx::AppenderPtr &Appender, LogLevel Lowest);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_LOG_INTERNAL_LOGSETUP_H
