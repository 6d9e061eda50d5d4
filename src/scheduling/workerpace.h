//===- workerpace.h - Speed of a worker -------------------------*- C++ -*-===//
//
// Workers differ in speed, and one may become several times slower for seconds
// without reporting it. The run times of its tasks reveal that, both of those
// that ended and of those still running. A job of eight tasks meets one of
// eight slow workers among 48 three times in four, and ends with its slowest
// task.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_WORKERPACE_H
#define GERANIUMBAY_SCHEDULING_WORKERPACE_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// Learned speed of one worker.
struct WorkerPace {
  /// Decaying mean of ln(took / expected).
  double LogFactor = 0;
  Time LearnedAt{};
};

/// Updates the pace with a task that ran for \p RunTime where \p Expected was
/// expected.
void learnPace(WorkerPace &Pace, Duration Expected, Duration RunTime, Time Now);

/// How many times as long as expected tasks run there; 1 if nothing is known.
/// Decays over time.
double paceFactor(const WorkerPace &Pace, Time Now);

/// The same, estimated from a task that still runs after \p Age; 1 as long as
/// that shows nothing.
double paceFactorOf(Duration Expected, Duration Age);

/// A worker from this factor on counts as slow. Objectives of 1.6 times the
/// work leave no room for it, and healthy workers differ by half of it.
constexpr double SlowFactor = 2.0;

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_WORKERPACE_H
