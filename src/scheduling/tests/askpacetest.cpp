//===- askpacetest.cpp - Tests of the poll interval -----------------------===//

#include "scheduling/askpace.h"

#include <gtest/gtest.h>

namespace geraniumbay::scheduling {
namespace {

TEST(AskPaceTest, SmallGroupsUseTheShortestInterval) {
  for (std::size_t Entries : {0, 1, 7, 28, 120})
    EXPECT_EQ(pollInterval(Entries), MinPollInterval);
}

TEST(AskPaceTest, HundredsOfEntriesShareTheLeadersRate) {
  for (std::size_t Entries : {147, 270, 320}) {
    Duration Interval = pollInterval(Entries);
    double Rate = static_cast<double>(Entries) * 1e6 /
                  static_cast<double>(Interval.count());
    EXPECT_LE(Rate, MaxPollsPerSecond + 1);
    EXPECT_LT(Interval, MaxPollInterval + Duration(1));
  }
}

TEST(AskPaceTest, TheIntervalIsNeverAboveTheLongest) {
  EXPECT_EQ(pollInterval(5000), MaxPollInterval);
}

TEST(AskPaceTest, UnansweredPollsBackOff) {
  for (std::size_t Unanswered = 0; Unanswered < 5; ++Unanswered) {
    EXPECT_LE(replyTimeout(Unanswered), replyTimeout(Unanswered + 1));
    EXPECT_LE(urgentPollInterval(MinPollInterval, Unanswered),
              urgentPollInterval(MinPollInterval, Unanswered + 1));
  }
  EXPECT_GT(replyTimeout(1), replyTimeout(0));
  EXPECT_GT(urgentPollInterval(MinPollInterval, 1),
            urgentPollInterval(MinPollInterval, 0));
  EXPECT_EQ(replyTimeout(100), replyTimeout(5));
}

TEST(AskPaceTest, UrgentPollsOfALargeGroupAreBoundedToo) {
  EXPECT_GT(urgentPollInterval(MaxPollInterval, 0),
            urgentPollInterval(MinPollInterval, 0));
}

} // namespace
} // namespace geraniumbay::scheduling
