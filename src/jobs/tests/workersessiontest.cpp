//===- workersessiontest.cpp - Tests of worker sessions -------------------===//

#include "jobs/internal/workersession.h"

#include <gtest/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

const Time Now{1h};
const TaskId First{JobId("job"), 0, 0};
const TaskId Second{JobId("job"), 0, 1};

WorkerSession sessionWith(const TaskId &Task, std::int64_t ListedAfter) {
  WorkerSession Result;
  Result.Info.Capacity = {4000, 1000, 0};
  Result.Clock = WorkerMillis(1000);
  Result.ClockReading = Result.Clock;
  Result.ClockReadAt = Now;
  addRun(Result, Task,
         jobs::Run{RunNumber(1),
                   {1000, 10, 0},
                   Now,
                   false,
                   false,
                   WorkerMillis(ListedAfter)});
  return Result;
}

HoldAnswer answerAt(std::int64_t Clock) {
  HoldAnswer Result;
  Result.Clock = WorkerMillis(Clock);
  return Result;
}

TEST(WorkerSessionTest, AStartWithoutAnAnswerIsGivenUpOnlyAfterItsLease) {
  WorkerSession Session = sessionWith(First, 2000);
  EXPECT_TRUE(
      applyHoldAnswer(Session, answerAt(2000), Now, Now).Missing.empty());
  EXPECT_EQ(Session.Used.CpuMillis, 1000U);
  EXPECT_EQ(applyHoldAnswer(Session, answerAt(2001), Now, Now).Missing.size(),
            1U);
  EXPECT_EQ(Session.Used.CpuMillis, 0U);
}

TEST(WorkerSessionTest, AnEndFreesItsCapacityOnce) {
  WorkerSession Session = sessionWith(First, 2000);
  HoldAnswer Answer = answerAt(1500);
  Answer.Ended.push_back({1, First, RunNumber(1), EndKind::Done});
  EXPECT_EQ(applyHoldAnswer(Session, Answer, Now, Now).Ended.size(), 1U);
  EXPECT_TRUE(Session.Runs.empty());
  EXPECT_TRUE(applyHoldAnswer(Session, Answer, Now, Now).Ended.empty());
}

TEST(WorkerSessionTest, TheEndOfAnEarlierRunLeavesALaterOne) {
  WorkerSession Session = sessionWith(First, 2000);
  removeRun(Session, First);
  addRun(Session, First,
         jobs::Run{
             RunNumber(2), {1000, 10, 0}, Now, true, false, WorkerMillis(0)});
  HoldAnswer Answer = answerAt(1500);
  Answer.Ended.push_back({1, First, RunNumber(1), EndKind::Other});
  Answer.Running.push_back({First, RunNumber(2)});
  applyHoldAnswer(Session, Answer, Now, Now);
  EXPECT_EQ(Session.Runs.size(), 1U);
}

// Answers on different connections can arrive out of order: the task list of an
// outdated one must neither drop a run nor suggest that no unknown task runs.
TEST(WorkerSessionTest, AnOutdatedAnswerReportsEndsOnly) {
  WorkerSession Session = sessionWith(First, 0);
  HoldAnswer Newer = answerAt(3000);
  Newer.Running.push_back({First, RunNumber(1)});
  Newer.Running.push_back({Second, RunNumber(1)});
  HoldFindings Found = applyHoldAnswer(Session, Newer, Now, Now);
  EXPECT_TRUE(Found.Current);
  EXPECT_EQ(Found.Found.size(), 1U);
  HoldFindings Old = applyHoldAnswer(Session, answerAt(2500), Now, Now);
  EXPECT_FALSE(Old.Current);
  EXPECT_TRUE(Old.Missing.empty());
  EXPECT_EQ(Session.Runs.size(), 1U);
}

TEST(WorkerSessionTest, ALeaseNeverExceedsWhatASlowClockGrants) {
  WorkerSession Session = sessionWith(First, 0);
  LeaseSettings Settings;
  // A worker clock that is 2% slow advances by 980 ms in a second.
  EXPECT_EQ(leaseUntil(Session, Settings, 1s, Now + 1s).value(),
            1000 + 980 + 1000);
  EXPECT_GE(leaseBound(Settings), 1020ms + Settings.KillTime);
}

// The owner is paused while the answer lies unread, and then sends orders based
// on it.
TEST(WorkerSessionTest, ALateStartCorrectsALaggingClockEstimate) {
  WorkerSession Session = sessionWith(First, 0);
  LeaseSettings Settings;
  applyHoldAnswer(Session, answerAt(1010), Now + 300ms, Now + 300ms);
  EXPECT_EQ(leaseUntil(Session, Settings, 60ms, Now + 300ms),
            WorkerMillis(1070));
  noteClockReading(Session, WorkerMillis(1302), Now + 303ms);
  EXPECT_EQ(leaseUntil(Session, Settings, 60ms, Now + 303ms),
            WorkerMillis(1362));
}

// A worker that was paused is behind the estimate of its clock.
TEST(WorkerSessionTest, AnEstimateIsNeverAheadOfTheLatestAnswer) {
  WorkerSession Session = sessionWith(First, 0);
  noteClockReading(Session, WorkerMillis(1010), Now + 1s);
  EXPECT_EQ(leaseUntil(Session, LeaseSettings(), 60ms, Now + 1s),
            WorkerMillis(1070));
}

TEST(WorkerSessionTest, AnyAnswerUpdatesTheClockReading) {
  WorkerSession Session = sessionWith(First, 0);
  noteClockReading(Session, WorkerMillis(1500), Now + 10ms);
  EXPECT_EQ(leaseUntil(Session, LeaseSettings(), 60ms, Now + 10ms),
            WorkerMillis(1560));
  // Hold answers are ordered by their own readings only.
  EXPECT_TRUE(
      applyHoldAnswer(Session, answerAt(1400), Now + 20ms, Now + 20ms).Current);
}

TEST(WorkerSessionTest, RunsMissingFromAPartialAnswerAreKept) {
  TaskId Task{JobId("job"), 0, 0};
  WorkerSession Session = sessionWith(Task, 1000);
  HoldAnswer Answer;
  Answer.Clock = WorkerMillis(2000);
  Answer.Partial = true;
  EXPECT_TRUE(applyHoldAnswer(Session, Answer, Now, Now).Missing.empty());
  Answer.Clock = WorkerMillis(2001);
  Answer.Partial = false;
  EXPECT_EQ(applyHoldAnswer(Session, Answer, Now, Now).Missing.size(), 1U);
}

} // namespace
} // namespace geraniumbay::jobs
