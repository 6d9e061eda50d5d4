//===- admissiontest.cpp - Tests of admission control ---------------------===//
//
// Guards against overload that lasts for seconds, as when many callers arrive
// at once while a third of the workers is lost. The figures are those of the
// users' deployments: objectives of 1.6 times the work plus 60 ms, and tasks of
// 60, 200 and 900 ms.
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

TEST(UsefulnessTest, TheObjectiveSetsASoftAndAHardDeadline) {
  AnswerDeadlines Deadlines = answerDeadlines(Usual, 200ms, Now, Now + 5s);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 380ms);
  EXPECT_EQ(Deadlines.HardDeadline, Now + 1140ms);
}

TEST(UsefulnessTest, NoDeadlineIsAfterTheCallersDeadline) {
  AnswerDeadlines Deadlines = answerDeadlines(Usual, 900ms, Now, Now + 1480ms);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 1480ms);
  EXPECT_EQ(Deadlines.HardDeadline, Now + 1480ms);
}

TEST(UsefulnessTest, WithoutAnObjectiveTheCallersDeadlineCounts) {
  AnswerDeadlines Deadlines =
      answerDeadlines(Objective(), 200ms, Now, Now + 1s);
  EXPECT_EQ(Deadlines.SoftDeadline, Now + 1s);
}

TEST(ForecastTest, AFreeSlotMeansNoWait) {
  PoolOutlook Pool{2, {50ms}, {}, 0.9};
  EXPECT_EQ(waitForLastStart(Pool, {2, 60ms}), Duration(0));
}

TEST(ForecastTest, AFullPoolFreesItsSlotsOneByOne) {
  PoolOutlook Pool{0, {30ms, 10ms, 20ms}, {100ms, 100ms}, 0};
  // The tasks ahead take the slots that free up after 10 and 20 ms.
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), 30ms);
  EXPECT_EQ(waitForLastStart(Pool, {2, 60ms}), 90ms);
}

TEST(ForecastTest, UrgentArrivalsMakeTheWaitLonger) {
  PoolOutlook Pool{0, {100ms}, {}, 0.5};
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), 200ms);
  Pool.UrgentShare = 1;
  EXPECT_EQ(waitForLastStart(Pool, {1, 60ms}), std::nullopt);
}

TEST(ForecastTest, WithoutASlotThereIsNoForecast) {
  EXPECT_EQ(waitForLastStart({}, {1, 60ms}), std::nullopt);
}

TEST(AdmissionTest, AJobThatCanEndInTimeIsAdmitted) {
  // The soft deadline is 380 ms away and the work takes 200 ms: it may wait 180
  // ms.
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {180ms, {}}, 0, Now).Result,
            Verdict::InTime);
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, {}}, 0, Now).Result,
            Verdict::Refused);
}

TEST(AdmissionTest, ALateJobIsAdmittedIfThePoolKeepsUp) {
  // The hard deadline is 1140 ms away and the work takes 200 ms: it may wait
  // 940 ms behind all jobs that can be in time.
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, 940ms}, 0, Now).Result,
            Verdict::Late);
  EXPECT_EQ(admit(sentNow(200ms), 200ms, {181ms, 941ms}, 0, Now).Result,
            Verdict::Refused);
}

TEST(AdmissionTest, NothingIsRefusedWhileThereIsFreeCapacity) {
  AnswerDeadlines Past = answerDeadlines(Usual, 200ms, Now - 1s, Now + 100ms);
  EXPECT_EQ(admit(Past, 200ms, {Duration(0), {}}, 0, Now).Result,
            Verdict::InTime);
}

TEST(AdmissionTest, RefusedCallersGetStaggeredRetryTimes) {
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

TEST(AdmissionTest, WithoutAForecastTheRetryDelayIsLonger) {
  Admission Refused = admit(sentNow(60ms), 60ms, WaitForecast(), 0, Now);
  EXPECT_EQ(Refused.Result, Verdict::Refused);
  EXPECT_GE(Refused.RetryAfter, 4s);
}

TEST(ArrivalsTest, OnlyRecentMoreUrgentWorkCounts) {
  Arrivals Load;
  for (int I = 0; I < 500; ++I)
    noteArrival(Load, 1, workOf(1000, 100ms), Now + I * 10ms);
  Time Then = Now + 500 * 10ms;
  // A hundred jobs a second, each of a tenth of a core second.
  EXPECT_NEAR(urgentLoad(Load, 2, Then), 10'000, 200);
  EXPECT_NEAR(urgentLoad(Load, 7, Then), 10'000, 200);
  EXPECT_EQ(urgentLoad(Load, 1, Then), 0);
  EXPECT_LT(urgentLoad(Load, 2, Then + 5s), 200);
}

RC_GTEST_PROP(ForecastProperties, AddingWorkAheadNeverMakesTheWaitShorter, ()) {
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
