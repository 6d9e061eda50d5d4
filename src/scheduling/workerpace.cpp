//===- workerpace.cpp - Speed of a worker ---------------------------------===//
//
// Exponentially weighted mean that decays over time.
//
//===----------------------------------------------------------------------===//

#include "scheduling/workerpace.h"

#include "scheduling/durations.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

namespace {

/// Two consecutive tasks that take six times as long mark a worker as slow; one
/// whose declared time is off by the usual 40% does not.
constexpr double Weight = 0.35;
/// Limits the influence of a single task, in either direction.
constexpr double MaxLogFactor = 2.0;
/// Half-life of the learned factor: a worker that was slow for some seconds is
/// tried with single tasks again.
constexpr Duration HalfLife = std::chrono::seconds(2);
/// A running task counts only once it exceeds its expected time by this factor
/// and this margin, which one in a hundred does by chance.
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
