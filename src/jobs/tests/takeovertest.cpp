//===- takeovertest.cpp - What a new owner does not know yet --------------===//
//
// An owner is lost while its tasks run, and the next one starts with a list of
// workers that lacks some of them: a leader that has just started, or an entry
// that follows such a leader. Tasks of the earlier owner must not start before
// its leases have expired, and start at once where all workers are known and
// have answered.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/tests/schedulerfake.h"

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

class TakeOverTest : public SchedulerFake {
protected:
  TakeOverTest() { Workers.TaskTime = 3s; }

  /// The job runs on the first worker, and its owner is lost.
  void startAndLoseOwner(bool Transient) {
    auto Earlier = owner(1, true, {First});
    run(50ms);
    if (Transient)
      Earlier->run(job(true), TransientRequest(),
                   [](const Outcome<TransientEnd> &) {});
    else
      Earlier->accept(job(false),
                      [](const Outcome<Done> &Was) { ASSERT_TRUE(Was); });
    run(50ms);
    ASSERT_EQ(Workers.Starts, 1U);
    Directory = WorkerDirectory();
  }
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

TEST_F(TakeOverTest, AStoredJobStartsElsewhereOnceTheLeaseHasExpired) {
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

TEST_F(TakeOverTest, AResubmittedJobIsLeftToAWorkerThatIsNotKnownYet) {
  startAndLoseOwner(true);
  auto Next = owner(2, false, {Second});
  run(10ms);
  TransientRequest Again;
  Again.MaybeTaken = true;
  Again.TimeLeft = 5s;
  Next->run(job(true), Again, [](const Outcome<TransientEnd> &) {});
  run(300ms);
  EXPECT_EQ(Workers.Starts, 1U);
  run(2s);
  EXPECT_TRUE(Workers.Doubled.empty());
}

// Guards against two runs after a partition has healed: control had dropped the
// workers of the other side as silent, and the answers of all others were taken
// for proof that the job runs nowhere.
TEST_F(TakeOverTest, AJobOfAnOwnerBesideThisOneWaitsForThatOnesLeases) {
  startAndLoseOwner(true);
  // This owner has existed all the while.
  auto Beside = owner(2, true, {Second});
  run(10ms);
  TransientRequest Again;
  Again.MaybeTaken = true;
  Again.TimeLeft = 5s;
  Again.SentElsewhereAgo = 5ms;
  Beside->run(job(true), Again, [](const Outcome<TransientEnd> &) {});
  run(300ms);
  EXPECT_EQ(Workers.Starts, 1U);
  announceTo(*Beside, {First});
  run(2s);
  EXPECT_TRUE(Workers.Doubled.empty());
}

// The next owner would not query a worker that control no longer lists.
TEST_F(TakeOverTest, AWorkerThatControlHasRemovedGetsNoNewTasks) {
  startAndLoseOwner(false);
  auto Next = owner(2, true, {First, Second});
  run(50ms);
  ASSERT_EQ(Workers.running(), 1U);
  removeWorker(Directory, First.Worker);
  Next->applyWorkers(Directory);
  std::uint64_t Before = Workers.StartsOn[First.Worker];
  for (int I = 0; I < 4; ++I) {
    Job New = job(true);
    New.Id = JobId("later" + std::to_string(I));
    TransientRequest How;
    How.TimeLeft = 5s;
    Next->run(New, How, [](const Outcome<TransientEnd> &) {});
  }
  run(500ms);
  EXPECT_EQ(Workers.StartsOn[First.Worker], Before);
  EXPECT_EQ(Workers.StartsOn[Second.Worker], 2U);
  // Its running tasks continue.
  EXPECT_EQ(Workers.running(), 3U);
}

// An entry relies on the list of a leader that has led for long, and not on
// that of one that has just started and knows only the workers announced so
// far.
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
