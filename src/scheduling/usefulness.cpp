//===- usefulness.cpp - Deadlines of answers ------------------------------===//
//
// Computes both deadlines from the objective.
//
//===----------------------------------------------------------------------===//

#include "scheduling/usefulness.h"

#include "scheduling/durations.h"

#include <algorithm>

namespace geraniumbay::scheduling {

AnswerDeadlines answerDeadlines(const Objective &Goal, Duration Chain,
                                Time SentAt, Time CallerDeadline) {
  if (!Goal.isSet())
    return {CallerDeadline, CallerDeadline};
  Duration SoftLimit = scaled(Chain, Goal.Stretch) + Goal.Target;
  return {std::min(SentAt + SoftLimit, CallerDeadline),
          std::min(SentAt + SoftLimit * LateFactor, CallerDeadline)};
}

} // namespace geraniumbay::scheduling
