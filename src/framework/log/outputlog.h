//===- outputlog.h - The log on standard output -----------------*- C++ -*-===//
//
// Sends events to standard output without ever waiting for its reader.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_LOG_OUTPUTLOG_H
#define GERANIUMBAY_FRAMEWORK_LOG_OUTPUTLOG_H

#include "framework/clock/itimers.h"
#include "framework/log/linebuffer.h"
#include "framework/log/log.h"

#include <memory>

namespace geraniumbay {

class BufferAppender;

/// The log of a process that writes to \p Descriptor.
class OutputLog {
public:
  /// Takes over all events of \p Lowest and above. \p Clock and \p Timers
  /// outlive it; they write the lines in batches, which saves a system call a
  /// line.
  OutputLog(LogLevel Lowest, int Descriptor, const IClock &Clock,
            ITimers &Timers, LineBufferLimits Limits = {});
  ~OutputLog();
  OutputLog(const OutputLog &) = delete;
  OutputLog &operator=(const OutputLog &) = delete;

  /// Writes as much as the reader takes at once.
  void flush();

private:
  void flushLater();

  const int Descriptor_;
  const IClock &Clock_;
  ITimers &Timers_;
  LineBuffer Lines_;
  std::shared_ptr<BufferAppender> Appender_;
  TimerId Timer_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_LOG_OUTPUTLOG_H
