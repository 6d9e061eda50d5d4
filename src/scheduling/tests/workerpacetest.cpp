//===- workerpacetest.cpp - Tests of worker speed -------------------------===//
//
// A sixth of the workers becomes six times slower for some seconds without
// reporting it, declared times are off by 40%, and healthy workers differ by a
// quarter either way.
//
//===----------------------------------------------------------------------===//

#include "scheduling/workerpace.h"
#include "framework/random/random.h"

#include <gtest/gtest.h>

#include <cmath>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

const Time Start{100s};

/// A random run time on a healthy worker; the declared time is off by 40%.
Duration healthyRunTime(Random &Rng, Duration Expected) {
  double Sum = 0;
  for (int I = 0; I < 12; ++I)
    Sum += Rng.unit();
  double Factor = std::exp((Sum - 6) * 0.4);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Expected.count()) * Factor));
}

TEST(WorkerPaceTest, TwoTasksThatTakeSixTimesAsLongMakeAWorkerSlow) {
  WorkerPace Pace;
  learnPace(Pace, 60ms, 390ms, Start);
  learnPace(Pace, 60ms, 390ms, Start + 100ms);
  EXPECT_GE(paceFactor(Pace, Start + 200ms), SlowFactor);
}

TEST(WorkerPaceTest, ARunningTaskRevealsASlowWorker) {
  EXPECT_EQ(paceFactorOf(60ms, 100ms), 1);
  EXPECT_GE(paceFactorOf(60ms, 200ms), SlowFactor);
}

TEST(WorkerPaceTest, HealthyWorkersAreSeldomMarkedSlow) {
  Random Rng(7);
  WorkerPace Pace;
  int Slow = 0;
  constexpr int Tasks = 10'000;
  for (int I = 0; I < Tasks; ++I) {
    Time Now = Start + I * 100ms;
    learnPace(Pace, 200ms, healthyRunTime(Rng, 200ms), Now);
    Slow += paceFactor(Pace, Now) >= SlowFactor ? 1 : 0;
  }
  // A false positive diverts a few tasks to other workers.
  EXPECT_LT(Slow, Tasks / 100);
}

TEST(WorkerPaceTest, TheLearnedFactorDecays) {
  WorkerPace Pace;
  for (int I = 0; I < 10; ++I)
    learnPace(Pace, 60ms, 390ms, Start);
  EXPECT_GE(paceFactor(Pace, Start), 6.0);
  EXPECT_LT(paceFactor(Pace, Start + 4s), SlowFactor);
}

TEST(WorkerPaceTest, WithoutAnExpectedTimeNothingIsLearned) {
  WorkerPace Pace;
  learnPace(Pace, Duration(0), 400ms, Start);
  EXPECT_EQ(paceFactor(Pace, Start), 1);
  EXPECT_EQ(paceFactorOf(Duration(0), 400ms), 1);
}

} // namespace
} // namespace geraniumbay::scheduling
