//===- steadyloadtest.cpp - Tests of smoothed load reports ----------------===//

#include "scheduling/steadyload.h"
#include "framework/random/random.h"

#include <gtest/gtest.h>

#include <cmath>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr Duration Interval = 300ms;

TEST(SteadyLoadTest, TheFirstValueIsReportedUnchanged) {
  SmoothedValue Value;
  observe(Value, 0.6, Time());
  EXPECT_DOUBLE_EQ(valueToReport(Value, 0.06), 0.6);
}

// Of forty slots two thirds are busy, and each task is shorter than the
// interval, so successive samples are independent.
TEST(SteadyLoadTest, JumpsAroundTheSameLoadAreSeldomReported) {
  Random Rng(7);
  SmoothedValue Value;
  double Last = -1;
  int Reports = 0;
  Time Now{};
  constexpr int Polls = 1000;
  constexpr int Slots = 40;
  for (int I = 0; I < Polls; ++I, Now += Interval) {
    int Busy = 0;
    for (int Slot = 0; Slot < Slots; ++Slot)
      Busy += Rng.below(3) < 2 ? 1 : 0;
    observe(Value, static_cast<double>(Busy) / Slots, Now);
    double Reported = valueToReport(Value, 1.0 / 16);
    Reports += Reported != Last ? 1 : 0;
    Last = Reported;
  }
  EXPECT_LT(Reports, Polls / 5);
}

TEST(SteadyLoadTest, ABurstIsReportedWithinTwoPolls) {
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

TEST(SteadyLoadTest, AnEmptyPoolIsReportedAsEmpty) {
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
