//===- workerpace.h - How fast a worker is ----------------------*- C++ -*-===//
//
// Workers differ in speed, and one may turn slow by some times for seconds
// without a word. Its own tasks tell: how long they took against what was
// expected, and how long those that run have taken so far. A job of eight tasks
// meets one of eight slow workers among 48 three times in four, and ends with
// its slowest task.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_WORKERPACE_H
#define GERANIUMBAY_SCHEDULING_WORKERPACE_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// What was learned of one worker.
struct WorkerPace {
  /// Decaying mean of ln(took / expected).
  double LogFactor = 0;
  Time LearnedAt{};
};

/// Takes a task that took \p Took where \p Expected was expected.
void learnPace(WorkerPace &Pace, Duration Expected, Duration RunTime, Time Now);

/// How many times as long as expected tasks take there, as far as is known; 1
/// if nothing is. What was learned fades.
double paceFactor(const WorkerPace &Pace, Time Now);

/// The same from a task that still runs after \p Age; 1 if it says nothing yet.
double paceFactorOf(Duration Expected, Duration Age);

/// From this factor on a worker counts as slow. Objectives of 1.6 times the
/// work leave no room for it, and the sound ones differ by half of it.
constexpr double SlowFactor = 2.0;

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_WORKERPACE_H
