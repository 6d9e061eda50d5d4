//===- drainertest.cpp - Tests of the planned stop ------------------------===//

#include "app/internal/drainer.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"

#include <gtest/gtest.h>
#include <optional>

namespace geraniumbay::app {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DrainerTest : public testing::Test {
protected:
  void pass(Duration Time) {
    for (Duration Step = milliseconds(10); Time > Duration::zero();
         Time -= Step) {
      Clock_.advance(Step);
      Timers_.runDue();
    }
  }

  ManualClock Clock_;
  TimerQueue Timers_{Clock_};
  std::size_t InFlight_ = 1;
  bool Refusing_ = false;
  std::optional<std::size_t> Left_;
  Drainer Drainer_{Clock_, Timers_, seconds(5),
                   DrainHooks{[this] { Refusing_ = true; },
                              [this] { return InFlight_; },
                              [this](std::size_t Left) { Left_ = Left; }}};
};

TEST_F(DrainerTest, WaitsForWhatIsInFlight) {
  Drainer_.begin(true);
  EXPECT_TRUE(Refusing_);
  pass(seconds(2));
  EXPECT_FALSE(Left_.has_value());
  InFlight_ = 0;
  pass(milliseconds(100));
  EXPECT_EQ(Left_, 0U);
}

TEST_F(DrainerTest, ReportsWhatIsLeftAtItsBound) {
  Drainer_.begin(true);
  pass(seconds(6));
  EXPECT_EQ(Left_, 1U);
}

TEST_F(DrainerTest, ADrainWithoutAStopOnlyRefuses) {
  InFlight_ = 0;
  Drainer_.begin(false);
  pass(seconds(10));
  EXPECT_TRUE(Refusing_);
  EXPECT_FALSE(Left_.has_value());
}

} // namespace
} // namespace geraniumbay::app
