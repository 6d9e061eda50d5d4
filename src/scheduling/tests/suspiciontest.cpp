//===- suspiciontest.cpp - Which task crashes its workers -----------------===//

#include "scheduling/suspicion.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::scheduling {
namespace {

TEST(SuspicionTest, ATaskThatCrashesASecondWorkerAloneIsGuilty) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_TRUE(Task.Suspected);
  EXPECT_FALSE(Task.Quarantined);
  noteLoss(Task, WorkerLoss::Crashed, true);
  EXPECT_TRUE(Task.Quarantined);
}

TEST(SuspicionTest, ATaskBesideOthersIsGuiltyAfterThreeCrashesOnly) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Crashed, false);
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_FALSE(Task.Quarantined);
  noteLoss(Task, WorkerLoss::Crashed, false);
  EXPECT_TRUE(Task.Quarantined);
}

// A worker that is cut off says nothing against what runs there; twice is
// worth a trial.
TEST(SuspicionTest, SilentWorkersAreNoCrashes) {
  Suspicion Task;
  noteLoss(Task, WorkerLoss::Silent, true);
  EXPECT_FALSE(Task.Suspected);
  noteLoss(Task, WorkerLoss::Silent, true);
  EXPECT_TRUE(Task.Suspected);
  EXPECT_FALSE(Task.Quarantined);
}

// Whatever was seen, a task is started three times at most while each start
// costs a worker and it runs alone once suspected.
RC_GTEST_PROP(SuspicionProperties, ACrashingTaskIsStartedThreeTimesAtMost,
              (const std::vector<std::uint8_t> &Seen)) {
  Suspicion Task;
  std::size_t Starts = 0;
  for (std::uint8_t Each : Seen) {
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
