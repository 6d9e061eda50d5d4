//===- logboundstest.cpp - Bounds of the log ------------------------------===//

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/log/linebuffer.h"
#include "framework/log/outputlog.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace geraniumbay {
namespace {

using namespace std::chrono_literals;

const Time Start{1h};

TEST(LineBufferTest, UsualLinesLeaveRoomForFailures) {
  LineBuffer Lines({1000, 2, 1});
  for (int I = 0; I < 5; ++I)
    Lines.add("usual\n", false, Start);
  Lines.add("failure\n", true, Start);
  EXPECT_EQ(Lines.waiting(), "usual\nusual\nfailure\n");
  EXPECT_EQ(Lines.takeLeftOut(), 3U);
  EXPECT_EQ(Lines.takeLeftOut(), 0U);
  Lines.add("later\n", false, Start + 1s);
  EXPECT_EQ(Lines.takeLeftOut(), 0U);
}

TEST(LineBufferTest, AReaderThatStandsStillCostsNoMoreThanTheBound) {
  LineBuffer Lines({20, 100, 100});
  for (int I = 0; I < 10; ++I)
    Lines.add("12345678\n", false, Start);
  EXPECT_EQ(Lines.waiting().size(), 18U);
  EXPECT_EQ(Lines.takeLeftOut(), 8U);
  Lines.written(9);
  Lines.add("12345678\n", false, Start);
  EXPECT_EQ(Lines.waiting().size(), 18U);
}

// A pipe that nobody reads must not hold the process up.
TEST(OutputLogTest, ABlockedReaderHoldsNothingUp) {
  int Ends[2];
  ASSERT_EQ(::pipe(Ends), 0);
  ManualClock Clock;
  TimerQueue Timers(Clock);
  {
    OutputLog Log(LogLevel::Info, Ends[1], Clock, Timers);
    for (int I = 0; I < 20000; ++I) {
      logEvent(LogLevel::Info, "test", "event", {{"number", I}});
      Clock.advance(1ms);
      Timers.runDue();
    }
    std::string Read(1U << 20U, ' ');
    ssize_t Count = ::read(Ends[0], Read.data(), Read.size());
    EXPECT_GT(Count, 0);
    Clock.advance(1s);
    Timers.runDue();
    Count = ::read(Ends[0], Read.data(), Read.size());
    EXPECT_GT(Count, 0);
  }
  ::close(Ends[0]);
  ::close(Ends[1]);
  startLogging(LogLevel::Error, "");
}

} // namespace
} // namespace geraniumbay
