//===- resubmissiontest.cpp - The same entry is asked again ---------------===//
//
// A resubmission at the entry that still lives: while the first one runs, after
// its answer could not be recorded, and while a release or a claim of it is
// still under way.
//
//===----------------------------------------------------------------------===//

#include "entry/tests/killworld.h"

#include <gtest/gtest.h>

namespace geraniumbay::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t First = 0;
constexpr std::size_t Other = 1;

/// Submits at First and loses just its claim, then cancels it: the release may
/// reach the ledger while the claim is still awaited.
void cancelWithTheClaimLost(KillWorld &World, Duration Patience) {
  World.HoldGrants = true;
  World.cutFromLedgers(First, true);
  World.submit(First, Patience);
  World.Net.run(milliseconds(10));
  World.cutFromLedgers(First, false);
  EXPECT_TRUE(World.entry(First).Submissions.cancel(World.Request.Id));
  World.Net.run(milliseconds(200));
  World.HoldGrants = false;
  ASSERT_TRUE(World.All[0].Answer.has_value());
  ASSERT_EQ(World.All[0].Answer->Reason, FailureReason::Cancelled);
}

/// Has the answer ready at First and cut off from the ledger, until the caller
/// is told so.
void failToRecord(KillWorld &World) {
  World.HoldAnswers = true;
  World.submit(First, milliseconds(500));
  World.Net.runUntil([&] { return World.heldTasks() == 3; }, seconds(1));
  World.cutFromLedgers(First, true);
  World.answerAll();
  World.Net.run(seconds(3));
  ASSERT_TRUE(World.All[0].Answer.has_value());
  ASSERT_EQ(World.All[0].Answer->Reason, FailureReason::AnswerNotRecorded);
}

TEST(ResubmissionTest, JoinsTheRunningJob) {
  KillWorld World;
  World.HoldAnswers = true;
  World.submit(First);
  World.Net.run(milliseconds(200));
  World.submit(First);
  World.answerAll();
  World.Net.run(seconds(1));
  ASSERT_TRUE(World.All[0].Answer && World.All[1].Answer);
  EXPECT_TRUE(World.All[0].Answer->complete());
  EXPECT_EQ(World.All[0].Answer, World.All[1].Answer);
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, ShedElsewhereWhileTheFirstRunsIsNeverToldNotRun) {
  KillWorld World;
  World.HoldAnswers = true;
  World.submit(First, seconds(8));
  World.Net.run(milliseconds(300));
  World.Overloaded = true;
  std::size_t Again = World.submit(Other);
  World.Net.run(seconds(5));
  ASSERT_TRUE(World.All[Again].Answer.has_value());
  EXPECT_EQ(World.All[Again].Answer->DidRun, Ran::Maybe);
  World.answerAll();
  EXPECT_TRUE(World.askUntilFinal(Other).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, ShedElsewhereAfterTheAnswerIsGivenTheAnswer) {
  KillWorld World;
  World.submit(First);
  World.Net.run(seconds(1));
  ASSERT_TRUE(World.All[0].Answer && World.All[0].Answer->complete());
  World.Overloaded = true;
  std::size_t Again = World.submit(Other);
  World.Net.run(seconds(1));
  EXPECT_EQ(World.All[Again].Answer, World.All[0].Answer);
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, CutOffElsewhereWhileTheFirstRunsIsNeverToldNotRun) {
  KillWorld World;
  World.HoldAnswers = true;
  World.submit(First, seconds(8));
  World.Net.run(milliseconds(300));
  World.cutFromLedgers(Other, true);
  std::size_t Again = World.submit(Other);
  World.Net.run(seconds(5));
  ASSERT_TRUE(World.All[Again].Answer.has_value());
  EXPECT_EQ(World.All[Again].Answer->DidRun, Ran::Maybe);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, AfterTheAnswerWasNotRecordedIsNeverToldNotRun) {
  KillWorld World;
  failToRecord(World);
  std::size_t Again = World.submit(First, milliseconds(500));
  World.Net.run(seconds(3));
  ASSERT_TRUE(World.All[Again].Answer.has_value());
  EXPECT_EQ(World.All[Again].Answer->DidRun, Ran::Maybe);
  EXPECT_GT(World.All[Again].Answer->RetryAfter, Duration::zero());
  World.cutFromLedgers(First, false);
  EXPECT_TRUE(World.askUntilFinal(First).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, AfterTheAnswerWasNotRecordedWaitsElsewhereForIt) {
  KillWorld World;
  failToRecord(World);
  std::size_t Again = World.submit(Other, milliseconds(500));
  World.Net.run(seconds(1));
  ASSERT_TRUE(World.All[Again].Answer.has_value());
  EXPECT_EQ(World.All[Again].Answer->Reason, FailureReason::HeldElsewhere);
  World.cutFromLedgers(First, false);
  EXPECT_TRUE(World.askUntilFinal(Other).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, AfterTheAnswerWasNotRecordedForALeaseIsFenced) {
  KillWorld World;
  failToRecord(World);
  World.Net.run(seconds(12));
  Result Told = World.askUntilFinal(Other);
  EXPECT_EQ(Told.Reason, FailureReason::CoordinatorLost);
  World.cutFromLedgers(First, false);
  EXPECT_EQ(World.askUntilFinal(First), Told);
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, CancelledAtOnceNeverReleasesTheJobThatRan) {
  KillWorld World;
  failToRecord(World);
  World.submit(First);
  EXPECT_TRUE(World.entry(First).Submissions.cancel(World.Request.Id));
  World.cutFromLedgers(First, false);
  EXPECT_TRUE(World.askUntilFinal(Other).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, RunsAfterACancelThatCameBeforeTheClaimWasSent) {
  KillWorld World;
  World.submit(First);
  EXPECT_TRUE(World.entry(First).Submissions.cancel(World.Request.Id));
  World.Net.run(seconds(1));
  EXPECT_EQ(World.All[0].Answer->Reason, FailureReason::Cancelled);
  EXPECT_TRUE(World.askUntilFinal(Other).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, WithTheReleaseUnderWayIsToldToComeBackAndThenRuns) {
  KillWorld World;
  World.HoldGrants = true;
  World.submit(First);
  World.Net.run(milliseconds(200));
  ASSERT_TRUE(World.entry(First).Claims.Heard);
  World.cutFromLedgers(First, true);
  World.Overloaded = true;
  World.entry(First).Pools.grantAll();
  World.Net.run(milliseconds(100));
  ASSERT_TRUE(World.All[0].Answer.has_value());
  EXPECT_EQ(World.All[0].Answer->DidRun, Ran::No);
  World.heal();
  World.cutFromLedgers(First, true);
  std::size_t Again = World.submit(First, milliseconds(500));
  World.Net.run(seconds(1));
  ASSERT_TRUE(World.All[Again].Answer.has_value());
  EXPECT_GT(World.All[Again].Answer->RetryAfter, Duration::zero());
  EXPECT_EQ(World.starts(), 0);
  World.cutFromLedgers(First, false);
  EXPECT_TRUE(World.askUntilFinal(First).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, OutlivesTheEndOfAnEarlierClaimThatWasLost) {
  KillWorld World;
  cancelWithTheClaimLost(World, seconds(2));
  World.HoldAnswers = true;
  World.submit(First, seconds(8));
  World.Net.run(seconds(3));
  World.submit(Other, seconds(4));
  World.Net.run(seconds(2));
  World.answerAll();
  EXPECT_TRUE(World.askUntilFinal(First).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, RunsElsewhereAfterAClaimThatWasLostAndCancelled) {
  KillWorld World;
  cancelWithTheClaimLost(World, seconds(8));
  World.Net.run(seconds(9));
  EXPECT_TRUE(World.askUntilFinal(Other).complete());
  EXPECT_EQ(World.starts(), 3);
  EXPECT_EQ(World.violation(), "");
}

TEST(ResubmissionTest, LeasesGrantedAfterTheCancelAreGivenBack) {
  KillWorld World;
  World.HoldGrants = true;
  World.GrantAfterCancel = true;
  World.submit(First);
  World.Net.run(milliseconds(200));
  EXPECT_TRUE(World.entry(First).Submissions.cancel(World.Request.Id));
  World.entry(First).Pools.grantAll();
  World.Net.run(milliseconds(200));
  EXPECT_EQ(World.entry(First).Pools.leasesOut(), 0U);
  EXPECT_EQ(World.All[0].Answer->DidRun, Ran::No);
  EXPECT_EQ(World.starts(), 0);
  EXPECT_EQ(World.violation(), "");
}

} // namespace
} // namespace geraniumbay::entry
