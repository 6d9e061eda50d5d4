//===- killtest.cpp - An entry that dies or freezes at each step ----------===//
//
// One row for each step of a job, for each way to fail there and for each place
// where the caller asks again: what it is told, and how often tasks started.
//
//===----------------------------------------------------------------------===//

#include "entry/tests/killworld.h"

#include <gtest/gtest.h>

namespace geraniumbay::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How far the job has come when its entry fails.
enum class Step {
  BeforeClaim,     ///< The claim was not sent.
  ClaimLost,       ///< The claim was sent and got lost.
  ClaimUnsynced,   ///< The ledger has the claim, not yet synced.
  Granted,         ///< The claim is held and nothing was started.
  TasksOut,        ///< All tasks run.
  SomeAnswersIn,   ///< One task is done, the others run.
  RecordLost,      ///< The answer was sent to the ledger and got lost.
  RecordUnsynced,  ///< The ledger has the answer, not yet synced.
  RecordedNotSent, ///< The answer is recorded; the caller does not have it.
};

enum class Failure { Killed, Frozen };

/// Where the caller asks again.
enum class Again { AnotherEntry, SameAfterRestart };

struct Row {
  const char *Name;
  Step At;
  Failure How;
  Again Where;
  /// None: the complete answer.
  FailureReason Told;
  /// Starts of each task over the whole test.
  int Starts;
};

constexpr std::size_t First = 0;
constexpr std::size_t Other = 1;
constexpr Duration Longest = seconds(3);

void reachTasksOut(KillWorld &World) {
  World.HoldAnswers = true;
  World.submit(First);
  ASSERT_TRUE(
      World.Net.runUntil([&] { return World.heldTasks() == 3; }, Longest));
}

void reachClaim(KillWorld &World, Step Wanted) {
  if (Wanted == Step::ClaimLost)
    World.cutFromLedgers(First, true);
  if (Wanted == Step::ClaimUnsynced)
    World.stallDisks(true);
  World.HoldGrants = Wanted == Step::Granted;
  World.submit(First);
  if (Wanted != Step::BeforeClaim)
    World.Net.run(milliseconds(100));
  EXPECT_EQ(World.entry(First).Claims.Heard, Wanted == Step::Granted);
}

void reachRecord(KillWorld &World, Step Wanted) {
  reachTasksOut(World);
  if (Wanted == Step::RecordLost)
    World.cutFromLedgers(First, true);
  if (Wanted == Step::RecordUnsynced)
    World.stallDisks(true);
  World.answerAll();
  ASSERT_TRUE(World.Net.runUntil(
      [&] { return World.entry(First).Claims.Records == 1; }, Longest));
  // Long enough to reach the ledger, too short for its answer to come back.
  if (Wanted == Step::RecordedNotSent)
    World.freeze(First);
  World.Net.run(milliseconds(Wanted == Step::RecordedNotSent ? 1000 : 100));
  if (Wanted == Step::RecordedNotSent) {
    ASSERT_TRUE(World.recorded().has_value());
  }
}

/// Lets the first submission run to the step.
void reach(KillWorld &World, Step Wanted) {
  switch (Wanted) {
  case Step::BeforeClaim:
  case Step::ClaimLost:
  case Step::ClaimUnsynced:
  case Step::Granted:
    reachClaim(World, Wanted);
    break;
  case Step::TasksOut:
    reachTasksOut(World);
    break;
  case Step::SomeAnswersIn:
    reachTasksOut(World);
    World.answerOne();
    World.Net.run(milliseconds(100));
    break;
  case Step::RecordLost:
  case Step::RecordUnsynced:
  case Step::RecordedNotSent:
    reachRecord(World, Wanted);
    break;
  }
  EXPECT_FALSE(World.All[0].Answer.has_value());
}

/// Ends what the step needed, but leaves the entry as it is.
void endStep(KillWorld &World) {
  World.cutFromLedgers(First, false);
  World.stallDisks(false);
  World.HoldGrants = false;
  World.HoldAnswers = false;
  World.answerAll();
}

class KillTest : public testing::TestWithParam<Row> {};

TEST_P(KillTest, TheCallerIsToldTheTruthAndNothingStartsTwice) {
  const Row &Given = GetParam();
  KillWorld World;
  reach(World, Given.At);
  if (Given.How == Failure::Killed)
    World.kill(First);
  else
    World.freeze(First);
  endStep(World);
  if (Given.Where == Again::SameAfterRestart)
    World.restart(First);
  Result Told = World.askUntilFinal(
      Given.Where == Again::SameAfterRestart ? First : Other);
  if (Given.How == Failure::Frozen) {
    World.thaw(First);
    World.entry(First).Pools.grantAll();
  }
  World.Net.run(seconds(15));

  EXPECT_STREQ(failureReasonName(Told.Reason), failureReasonName(Given.Told));
  EXPECT_TRUE(Told.complete() || Told.DidRun == Ran::Maybe);
  EXPECT_EQ(World.starts(), 3 * Given.Starts);
  EXPECT_EQ(World.askUntilFinal(Other), Told) << "one true answer";
  EXPECT_EQ(World.violation(), "");
}

constexpr auto Complete = FailureReason::None;
constexpr auto Lost = FailureReason::CoordinatorLost;

INSTANTIATE_TEST_SUITE_P(
    Other, KillTest,
    testing::Values(Row{"KilledBeforeTheClaim", Step::BeforeClaim,
                        Failure::Killed, Again::AnotherEntry, Complete, 1},
                    Row{"KilledWithTheClaimLost", Step::ClaimLost,
                        Failure::Killed, Again::AnotherEntry, Complete, 1},
                    Row{"KilledWithTheClaimUnsynced", Step::ClaimUnsynced,
                        Failure::Killed, Again::AnotherEntry, Lost, 0},
                    Row{"KilledWithTheClaimGranted", Step::Granted,
                        Failure::Killed, Again::AnotherEntry, Lost, 0},
                    Row{"KilledWithTasksOut", Step::TasksOut, Failure::Killed,
                        Again::AnotherEntry, Lost, 1},
                    Row{"KilledWithSomeAnswersIn", Step::SomeAnswersIn,
                        Failure::Killed, Again::AnotherEntry, Lost, 1},
                    Row{"KilledWithTheRecordLost", Step::RecordLost,
                        Failure::Killed, Again::AnotherEntry, Lost, 1},
                    Row{"KilledWithTheRecordUnsynced", Step::RecordUnsynced,
                        Failure::Killed, Again::AnotherEntry, Complete, 1},
                    Row{"KilledWithTheAnswerRecorded", Step::RecordedNotSent,
                        Failure::Killed, Again::AnotherEntry, Complete, 1}),
    [](const testing::TestParamInfo<Row> &Info) {
      return std::string(Info.param.Name);
    });

INSTANTIATE_TEST_SUITE_P(
    SameAfterRestart, KillTest,
    testing::Values(Row{"KilledBeforeTheClaim", Step::BeforeClaim,
                        Failure::Killed, Again::SameAfterRestart, Complete, 1},
                    Row{"KilledWithTheClaimLost", Step::ClaimLost,
                        Failure::Killed, Again::SameAfterRestart, Complete, 1},
                    Row{"KilledWithTheClaimUnsynced", Step::ClaimUnsynced,
                        Failure::Killed, Again::SameAfterRestart, Lost, 0},
                    Row{"KilledWithTheClaimGranted", Step::Granted,
                        Failure::Killed, Again::SameAfterRestart, Lost, 0},
                    Row{"KilledWithTasksOut", Step::TasksOut, Failure::Killed,
                        Again::SameAfterRestart, Lost, 1},
                    Row{"KilledWithSomeAnswersIn", Step::SomeAnswersIn,
                        Failure::Killed, Again::SameAfterRestart, Lost, 1},
                    Row{"KilledWithTheRecordLost", Step::RecordLost,
                        Failure::Killed, Again::SameAfterRestart, Lost, 1},
                    Row{"KilledWithTheRecordUnsynced", Step::RecordUnsynced,
                        Failure::Killed, Again::SameAfterRestart, Complete, 1},
                    Row{"KilledWithTheAnswerRecorded", Step::RecordedNotSent,
                        Failure::Killed, Again::SameAfterRestart, Complete, 1}),
    [](const testing::TestParamInfo<Row> &Info) {
      return std::string(Info.param.Name);
    });

INSTANTIATE_TEST_SUITE_P(
    Late, KillTest,
    testing::Values(Row{"FrozenBeforeTheClaim", Step::BeforeClaim,
                        Failure::Frozen, Again::AnotherEntry, Complete, 1},
                    Row{"FrozenWithTheClaimLost", Step::ClaimLost,
                        Failure::Frozen, Again::AnotherEntry, Complete, 1},
                    Row{"FrozenWithTheClaimUnsynced", Step::ClaimUnsynced,
                        Failure::Frozen, Again::AnotherEntry, Lost, 0},
                    Row{"FrozenWithTheClaimGranted", Step::Granted,
                        Failure::Frozen, Again::AnotherEntry, Lost, 0},
                    Row{"FrozenWithTasksOut", Step::TasksOut, Failure::Frozen,
                        Again::AnotherEntry, Lost, 1},
                    Row{"FrozenWithSomeAnswersIn", Step::SomeAnswersIn,
                        Failure::Frozen, Again::AnotherEntry, Lost, 1},
                    Row{"FrozenWithTheRecordLost", Step::RecordLost,
                        Failure::Frozen, Again::AnotherEntry, Lost, 1},
                    Row{"FrozenWithTheRecordUnsynced", Step::RecordUnsynced,
                        Failure::Frozen, Again::AnotherEntry, Complete, 1},
                    Row{"FrozenWithTheAnswerRecorded", Step::RecordedNotSent,
                        Failure::Frozen, Again::AnotherEntry, Complete, 1}),
    [](const testing::TestParamInfo<Row> &Info) {
      return std::string(Info.param.Name);
    });

TEST(LateLeaseTest, IsGivenBackByAnEntryThatComesBackAfterTheDeadline) {
  KillWorld World;
  reach(World, Step::Granted);
  World.freeze(First);
  World.entry(First).Pools.grantAll();
  World.Net.run(seconds(6));
  World.thaw(First);
  World.Net.run(seconds(1));
  ASSERT_TRUE(World.All[0].Answer.has_value());
  EXPECT_EQ(World.All[0].Answer->Reason, FailureReason::DeadlineExceeded);
  EXPECT_EQ(World.All[0].Answer->DidRun, Ran::No);
  EXPECT_EQ(World.entry(First).Pools.leasesOut(), 0U);
  EXPECT_EQ(World.starts(), 0);
  EXPECT_EQ(World.violation(), "");
}

} // namespace
} // namespace geraniumbay::entry
