//===- timerqueuetest.cpp - Tests of the timer queue ----------------------===//

#include "framework/clock/timerqueue.h"
#include "framework/clock/manualclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace geraniumbay {
namespace {

using std::chrono::milliseconds;

TEST(TimerQueueTest, RunsNothingBeforeItIsDue) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  int Runs = 0;
  Timers.after(milliseconds(10), [&] { ++Runs; });
  Clock.advance(milliseconds(9));
  EXPECT_EQ(Timers.runDue(), 0U);
  Clock.advance(milliseconds(1));
  EXPECT_EQ(Timers.runDue(), 1U);
  EXPECT_EQ(Runs, 1);
}

TEST(TimerQueueTest, ATimerMayCancelAnotherThatIsDueToo) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  bool SecondRan = false;
  TimerId Second;
  Timers.after(milliseconds(1), [&] { Timers.cancel(Second); });
  Second = Timers.after(milliseconds(1), [&] { SecondRan = true; });
  Clock.advance(milliseconds(2));
  Timers.runDue();
  EXPECT_FALSE(SecondRan);
}

TEST(TimerQueueTest, ATimerSetByATimerRunsTheNextTime) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  int Runs = 0;
  Timers.after(milliseconds(0), [&] {
    ++Runs;
    Timers.after(milliseconds(0), [&] { ++Runs; });
  });
  EXPECT_EQ(Timers.runDue(), 1U);
  EXPECT_EQ(Runs, 1);
  EXPECT_EQ(Timers.runDue(), 1U);
  EXPECT_EQ(Runs, 2);
}

RC_GTEST_PROP(TimerQueueTest, RunsInOrderOfTime,
              (const std::vector<std::uint8_t> &Delays)) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  std::vector<std::uint8_t> Ran;
  for (std::uint8_t Delay : Delays)
    Timers.after(milliseconds(Delay), [&Ran, Delay] { Ran.push_back(Delay); });
  Clock.advance(milliseconds(255));
  Timers.runDue();
  std::vector<std::uint8_t> Sorted = Delays;
  std::sort(Sorted.begin(), Sorted.end());
  RC_ASSERT(Ran == Sorted);
  RC_ASSERT(!Timers.nextDue().has_value());
}

} // namespace
} // namespace geraniumbay
