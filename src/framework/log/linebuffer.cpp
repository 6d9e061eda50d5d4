//===- linebuffer.cpp - Log lines on their way out ------------------------===//
//
// Budgets a second and the bound in bytes.
//
//===----------------------------------------------------------------------===//

#include "framework/log/linebuffer.h"

#include <utility>

namespace geraniumbay {

void LineBuffer::add(std::string_view Line, bool IsFailure, Time Now) {
  bool Fits = Waiting_.size() + Line.size() <= Limits_.MaxBytes;
  if (!withinBudget(IsFailure, Now) || !Fits) {
    ++LeftOut_;
    return;
  }
  Waiting_ += Line;
}

bool LineBuffer::withinBudget(bool IsFailure, Time Now) {
  constexpr Duration Second = std::chrono::seconds(1);
  if (Now - Second_ >= Second) {
    Second_ = Now;
    UsualCount_ = 0;
    FailureCount_ = 0;
  }
  if (IsFailure)
    return ++FailureCount_ <= Limits_.FailureLines;
  return ++UsualCount_ <= Limits_.UsualLines;
}

std::size_t LineBuffer::takeLeftOut() { return std::exchange(LeftOut_, 0); }

} // namespace geraniumbay
