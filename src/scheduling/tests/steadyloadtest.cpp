//===- steadyloadtest.cpp - Telling many of a load that jumps -------------===//

#include "scheduling/steadyload.h"
#include "framework/random/random.h"

#include <gtest/gtest.h>

#include <cmath>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr Duration Interval = 300ms;

TEST(SteadyLoadTest, TheFirstValueIsToldAsItIs) {
  SmoothedValue Value;
  observe(Value, 0.6, Time());
  EXPECT_DOUBLE_EQ(valueToReport(Value, 0.06), 0.6);
}

// Forty places of which two thirds are busy, each task shorter than the
// interval: what is seen each time has nothing to do with the last time.
TEST(SteadyLoadTest, JumpsAroundTheSameUseAreSeldomTold) {
  Random Rng(7);
  SmoothedValue Value;
  double Last = -1;
  int Reports = 0;
  Time Now{};
  constexpr int Questions = 1000;
  constexpr int Places = 40;
  for (int I = 0; I < Questions; ++I, Now += Interval) {
    int Busy = 0;
    for (int Place = 0; Place < Places; ++Place)
      Busy += Rng.below(3) < 2 ? 1 : 0;
    observe(Value, static_cast<double>(Busy) / Places, Now);
    double Shown = valueToReport(Value, 1.0 / 16);
    Reports += Shown != Last ? 1 : 0;
    Last = Shown;
  }
  EXPECT_LT(Reports, Questions / 5);
}

TEST(SteadyLoadTest, ABurstIsToldWithinTwoQuestions) {
  SmoothedValue Value;
  Time Now{};
  for (int I = 0; I < 10; ++I, Now += Interval) {
    observe(Value, 0.5, Now);
    valueToReport(Value, 1.0 / 16);
  }
  observe(Value, 1.0, Now);
  EXPECT_GT(valueToReport(Value, 1.0 / 16), 0.7);
  observe(Value, 1.0, Now + Interval);
  EXPECT_GT(valueToReport(Value, 1.0 / 16), 0.8);
}

TEST(SteadyLoadTest, AnEmptyPoolIsToldAsEmpty) {
  SmoothedValue Value;
  Time Now{};
  observe(Value, 0.05, Now);
  valueToReport(Value, 1.0 / 16);
  for (int I = 0; I < 10; ++I, Now += Interval)
    observe(Value, 0, Now);
  EXPECT_DOUBLE_EQ(valueToReport(Value, 1.0 / 16), 0);
}

} // namespace
} // namespace geraniumbay::scheduling
