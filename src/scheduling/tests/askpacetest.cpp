//===- askpacetest.cpp - How often entries ask the leader -----------------===//

#include "scheduling/askpace.h"

#include <gtest/gtest.h>

namespace geraniumbay::scheduling {
namespace {

TEST(AskPaceTest, SmallGroupsAskAtTheShortestPause) {
  for (std::size_t Entries : {0, 1, 7, 28, 120})
    EXPECT_EQ(askPause(Entries), ShortestAskPause);
}

TEST(AskPaceTest, HundredsOfEntriesShareTheLeadersRate) {
  for (std::size_t Entries : {147, 270, 320}) {
    Duration Pause = askPause(Entries);
    double Rate =
        static_cast<double>(Entries) * 1e6 / static_cast<double>(Pause.count());
    EXPECT_LE(Rate, QuestionsPerSecond + 1);
    EXPECT_LT(Pause, LongestAskPause + Duration(1));
  }
}

TEST(AskPaceTest, NewsIsNeverOlderThanTheLongestPause) {
  EXPECT_EQ(askPause(5000), LongestAskPause);
}

TEST(AskPaceTest, WhoIsNotAnsweredWaitsLongerAndAsksLessOften) {
  for (std::size_t Unanswered = 0; Unanswered < 5; ++Unanswered) {
    EXPECT_LE(answerPatience(Unanswered), answerPatience(Unanswered + 1));
    EXPECT_LE(urgentPause(ShortestAskPause, Unanswered),
              urgentPause(ShortestAskPause, Unanswered + 1));
  }
  EXPECT_GT(answerPatience(1), answerPatience(0));
  EXPECT_GT(urgentPause(ShortestAskPause, 1), urgentPause(ShortestAskPause, 0));
  EXPECT_EQ(answerPatience(100), answerPatience(5));
}

TEST(AskPaceTest, UrgentQuestionsOfALargeGroupAreBoundedToo) {
  EXPECT_GT(urgentPause(LongestAskPause, 0), urgentPause(ShortestAskPause, 0));
}

} // namespace
} // namespace geraniumbay::scheduling
