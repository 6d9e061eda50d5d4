//===- workerpace.cpp - How fast a worker is ------------------------------===//
//
// Exponentially weighted means that fade.
//
//===----------------------------------------------------------------------===//

#include "scheduling/workerpace.h"

#include "scheduling/durations.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

namespace {

/// Two tasks in a row that take six times as long make a worker slow; one whose
/// declared time is off by the usual 40% does not.
constexpr double Weight = 0.35;
/// A single task says no more than this, in either direction.
constexpr double MaxLogFactor = 2.0;
/// After this time without a task half of what was learned has faded: a worker
/// that turned slow for some seconds gets single tasks again.
constexpr Duration HalfLife = std::chrono::seconds(2);
/// A task that runs must have gone this many times over its expected time, and
/// this much more, to say something: one in a hundred does by chance.
constexpr double OverrunFactor = 2.5;
constexpr Duration OverrunMargin = std::chrono::milliseconds(40);

} // namespace

void learnPace(WorkerPace &Pace, Duration Expected, Duration RunTime,
               Time Now) {
  if (Expected.count() <= 0)
    return;
  double Log = std::clamp(std::log(ratio(RunTime, Expected)), -MaxLogFactor,
                          MaxLogFactor);
  double Current = std::log(paceFactor(Pace, Now));
  Pace.LogFactor = Current + (Log - Current) * Weight;
  Pace.LearnedAt = Now;
}

double paceFactor(const WorkerPace &Pace, Time Now) {
  return std::exp(decayed(Pace.LogFactor, Now - Pace.LearnedAt, HalfLife));
}

double paceFactorOf(Duration Expected, Duration Age) {
  if (Expected.count() <= 0 || Age < OverrunMargin)
    return 1;
  double Factor = ratio(Age - OverrunMargin, Expected);
  return Factor >= OverrunFactor ? Factor : 1;
}

} // namespace geraniumbay::scheduling
