//===- usefulness.h - Deadlines of answers ----------------------*- C++ -*-===//
//
// A queue's objective limits how long a job may take beyond its own work. An
// answer within it is in time. Up to LateFactor times as long it is late but
// still useful; after that it is useless, and its capacity is better given to
// other jobs.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_USEFULNESS_H
#define GERANIUMBAY_SCHEDULING_USEFULNESS_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// An answer that takes more than this many times the objective is useless. Not
/// configurable: the configuration names the objective only, and the factor is
/// part of the contract with users.
constexpr int LateFactor = 3;

/// The latency objective of a queue.
struct Objective {
  /// A job is in time if it ends within this many times its critical path...
  double Stretch = 1;
  /// ...plus this. With neither set there is no objective.
  Duration Target{0};

  bool isSet() const { return Stretch > 1 || Target.count() > 0; }
  bool operator==(const Objective &) const = default;
};

/// An answer is in time until the soft deadline, and useful until the hard one.
struct AnswerDeadlines {
  Time SoftDeadline;
  Time HardDeadline;
};

/// Deadlines of a job that its caller sent at \p SentAt, whose critical path
/// takes \p Chain, and whose caller waits until \p CallerDeadline. Without an
/// objective only the caller's deadline counts.
AnswerDeadlines answerDeadlines(const Objective &Goal, Duration Chain,
                                Time SentAt, Time CallerDeadline);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_USEFULNESS_H
