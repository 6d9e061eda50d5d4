//===- calltimingtest.cpp - How calls to workers fare ---------------------===//
//
// A burst of orders from an owner with little processor time, and lost answers.
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
  CallTiming Known;
  EXPECT_EQ(orderValidity(Known, Least, Longest), Least);
  noteAnswered(Known, 5ms);
  EXPECT_EQ(orderValidity(Known, Least, Longest), Least);
}

// Fifteen orders at once, each answered 8 ms after the one before: the last
// ones take 120 ms, and so will those that are sent meanwhile.
TEST(CallTimingTest, OrdersBesideAWideJobOutliveItsAnswers) {
  CallTiming Known;
  for (int I = 1; I <= 15; ++I)
    noteAnswered(Known, I * 8ms);
  EXPECT_GT(orderValidity(Known, Least, Longest), 120ms);
  EXPECT_LE(orderValidity(Known, Least, Longest), Longest);
}

TEST(CallTimingTest, ABurstIsForgotten) {
  CallTiming Known;
  noteAnswered(Known, 200ms);
  for (int I = 0; I < 60; ++I)
    noteAnswered(Known, 5ms);
  EXPECT_EQ(orderValidity(Known, Least, Longest), Least);
}

TEST(CallTimingTest, ALostAnswerIsRememberedForSomeSeconds) {
  CallTiming Known;
  Time Now{100s};
  EXPECT_FALSE(losesAnswers(Known, Now));
  noteAnswerLost(Known, Now);
  EXPECT_TRUE(losesAnswers(Known, Now + 4s));
  EXPECT_FALSE(losesAnswers(Known, Now + 6s));
}

} // namespace
} // namespace geraniumbay::scheduling
