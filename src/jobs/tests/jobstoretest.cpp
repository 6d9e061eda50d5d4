//===- jobstoretest.cpp - The replicated record of jobs -------------------===//

#include "jobs/internal/jobwire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

Job jobOf(const std::string &Id, std::uint32_t Tasks) {
  Job Result;
  Result.Id = JobId(Id);
  Result.Place = {"host", "/q/"};
  Result.Queue = QueueName("queue");
  Result.Service = ServiceId("service");
  Result.MaxFailures = 2;
  Result.Spec.Payload = "payload \"quoted\" \xC3\xA9";
  StepSpec Step;
  Step.Count = Tasks;
  Step.Needs = {14000, 64, 0};
  Result.Spec.Steps = {Step, Step};
  Result.Spec.Steps[1].DependsOn = {0};
  return Result;
}

JobChanges accepted(const Job &New) {
  JobChanges Result;
  Result.Accepted.push_back(New);
  return Result;
}

JobChanges ended(const TaskId &Task, std::uint64_t Run, bool Succeeded) {
  JobChanges Result;
  Result.Ended.push_back({Task, RunNumber(Run), Succeeded});
  return Result;
}

JobState stateOf(const JobStore &Store, const std::string &Id) {
  return findJob(Store, JobId(Id))->State;
}

TEST(JobStoreTest, AJobIsCompletedWhenAllItsTasksAre) {
  JobStore Store;
  apply(Store, accepted(jobOf("a", 1)));
  EXPECT_FALSE(dependenciesDone(*findJob(Store, JobId("a")), 1));
  apply(Store, ended({JobId("a"), 0, 0}, 1, true));
  EXPECT_TRUE(dependenciesDone(*findJob(Store, JobId("a")), 1));
  EXPECT_EQ(stateOf(Store, "a"), JobState::Active);
  apply(Store, ended({JobId("a"), 1, 0}, 1, true));
  EXPECT_EQ(stateOf(Store, "a"), JobState::Completed);
}

TEST(JobStoreTest, ARepeatedFailureReportCountsOnce) {
  JobStore Store;
  apply(Store, accepted(jobOf("a", 1)));
  for (int I = 0; I < 5; ++I)
    apply(Store, ended({JobId("a"), 0, 0}, 1, false));
  EXPECT_EQ(stateOf(Store, "a"), JobState::Active);
  apply(Store, ended({JobId("a"), 0, 0}, 2, false));
  EXPECT_EQ(stateOf(Store, "a"), JobState::Failed);
}

TEST(JobStoreTest, ASecondSubmissionChangesNothing) {
  JobStore Store;
  apply(Store, accepted(jobOf("a", 1)));
  apply(Store, ended({JobId("a"), 0, 0}, 1, true));
  JobStore Before = Store;
  apply(Store, accepted(jobOf("a", 7)));
  EXPECT_EQ(Store.Jobs, Before.Jobs);
}

TEST(JobStoreTest, AnEndedJobStaysAsItEnded) {
  JobStore Store;
  apply(Store, accepted(jobOf("a", 1)));
  JobChanges Cancel;
  Cancel.Cancelled.push_back(JobId("a"));
  apply(Store, Cancel);
  apply(Store, ended({JobId("a"), 0, 0}, 1, true));
  EXPECT_EQ(stateOf(Store, "a"), JobState::Cancelled);
}

TEST(JobStoreTest, ABatchThatDoesNotParseChangesNothing) {
  ReplicatedJobs Jobs;
  Jobs.apply(wire::writeChanges(accepted(jobOf("a", 2))));
  std::string Before = Jobs.snapshot();
  Jobs.apply("{\"accepted\":[{}]}");
  Jobs.apply("none");
  EXPECT_EQ(Jobs.snapshot(), Before);
  EXPECT_FALSE(attempt([&] { return Jobs.restore("none"); }).ok());
  EXPECT_EQ(Jobs.snapshot(), Before);
}

// The same batches give the same state, whether they are applied directly,
// through their JSON form, or with a snapshot restored in between.
RC_GTEST_PROP(JobStoreProperties, SnapshotsAndBatchesAgree, ()) {
  ReplicatedJobs Uninterrupted;
  ReplicatedJobs Restored;
  JobStore Plain;
  auto Steps = *rc::gen::inRange(1, 40);
  for (int I = 0; I < Steps; ++I) {
    std::string Id(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    JobChanges Changes;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      Changes = accepted(jobOf(Id, *rc::gen::inRange<std::uint32_t>(1, 4)));
      break;
    case 1:
      Changes.Cancelled.push_back(JobId(Id));
      break;
    case 2:
      Changes.Forgotten.push_back(JobId(Id));
      break;
    default:
      Changes = ended({JobId(Id), *rc::gen::inRange<std::uint32_t>(0, 3),
                       *rc::gen::inRange<std::uint32_t>(0, 4)},
                      *rc::gen::inRange<std::uint64_t>(1, 5),
                      *rc::gen::arbitrary<bool>());
    }
    std::string Batch = wire::writeChanges(Changes);
    Uninterrupted.apply(Batch);
    Restored.apply(Batch);
    apply(Plain, Changes);
    if (*rc::gen::inRange(0, 5) == 0) {
      ReplicatedJobs Next;
      RC_ASSERT(
          attempt([&] { return Next.restore(Restored.snapshot()); }).ok());
      Restored = Next;
    }
  }
  RC_ASSERT(Uninterrupted.store().Jobs == Plain.Jobs);
  RC_ASSERT(Restored.store().Jobs == Plain.Jobs);
}

} // namespace
} // namespace geraniumbay::jobs
