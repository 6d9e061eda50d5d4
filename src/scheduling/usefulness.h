//===- usefulness.h - Until when an answer is of use ------------*- C++ -*-===//
//
// A queue's objective says how long a job may take beyond its own work. An
// answer within it is in time; up to LateFactor times as long it is late, but
// of some use; after that it is of none, and its room is better given to
// others.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_USEFULNESS_H
#define GERANIUMBAY_SCHEDULING_USEFULNESS_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// An answer this many times later than the objective is of no use any more.
/// The configuration names the objective only; the users' contract names this.
constexpr int LateFactor = 3;

/// What a queue promises its callers.
struct Objective {
  /// A job is in time within this many times its longest chain of work...
  double Stretch = 1;
  /// ...and this much more. Without it and without stretch there is none.
  Duration Target{0};

  bool isSet() const { return Stretch > 1 || Target.count() > 0; }
  bool operator==(const Objective &) const = default;
};

/// The moments that an answer's use depends on.
struct AnswerDeadlines {
  Time SoftDeadline;
  Time HardDeadline;
};

/// Of a job that its caller sent at \p Sent, whose longest chain of work takes
/// \p Chain, and whose caller waits until \p CallerDeadline. Without an
/// objective only the caller's own limit counts.
AnswerDeadlines answerDeadlines(const Objective &Goal, Duration Chain,
                                Time SentAt, Time CallerDeadline);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_USEFULNESS_H
