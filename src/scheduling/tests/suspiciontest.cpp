//===- suspiciontest.cpp - Tests of crash detection -----------------------===//

#include "scheduling/suspicion.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::scheduling {
namespace {

TEST(SuspicionTest, ATaskThatCrashesASecondWorkerAloneIsQuarantined) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_TRUE(Task.Suspected);
  EXPECT_FALSE(Task.Quarantined);
  noteLoss(Task, WorkerLoss::Crashed, true);
  EXPECT_TRUE(Task.Quarantined);
}

TEST(SuspicionTest, ATaskBesideOthersIsQuarantinedAfterThreeCrashesOnly) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Crashed, false);
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_FALSE(Task.Quarantined);
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_TRUE(Task.Quarantined);
}

// A worker that is cut off is no evidence against its tasks, but a second such
// loss makes a task a suspect.
TEST(SuspicionTest, SilentWorkersAreNoCrashes) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Silent, true);
  EXPECT_FALSE(Task.Suspected);
  noteLoss(Task, WorkerLoss::Silent, true);
  EXPECT_TRUE(Task.Suspected);
  EXPECT_FALSE(Task.Quarantined);
}

// Whatever the sequence of losses, a task is started three times at most if
// each start costs a worker and it runs alone once suspected.
RC_GTEST_PROP(SuspicionProperties, ACrashingTaskIsStartedThreeTimesAtMost,
              (const std::vector<std::uint8_t> &Losses)) {
  Suspicion Task;
  std::size_t Starts = 0;
  for (std::uint8_t Each : Losses) {
    if (Task.Quarantined)
      break;
    ++Starts;
    noteLoss(Task, static_cast<WorkerLoss>(Each % 3), Task.Suspected);
  }
  RC_ASSERT(Starts <= 3U);
}

TEST(SuspicionTest, SomeWorkersAreLeftToOtherTasks) {
  EXPECT_EQ(maxWorkersForSuspects(3), 1U);
  EXPECT_EQ(maxWorkersForSuspects(48), 8U);
}

} // namespace
} // namespace geraniumbay::scheduling
