//===- takeovertest.cpp - What a new owner does not know yet --------------===//
//
// An owner is lost while its tasks run, and the next one begins with a list of
// workers that lacks some of them: a leader that has just started, or an entry
// that follows one. Tasks of the earlier owner must not start before its leases
// are over, and start at once where all workers are known and have answered.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/scheduler.h"
#include "jobs/tests/controlfake.h"

#include <gtest/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

/// Two workers, and owners that follow each other over one log.
class TakeOverTest : public testing::Test {
protected:
  TakeOverTest() {
    First = Workers.add("10.1.1.1", "a", 2000);
    Second = Workers.add("10.1.1.2", "a", 2000);
    Workers.TaskTime = 3s;
  }

  std::unique_ptr<Scheduler> owner(std::uint64_t Token, bool KnowsAllWorkers,
                                   const std::vector<WorkerInfo> &Known) {
    SchedulerNeeds Needs{[] { return true; },
                         [](FencingToken /*Token*/) {},
                         [KnowsAllWorkers] { return KnowsAllWorkers; },
                         &Log,
                         Log.Jobs.store(),
                         Evacuated,
                         Calls,
                         Clock,
                         Timers,
                         Measured};
    auto Result = std::make_unique<Scheduler>(
        std::move(Needs), FencingToken(Token), LeaseSettings());
    announceTo(*Result, Known);
    return Result;
  }

  void announceTo(Scheduler &Owner, const std::vector<WorkerInfo> &Known) {
    for (const WorkerInfo &Each : Known)
      announce(Directory, Each, Clock.now());
    Owner.takeWorkers(Directory);
  }

  void run(Duration For) {
    for (Time End = Clock.now() + For; Clock.now() < End;) {
      Clock.advance(1ms);
      while (Timers.runDue() != 0) {
        // What a callback makes due at once runs in this millisecond too.
      }
    }
  }

  Job job(bool Transient) const {
    Job New;
    New.Id = JobId("job");
    New.Service = First.Service;
    New.MaxFailures = 3;
    New.Spec.Transient = Transient;
    StepSpec Step;
    Step.Count = 1;
    Step.Needs.CpuMillis = 1000;
    Step.Estimate = 100ms;
    New.Spec.Steps = {Step};
    New.Tasks = {{TaskRecord()}};
    return New;
  }

  /// The job runs on the first worker, and its owner is lost.
  void startAndLoseOwner(bool Transient) {
    auto Earlier = owner(1, true, {First});
    run(50ms);
    if (Transient)
      Earlier->run(job(true), Arrival(), [](const Outcome<TransientEnd> &) {});
    else
      Earlier->accept(job(false),
                      [](const Outcome<Done> &Was) { ASSERT_TRUE(Was); });
    run(50ms);
    ASSERT_EQ(Workers.Starts, 1U);
    Directory = WorkerDirectory();
  }

  ManualClock Clock;
  TimerQueue Timers{Clock};
  WorkerFaults Faults;
  FakeWorkers Workers{Clock, Timers, Faults};
  FakeWorkerCalls Calls{Workers, "10.0.1.1"};
  Metrics Measured;
  FakeLog Log{Timers, {"10.0.9.1", 7000}};
  std::set<DataCentreId> Evacuated;
  WorkerDirectory Directory;
  WorkerInfo First;
  WorkerInfo Second;
};

TEST_F(TakeOverTest, AStoredJobIsLeftToAWorkerThatIsNotKnownYet) {
  startAndLoseOwner(false);
  auto Next = owner(2, false, {Second});
  run(300ms);
  EXPECT_EQ(Workers.Starts, 1U);
  announceTo(*Next, {First});
  run(2s);
  EXPECT_EQ(Workers.Starts, 1U);
  EXPECT_TRUE(Workers.Doubled.empty());
}

TEST_F(TakeOverTest, AStoredJobStartsElsewhereOnceTheLeaseIsOver) {
  startAndLoseOwner(false);
  auto Next = owner(2, false, {Second});
  run(2s);
  EXPECT_EQ(Workers.Starts, 2U);
  EXPECT_TRUE(Workers.Doubled.empty());
}

TEST_F(TakeOverTest, AStoredJobStartsAtOnceWhereAllWorkersAreKnown) {
  startAndLoseOwner(false);
  Workers.TaskTime = 100ms;
  // The first worker has lost its tasks.
  run(1500ms);
  auto Next = owner(2, true, {First, Second});
  run(50ms);
  EXPECT_EQ(Workers.Starts, 2U);
}

TEST_F(TakeOverTest, AHandedInJobIsLeftToAWorkerThatIsNotKnownYet) {
  startAndLoseOwner(true);
  auto Next = owner(2, false, {Second});
  run(10ms);
  Arrival Again;
  Again.MaybeTaken = true;
  Again.Patience = 5s;
  Next->run(job(true), Again, [](const Outcome<TransientEnd> &) {});
  run(300ms);
  EXPECT_EQ(Workers.Starts, 1U);
  run(2s);
  EXPECT_TRUE(Workers.Doubled.empty());
}

// An entry counts on the list of a leader that has led for long, and not on
// that of one that has just started and knows what has come so far.
TEST(WorkersKnownTest, ALeaderThatHasJustStartedDoesNotKnowAllWorkers) {
  EntryFake Fake(1, 4);
  ControlFake Control(Fake, "document");
  Json::Value Told;
  auto Ask = [&] {
    Json::Value Params(Json::objectValue);
    Params["entry"] = "10.0.1.9:7000";
    Params["data_centre"] = "a";
    Params["workers_of"] = Told["workers_of"];
    Params["workers_change"] = Told["workers_change"];
    Fake.Net.call({"10.0.1.9", 7000}, Fake.controlAddress(), wire::method::Sync,
                  Params, 1s, [&](const Outcome<Json::Value> &Result) {
                    ASSERT_TRUE(Result);
                    Json::Value Kept = Told;
                    Told = *Result;
                    if (!Told.isMember("workers_of")) {
                      Told["workers_of"] = Kept["workers_of"];
                      Told["workers_change"] = Kept["workers_change"];
                    }
                  });
    Fake.run(10ms);
  };
  Fake.run(500ms);
  Ask();
  Ask();
  EXPECT_FALSE(Told.isMember("all_workers"));
  Fake.run(3s);
  Ask();
  EXPECT_TRUE(Told["all_workers"].asBool());
}

} // namespace
} // namespace geraniumbay::jobs
