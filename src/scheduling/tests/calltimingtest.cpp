//===- calltimingtest.cpp - Tests of worker call statistics ---------------===//
//
// Covers bursts of orders from an owner with little processor time, and lost
// answers.
//
//===----------------------------------------------------------------------===//

#include "scheduling/calltiming.h"

#include <gtest/gtest.h>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr Duration Least = 60ms;
constexpr Duration Longest = 1000ms;

TEST(CallTimingTest, OrdersOfAQuickOwnerAreValidForTheLeastTime) {
  CallTiming Timing;
  EXPECT_EQ(orderValidity(Timing, Least, Longest), Least);
  noteAnswered(Timing, 5ms);
  EXPECT_EQ(orderValidity(Timing, Least, Longest), Least);
}

// Fifteen orders are sent at once, each answered 8 ms after the one before. The
// last takes 120 ms, and so will orders sent meanwhile.
TEST(CallTimingTest, OrdersSentWithAWideJobOutliveItsAnswers) {
  CallTiming Timing;
  for (int I = 1; I <= 15; ++I)
    noteAnswered(Timing, I * 8ms);
  EXPECT_GT(orderValidity(Timing, Least, Longest), 120ms);
  EXPECT_LE(orderValidity(Timing, Least, Longest), Longest);
}

TEST(CallTimingTest, ABurstDecays) {
  CallTiming Timing;
  noteAnswered(Timing, 200ms);
  for (int I = 0; I < 60; ++I)
    noteAnswered(Timing, 5ms);
  EXPECT_EQ(orderValidity(Timing, Least, Longest), Least);
}

TEST(CallTimingTest, ALostAnswerIsRememberedForSomeSeconds) {
  CallTiming Timing;
  Time Now{100s};
  EXPECT_FALSE(losesAnswers(Timing, Now));
  noteAnswerLost(Timing, Now);
  EXPECT_TRUE(losesAnswers(Timing, Now + 4s));
  EXPECT_FALSE(losesAnswers(Timing, Now + 6s));
}

} // namespace
} // namespace geraniumbay::scheduling
