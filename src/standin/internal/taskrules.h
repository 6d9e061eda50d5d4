//===- taskrules.h - What a task of the stand-in does -----------*- C++ -*-===//
//
// Run times and answers as functions of the payload.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_STANDIN_INTERNAL_TASKRULES_H
#define GERANIUMBAY_STANDIN_INTERNAL_TASKRULES_H

#include "framework/random/random.h"
#include "standin/standinsettings.h"

#include <optional>
#include <string>

namespace geraniumbay::standin {

/// Returns the run time that a payload "run_ms=NNN;..." asks for; nothing if
/// it does not begin so or asks for more than ten minutes.
std::optional<Duration> runTimeIn(const std::string &Payload);

/// Draws a run time: exponential about the mean, kept within the bounds.
Duration drawRunTime(const StandInSettings &Settings, Random &Numbers);

/// Returns the right answer to \p Payload.
std::string resultOf(const std::string &Payload);

} // namespace geraniumbay::standin

#endif // GERANIUMBAY_STANDIN_INTERNAL_TASKRULES_H
