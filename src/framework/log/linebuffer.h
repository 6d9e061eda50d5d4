//===- linebuffer.h - Log lines on their way out ----------------*- C++ -*-===//
//
// Holds log lines until the reader of the output takes them. It is bounded in
// bytes and in lines a second, failures go before the rest, and what is left
// out is counted. Nothing here waits.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_LOG_LINEBUFFER_H
#define GERANIUMBAY_FRAMEWORK_LOG_LINEBUFFER_H

#include "framework/clock/iclock.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace geraniumbay {

struct LineBufferLimits {
  /// What a reader that stands still may cost; some seconds of a busy process.
  std::size_t MaxBytes = std::size_t{256} << 10U;
  /// Lines a second that are no failures. A process at its highest load writes
  /// about a thousand.
  std::size_t UsualLines = 2000;
  /// Lines a second that tell of failures, beside the others.
  std::size_t FailureLines = 1000;
};

/// Lines in the order in which they came.
class LineBuffer {
public:
  explicit LineBuffer(LineBufferLimits Limits) : Limits_(Limits) {}

  /// Takes \p Line, which ends in a newline, or counts it as left out.
  void add(std::string_view Line, bool IsFailure, Time Now);

  /// What waits to be written.
  std::string_view waiting() const { return Waiting_; }
  /// Removes the first \p Count bytes, which have been written.
  void written(std::size_t Count) { Waiting_.erase(0, Count); }

  /// How many lines were left out since the last call.
  std::size_t takeLeftOut();

private:
  bool withinBudget(bool IsFailure, Time Now);

  const LineBufferLimits Limits_;
  std::string Waiting_;
  Time Second_;
  /// In the second that began at Second_.
  std::size_t UsualCount_ = 0;
  std::size_t FailureCount_ = 0;
  std::size_t LeftOut_ = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_LOG_LINEBUFFER_H
