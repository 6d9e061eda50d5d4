//===- admissiontest.cpp - Which jobs are taken ---------------------------===//
//
// The pattern: more comes in than a pool can do, for seconds, as when many
// callers come at once while a third of the workers is lost. The figures of the
// scenes are those of the users' deployments: objectives of 1.6 times the work
// and 60 ms more, tasks of 60, 200 and 900 ms.
//
//===----------------------------------------------------------------------===//

#include "scheduling/admission.h"
#include "scheduling/arrivals.h"
#include "scheduling/forecast.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

const Time Now{100s};
const Objective Usual{1.6, 60ms};

AnswerDeadlines sentNow(Duration Chain) {
  return answerDeadlines(Usual, Chain, Now, Now + 1500ms);
}

TEST(UsefulnessTest, AnAnswerIsInTimeThenLateThenOfNoUse) {
  AnswerDeadlines Deadlines = answerDeadlines(Usual, 200ms, Now, Now + 5s);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 380ms);
  EXPECT_EQ(Deadlines.HardDeadline, Now + 1140ms);
}

TEST(UsefulnessTest, NothingIsOfUseAfterTheCallerHasGone) {
  AnswerDeadlines Deadlines = answerDeadlines(Usual, 900ms, Now, Now + 1480ms);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 1480ms);
  EXPECT_EQ(Deadlines.HardDeadline, Now + 1480ms);
}

TEST(UsefulnessTest, WithoutAnObjectiveTheCallersTimeCounts) {
  AnswerDeadlines Deadlines =
      answerDeadlines(Objective(), 200ms, Now, Now + 1s);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 1s);
}

TEST(ForecastTest, AFreePlaceIsTakenAtOnce) {
  PoolOutlook Pool{2, {50ms}, {}, 0.9};
  EXPECT_EQ(waitForLastStart(Pool, {2, 60ms}), Duration(0));
}

TEST(ForecastTest, AFullPoolFreesItsPlacesOneByOne) {
  PoolOutlook Pool{0, {30ms, 10ms, 20ms}, {100ms, 100ms}, 0};
  // Those ahead take the places of 10 and 20 ms.
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), 30ms);
  EXPECT_EQ(waitForLastStart(Pool, {2, 60ms}), 90ms);
}

TEST(ForecastTest, MoreUrgentWorkThatKeepsComingMakesTheWaitLonger) {
  PoolOutlook Pool{0, {100ms}, {}, 0.5};
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), 200ms);
  Pool.UrgentShare = 1;
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), std::nullopt);
}

TEST(ForecastTest, WithoutAPlaceNothingCanBeTold) {
  EXPECT_EQ(waitForLastStart({}, {1, 60ms}), std::nullopt);
}

TEST(AdmissionTest, WhatCanEndInTimeIsTaken) {
  // Of 380 ms, 200 are its own: 180 to wait.
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {180ms, {}}, 0, Now).Result,
            Verdict::InTime);
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, {}}, 0, Now).Result,
            Verdict::Refused);
}

TEST(AdmissionTest, WhatCanOnlyBeLateIsServedWhereThePoolKeepsUp) {
  // Of 1140 ms, 200 are its own: 940 to wait behind all that is in time.
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, 940ms}, 0, Now).Result,
            Verdict::Late);
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, 941ms}, 0, Now).Result,
            Verdict::Refused);
}

TEST(AdmissionTest, NothingIsRefusedWhileThereIsRoom) {
  AnswerDeadlines Past = answerDeadlines(Usual, 200ms, Now - 1s, Now + 100ms);
  EXPECT_EQ(admit(Past, 200ms, {Duration(0), {}}, 0, Now).Result,
            Verdict::InTime);
}

TEST(AdmissionTest,
     CallersAreToldWhenTheBacklogWillHaveGoneAndDoNotReturnAsOne) {
  std::set<Duration> RetryTimes;
  for (std::size_t Job = 0; Job < 8; ++Job) {
    Admission Refused = admit(sentNow(200ms), 200ms, {1180ms, {}}, Job, Now);
    ASSERT_EQ(Refused.Result, Verdict::Refused);
    EXPECT_GE(Refused.RetryAfter, 1s);
    EXPECT_LE(Refused.RetryAfter, 2s);
    RetryTimes.insert(Refused.RetryAfter);
  }
  EXPECT_EQ(RetryTimes.size(), 8U);
}

TEST(AdmissionTest, WithoutAnEndInSightCallersStayAwayForLonger) {
  Admission Refused = admit(sentNow(60ms), 60ms, WaitForecast(), 0, Now);
  EXPECT_EQ(Refused.Result, Verdict::Refused);
  EXPECT_GE(Refused.RetryAfter, 4s);
}

TEST(ArrivalsTest, OnlyMoreUrgentWorkOfLateCounts) {
  Arrivals Seen;
  for (int I = 0; I < 500; ++I)
    noteArrival(Seen, 1, workOf(1000, 100ms), Now + I * 10ms);
  Time Then = Now + 500 * 10ms;
  // A hundred jobs a second, each a tenth of a core second.
  EXPECT_NEAR(urgentLoad(Seen, 2, Then), 10'000, 200);
  EXPECT_NEAR(urgentLoad(Seen, 7, Then), 10'000, 200);
  EXPECT_EQ(urgentLoad(Seen, 1, Then), 0);
  EXPECT_LT(urgentLoad(Seen, 2, Then + 5s), 200);
}

RC_GTEST_PROP(ForecastProperties, MoreAheadNeverMakesTheWaitShorter, ()) {
  auto Times = rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 2000));
  PoolOutlook Pool;
  Pool.Free = *rc::gen::inRange<std::size_t>(0, 3);
  for (int Millis : *Times)
    Pool.BusyFor.push_back(std::chrono::milliseconds(Millis));
  for (int Millis : *Times)
    Pool.Ahead.push_back(std::chrono::milliseconds(Millis));
  JobOutlook Own{*rc::gen::inRange<std::size_t>(1, 20), 60ms};
  auto Before = waitForLastStart(Pool, Own);
  Pool.Ahead.push_back(std::chrono::milliseconds(*rc::gen::inRange(1, 2000)));
  auto After = waitForLastStart(Pool, Own);
  RC_ASSERT(Before.has_value() == After.has_value() ||
            (Pool.Free >= Own.Tasks && Pool.BusyFor.empty()));
  RC_ASSERT(!Before || !After || *Before <= *After);
}

} // namespace
} // namespace geraniumbay::scheduling
