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

/// The run time learned of a task that was ordered 400 ms before its end is
/// known, from an answer at 1360 of the worker's clock.
Duration learnedRunTime(std::optional<WorkerMillis> StartedAt) {
  WorkerSession Session = sessionWith(First, 2000);
  Session.Runs.at(First).StartedAt = StartedAt;
  HoldAnswer Answer = answerAt(1360);
  Answer.Ended.push_back({1, First, RunNumber(1), EndKind::Done});
  Time Later = Now + std::chrono::milliseconds(400);
  return applyHoldAnswer(Session, Answer, Now, Later)
      .RunTimings.at(First)
      .Elapsed;
}

// Guards against the queues of an owner's link being learned as run time, which
// makes all workers look slow and objectives look longer than they are.
TEST(WorkerSessionTest, TheTimeInTransitIsNoRunTime) {
  EXPECT_EQ(learnedRunTime(WorkerMillis(1300)), std::chrono::milliseconds(60));
}

// An order without an answer has no start by the worker's clock.
TEST(WorkerSessionTest, WithoutAStartTheRunTimeCountsFromTheOrder) {
  EXPECT_EQ(learnedRunTime(std::nullopt), std::chrono::milliseconds(400));
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

/// A run that the worker neither lists as running nor as ended, beside another
/// one that has ended.
class AbsentRun : public testing::Test {
protected:
  AbsentRun() { Before_ = apply(answerWithEnd(2001)); }

  HoldFindings apply(const HoldAnswer &Answer) {
    return applyHoldAnswer(Session_, Answer, Now, Now);
  }

  /// An answer with the end of the other run, which is not acknowledged.
  static HoldAnswer answerWithEnd(std::int64_t Clock) {
    HoldAnswer Answer = answerAt(Clock);
    Answer.Ended.push_back({1, Second, RunNumber(1), EndKind::Done});
    return Answer;
  }

  /// The same with a third run, running or ended.
  HoldAnswer answerWithThird(std::int64_t Clock, bool Ended) const {
    HoldAnswer Answer = answerWithEnd(Clock);
    if (Ended)
      Answer.Ended.push_back({2, Third_, RunNumber(1), EndKind::Done});
    else
      Answer.Running.push_back({Third_, RunNumber(1)});
    return Answer;
  }

  void startThird() {
    addRun(Session_, Third_,
           jobs::Run{RunNumber(1),
                     {1000, 10, 0},
                     Now,
                     false,
                     false,
                     WorkerMillis(9000)});
  }

  const TaskId Third_{JobId("job"), 0, 2};
  WorkerSession Session_ = sessionWith(First, 2000);
  HoldFindings Before_;
};

// Guards against a run that is taken for lost while its end may follow in the
// next list (review/4).
TEST_F(AbsentRun, IsKeptWhileItsEndMayBeHidden) {
  EXPECT_TRUE(Before_.Missing.empty());
  EXPECT_EQ(Before_.MaybeEnded, 1U);
  HoldAnswer Next = answerAt(2002);
  Next.Ended.push_back({2, First, RunNumber(1), EndKind::Done});
  HoldFindings After = apply(Next);
  EXPECT_TRUE(After.Missing.empty());
  EXPECT_EQ(After.Ended.size(), 1U);
  EXPECT_TRUE(Session_.Runs.empty());
}

TEST_F(AbsentRun, IsMissingByAnAnswerWithoutEnds) {
  HoldFindings After = apply(answerAt(2002));
  ASSERT_EQ(After.Missing.size(), 1U);
  EXPECT_EQ(After.Missing[0].AbsentSince, WorkerMillis(2001));
  EXPECT_EQ(Session_.Used.CpuMillis, 0U);
}

// An answer that was overtaken tells nothing of what ended after it.
TEST_F(AbsentRun, IsKeptAfterAnOutdatedAnswerWithoutEnds) {
  EXPECT_TRUE(apply(answerAt(1999)).Missing.empty());
  EXPECT_EQ(Session_.Runs.size(), 1U);
}

// A worker whose tasks end all the time never answers without ends.
TEST_F(AbsentRun, IsMissingOnceARunHasEndedThatExistedLater) {
  startThird();
  EXPECT_TRUE(apply(answerWithThird(2002, false)).Missing.empty());
  EXPECT_EQ(apply(answerWithThird(2003, true)).Missing.size(), 1U);
}

// Two readings of the same millisecond have no order.
TEST_F(AbsentRun, IsKeptIfTheOtherRunExistedInTheSameMillisecond) {
  startThird();
  EXPECT_TRUE(apply(answerWithThird(2001, false)).Missing.empty());
  EXPECT_TRUE(apply(answerWithThird(2003, true)).Missing.empty());
  EXPECT_EQ(Session_.Runs.count(First), 1U);
}

// Guards against a take-over by a list of runs whose ends are not all known.
// The lease of the runs may be renewed by then.
TEST_F(AbsentRun, LeavesTheEndedRunsOfItsWorkerUnknown) {
  EXPECT_TRUE(Session_.RunsKnown);
  EXPECT_FALSE(Session_.ProvenListSentAt);
  apply(answerAt(2002));
  EXPECT_TRUE(Session_.ProvenListSentAt);
}

// Queries must prove something also while each answer lists ends.
TEST_F(AbsentRun, TheRunsAreKnownAsOfTheOldestListThatIsProven) {
  startThird();
  applyHoldAnswer(Session_, answerWithThird(2002, false), Now + 5ms, Now + 5ms);
  EXPECT_FALSE(Session_.ProvenListSentAt);
  applyHoldAnswer(Session_, answerWithThird(2003, true), Now + 9ms, Now + 9ms);
  ASSERT_TRUE(Session_.ProvenListSentAt);
  EXPECT_EQ(*Session_.ProvenListSentAt, Now);
}

} // namespace
} // namespace geraniumbay::jobs
