//===- entryjobstest.cpp - Entries under failures and partitions ----------===//
//
// Complete entries with workers that enforce leases and fencing tokens. Checks
// which entry owns the pool, and that no task ever has two concurrent runs
// under any network partition.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/tests/entryfake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

TEST(EntryJobsTest, OneEntryOwnsThePoolAndAllServe) {
  EntryFake Fake(2, 3);
  Fake.settle();
  ASSERT_EQ(Fake.owners().size(), 1U);
  std::vector<std::shared_ptr<Submitted>> Jobs;
  for (std::size_t I = 0; I < Fake.Entries.size(); ++I) {
    EXPECT_TRUE(Fake.Entries[I].Jobs->ready());
    Jobs.push_back(Fake.submit(I, "job" + std::to_string(I)));
  }
  Fake.run(1s);
  for (const auto &Job : Jobs)
    EXPECT_TRUE(served(Job));
  EXPECT_EQ(Fake.Workers.Starts, 8U);
}

TEST(EntryJobsTest, AJobSentAgainElsewhereJoinsTheOneThatRuns) {
  EntryFake Fake(2, 3);
  Fake.settle();
  auto First = Fake.submit(0, "job");
  Fake.run(50ms);
  auto Again = Fake.submit(3, "job");
  Fake.run(1s);
  EXPECT_TRUE(served(First));
  EXPECT_TRUE(served(Again));
  EXPECT_EQ(Fake.Workers.Starts, 2U);
}

// An owner with an eighth of a core is busy for a fifth of a second with jobs
// of many tasks. Pings that arrive during that time are only read after its
// timers have run, so they must not be taken as missing.
TEST(EntryJobsTest, AShortPauseOfTheOwnerCostsNoJob) {
  for (Duration Offset : {10ms, 35ms, 60ms, 85ms}) {
    EntryFake Fake(2, 3);
    Fake.Workers.TaskTime = 900ms;
    Fake.settle();
    Fake.run(Offset);
    auto Job = Fake.submit(1 - Fake.owners().at(0), "job");
    Fake.run(300ms);
    Fake.Clock.advance(200ms);
    Fake.run(2s);
    EXPECT_TRUE(served(Job));
    EXPECT_EQ(Fake.Workers.Starts, 2U);
  }
}

TEST(EntryJobsTest, AnUnknownPathIsAnsweredNoQueue) {
  EntryFake Fake(1, 1);
  Fake.settle();
  std::optional<JobAnswer> Answer;
  JobSpec Spec;
  Spec.Transient = true;
  Spec.Steps.emplace_back();
  Fake.Entries[0].Jobs->submit({"host", "/other/job", 1s}, Spec,
                               [&](const JobAnswer &Given) { Answer = Given; });
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->Outcome, JobOutcome::NoQueue);
}

TEST(EntryJobsTest, AJobIsStoppedWhenItsCallerDisconnects) {
  EntryFake Fake(1, 2);
  Fake.Workers.TaskTime = 10s;
  Fake.settle();
  auto Job = Fake.submit(1 - Fake.owners().at(0), "job");
  Fake.run(100ms);
  ASSERT_EQ(Fake.Workers.running(), 2U);
  Job->Abandon();
  Fake.run(100ms);
  EXPECT_EQ(Fake.Workers.running(), 0U);
  EXPECT_FALSE(Job->Answer);
}

TEST(EntryJobsTest, WithoutControlVmsServiceGoesOn) {
  EntryFake Fake(2, 3);
  Fake.settle();
  Fake.ControlAway = true;
  Fake.run(20s);
  auto Job = Fake.submit(0, "job");
  Fake.run(1s);
  EXPECT_TRUE(served(Job));
}

TEST(EntryJobsTest, WhatRunsIsKeptWhenTheOwnerStops) {
  EntryFake Fake(2, 3);
  Fake.Workers.TaskTime = 800ms;
  Fake.settle();
  std::size_t Owner = Fake.owners().at(0);
  auto Job = Fake.submit((Owner + 1) % 4, "job");
  Fake.run(300ms);
  Fake.Entries[Owner].Jobs->prepareStop();
  Fake.run(1s);
  EXPECT_TRUE(served(Job));
  EXPECT_EQ(Fake.Workers.Starts, 2U);
  ASSERT_EQ(Fake.owners().size(), 1U);
  EXPECT_NE(Fake.owners().at(0), Owner);
}

// A new owner has no confirmation yet that the other entries hear it, and must
// not stop their jobs for that.
TEST(EntryJobsTest, ANewOwnerKeepsTheJobsOfAllEntries) {
  EntryFake Fake(2, 6);
  Fake.Workers.TaskTime = 600ms;
  Fake.settle();
  std::size_t Owner = Fake.owners().at(0);
  std::vector<std::shared_ptr<Submitted>> Jobs;
  for (std::size_t I = 0; I < 4; ++I)
    Jobs.push_back(Fake.submit(I, "before" + std::to_string(I)));
  Fake.run(200ms);
  Fake.Entries[Owner].Jobs->prepareStop();
  for (std::size_t Step = 0; Step < 10; ++Step) {
    for (std::size_t I = 0; I < 4; ++I)
      Jobs.push_back(Fake.submit(I, "after" + std::to_string(Step * 4 + I), 1));
    Fake.run(100ms);
  }
  Fake.run(3s);
  for (const auto &Job : Jobs)
    EXPECT_TRUE(served(Job));
  EXPECT_EQ(Fake.Workers.Starts, 48U);
}

// A partition delays a ping that was sent before its sender claimed the pool.
// When it arrives, later messages have already named the sender as the owner;
// the old ping must not be read as a release of ownership.
TEST(EntryJobsTest, APingThatWasHeldUpByACutMovesNoOwner) {
  EntryFake Fake(2, 3);
  Fake.settle();
  ASSERT_EQ(Fake.owners(), std::vector<std::size_t>{0});
  Json::Value Held(Json::objectValue);
  Held["from"] = Fake.Entries[1].At.text();
  Held["sent_us"] = Json::UInt64(Fake.Clock.now().time_since_epoch().count());
  Held["pools"]["all"]["owner"] = Fake.Entries[0].At.text();
  Held["pools"]["all"]["token"] = 1;
  // The first in rank crashes and restarts; the second owns the pool in the
  // meantime.
  Fake.crash(0);
  Fake.run(2s);
  Fake.start(0);
  Fake.run(2s);
  ASSERT_EQ(Fake.owners(), std::vector<std::size_t>{1});
  // Between two pings, since their answers would correct the owner.
  Fake.run(40ms);
  Fake.Net.Servers[Fake.Entries[0].At].at(wire::method::Ping)(
      Held, [](const Outcome<Json::Value> & /*Answer*/) {
        // Only the effect on the owner matters here.
      });
  Fake.run(30ms);
  EXPECT_EQ(Fake.owners(), std::vector<std::size_t>{1});
}

TEST(EntryJobsTest, AnOwnerThatDiesIsReplacedWithinASecond) {
  EntryFake Fake(2, 3);
  Fake.settle();
  std::size_t Owner = Fake.owners().at(0);
  Fake.crash(Owner);
  Fake.run(1s);
  auto Job = Fake.submit((Owner + 1) % 4, "job");
  Fake.run(500ms);
  EXPECT_TRUE(served(Job));
}

// The worker left while there was no leader that could report it.
TEST(EntryJobsTest, AWorkerThatANewLeaderDoesNotKnowIsForgotten) {
  EntryFake Fake(1, 2);
  Fake.settle();
  ASSERT_TRUE(served([&] {
    auto Job = Fake.submit(0, "before", 8);
    Fake.run(1s);
    return Job;
  }()));
  WorkerId Left = Fake.announcements().back().Worker;
  std::uint64_t Before = Fake.Workers.StartsOn[Left];
  EXPECT_GT(Before, 0U);
  Fake.announcements().pop_back();
  Fake.ListIsPartial = true;
  Fake.ListTerm = 2;
  Fake.run(1s);
  Fake.submit(0, "between", 8);
  Fake.run(1s);
  std::uint64_t Between = Fake.Workers.StartsOn[Left];
  EXPECT_GT(Between, Before);
  Fake.ListIsPartial = false;
  Fake.ListTerm = 3;
  Fake.run(1s);
  Fake.submit(0, "after", 8);
  Fake.run(1s);
  EXPECT_EQ(Fake.Workers.StartsOn[Left], Between);
}

// A worker that fails tasks at once is always free, so it would be given most
// tasks and fail most jobs.
TEST(EntryJobsTest, AWorkerThatFailsEverythingGetsFewTasks) {
  EntryFake Fake(1, 3);
  Fake.Workers.TaskTime = 100ms;
  Fake.settle();
  Fake.Workers.Broken.insert(WorkerId("w-10.1.1.1"));
  std::vector<std::shared_ptr<Submitted>> Jobs;
  for (int I = 0; I < 60; ++I) {
    Jobs.push_back(Fake.submit(0, "job" + std::to_string(I), 2));
    Fake.run(40ms);
  }
  Fake.run(1s);
  for (const auto &Job : Jobs)
    EXPECT_TRUE(served(Job));
  EXPECT_LE(Fake.Workers.StartsOnBroken, 12U);
  // Once repaired, it is used again after its pause.
  Fake.Workers.Broken.clear();
  Fake.run(7s);
  std::uint64_t Before = Fake.Workers.Starts;
  std::vector<std::shared_ptr<Submitted>> Wide;
  for (int I = 0; I < 10; ++I) {
    Wide.push_back(Fake.submit(0, "wide" + std::to_string(I), 12));
    Fake.run(150ms);
  }
  Fake.run(2s);
  EXPECT_EQ(Fake.Workers.Starts - Before, 120U);
  for (const auto &Job : Wide)
    EXPECT_TRUE(served(Job));
}

// An entry that knows no other entry yet must not claim the pool from its
// owner.
TEST(EntryJobsTest, ARestartedEntryFollowsTheOwner) {
  EntryFake Fake(2, 2);
  Fake.settle();
  std::size_t Owner = Fake.owners().at(0);
  std::size_t Other = (Owner + 1) % 4;
  Fake.ControlAway = true;
  Fake.crash(Other);
  Fake.start(Other);
  Fake.run(2s);
  EXPECT_EQ(Fake.owners(), std::vector<std::size_t>{Owner});
  Fake.ControlAway = false;
  Fake.run(2s);
  EXPECT_EQ(Fake.owners(), std::vector<std::size_t>{Owner});
  EXPECT_TRUE(Fake.Entries[Other].Jobs->ready());
}

TEST(EntryJobsTest, ACutOffDataCentreGoesOnAndTheLargerSideStays) {
  EntryFake Fake(2, 2);
  Fake.settle();
  Fake.cutDataCentre(false);
  Fake.run(2s);
  EXPECT_EQ(Fake.owners().size(), 2U);
  auto InA = Fake.submit(0, "a");
  auto InB = Fake.submit(2, "b");
  Fake.run(1s);
  EXPECT_TRUE(served(InA));
  EXPECT_TRUE(served(InB));
  Fake.join();
  Fake.run(2s);
  EXPECT_EQ(Fake.owners().size(), 1U);
  auto After = Fake.submit(0, "after");
  Fake.run(1s);
  EXPECT_TRUE(served(After));
}

struct Cut {
  bool Refuses;
  int Long;
};

class CutTest : public testing::TestWithParam<Cut> {};

// Long tasks are running on both sides when the network is cut. Each side waits
// for the leases of the other to expire, and finds the tasks that it started.
TEST_P(CutTest, NoTaskRunsTwiceAtATime) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    EntryFake Fake(2, 4, Seed);
    Fake.Workers.TaskTime = 1500ms;
    Fake.settle();
    for (int I = 0; I < 4; ++I)
      Fake.submit(I, "before" + std::to_string(I));
    Fake.run(100ms + Seed * 70ms);
    Fake.cutDataCentre(GetParam().Refuses);
    for (int Step = 0; Step < GetParam().Long; ++Step) {
      for (int I = 0; I < 4; ++I)
        Fake.submit(I, "during" + std::to_string(Step * 4 + I), 1);
      Fake.run(200ms);
    }
    Fake.join();
    for (int I = 0; I < 4; ++I)
      Fake.submit(I, "after" + std::to_string(I), 1);
    Fake.run(4s);
    EXPECT_TRUE(Fake.Workers.Doubled.empty()) << "seed " << Seed;
    EXPECT_EQ(Fake.owners().size(), 1U) << "seed " << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Cuts, CutTest,
                         testing::Values(Cut{false, 3}, Cut{false, 10},
                                         Cut{false, 25}, Cut{true, 3},
                                         Cut{true, 10}, Cut{true, 25}));

/// Runs some seconds of random jobs, partitions, delayed orders and failing
/// tasks.
void playAtRandom(EntryFake &Fake, std::uint64_t Seed) {
  Random Rng(Seed);
  Fake.Workers.TaskTime = std::chrono::milliseconds(50 + Rng.below(1500));
  Fake.Workers.FailPercent = Rng.below(10);
  Fake.Faults.LatePercent = Rng.below(8);
  Fake.settle();
  bool IsCut = false;
  for (std::uint64_t Step = 0; Step < 30; ++Step) {
    for (std::uint64_t I = Rng.below(3); I > 0; --I)
      Fake.submit(Rng.below(4), "job" + std::to_string(Step * 4 + I),
                  1 + static_cast<std::uint32_t>(Rng.below(3)));
    if (Rng.below(8) == 0) {
      IsCut = !IsCut;
      if (IsCut)
        Fake.cutDataCentre(Rng.below(2) == 0);
      else
        Fake.join();
    }
    Fake.run(Duration(20'000 + Rng.below(300'000)));
  }
  Fake.join();
  Fake.run(4s);
}

// Seeds that failed in the past.
TEST(EntryJobsTest, SeedsThatFailed) {
  for (std::uint64_t Seed :
       {9541U, 548815U, 1865U, 9017U, 332759U, 35109U, 27827U}) {
    EntryFake Fake(2, 3, Seed);
    playAtRandom(Fake, Seed);
    EXPECT_TRUE(Fake.Workers.Doubled.empty()) << "seed " << Seed;
    EXPECT_EQ(Fake.owners().size(), 1U) << "seed " << Seed;
  }
}

RC_GTEST_PROP(EntryJobsProperties, NoTaskRunsTwiceAtATime, ()) {
  auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 20U);
  EntryFake Fake(2, 3, Seed);
  playAtRandom(Fake, Seed);
  RC_ASSERT(Fake.Workers.Doubled.empty());
  RC_ASSERT(Fake.owners().size() == 1U);
}

// Guards against two runs of a task after a partition that lasted longer than
// control lists a silent worker: the remaining owner took the jobs of the other
// one and did not know the workers that ran them.
TEST(PartitionTest, NoTaskRunsTwiceWhenALongPartitionHeals) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    EntryFake Fake(3, 6, Seed);
    Random Rng(Seed);
    Fake.Workers.TaskTime = 300ms;
    // The owner with fewer workers lets the pool go.
    Fake.announcements().erase(Fake.announcements().begin());
    Fake.settle();
    Fake.cutDataCentre(false);
    Fake.run(3s);
    Fake.listWorkersOfA(false);
    Fake.run(1s);
    for (int I = 0; I < 20; ++I) {
      // Entries 0 to 2 are those of data centre "a".
      Fake.submit(Rng.below(3), "job" + std::to_string(I), 2);
      Fake.run(Duration(10'000 + Rng.below(30'000)));
      if (I == 14)
        Fake.join();
    }
    // The workers announce themselves again.
    Fake.run(Duration(Rng.below(1'500'000)));
    Fake.listWorkersOfA(true);
    Fake.run(3s);
    EXPECT_TRUE(Fake.Workers.Doubled.empty()) << "seed " << Seed;
    auto Last = Fake.submit(0, "last", 1);
    Fake.run(1s);
    EXPECT_TRUE(served(Last)) << "seed " << Seed;
  }
}

/// Calls of an entry that the test plays itself, in data centre "a".
class PlayedEntry {
public:
  explicit PlayedEntry(EntryFake &Fake) : Fake_(Fake) {}

  Json::Value call(const Endpoint &To, const char *Method,
                   const Json::Value &Params) {
    Json::Value Answer;
    Fake_.Net.call(At, To, Method, Params, 1s,
                   [&](const Outcome<Json::Value> &Result) {
                     if (Result)
                       Answer = *Result;
                   });
    Fake_.run(10ms);
    return Answer;
  }

  OwnerClaim ownerOf(const PoolName &Pool) {
    Json::Value Params(Json::objectValue);
    Params["from"] = At.text();
    Params["pools"][Pool.value()] = Json::Value(Json::objectValue);
    Json::Value Claim = call(Fake_.Entries[0].At, wire::method::Ping,
                             Params)["pools"][Pool.value()];
    auto Owner =
        attempt([&] { return parseEndpoint(Claim["owner"].asString()); });
    return {*Owner, FencingToken(Claim["token"].asUInt64())};
  }

  /// The pool that the registrar of \p Home names for \p Job when \p Claim is
  /// sent to it.
  PoolName claim(const PoolName &Home, const JobId &Job,
                 const Claimant &Claim) {
    Json::Value Params(Json::objectValue);
    Params["home"] = Home.value();
    Params["heeded"] = 0;
    Params["claims"].append(wire::write(Job, Claim));
    Json::Value Answer = call(ownerOf(Home).At, wire::method::Register, Params);
    return PoolName(Answer["answers"][0]["pool"].asString());
  }

  const Endpoint At{"10.0.1.9", 7000};

private:
  EntryFake &Fake_;
};

// Guards against two runs of a job at two pools: the later owner of a pool, for
// which the registrar took long, did not take the job and gave its claim back,
// though tasks that the earlier owner had started may have run there.
TEST(RegistrationTest, AJobThatAnEarlierOwnerHadStaysWithItsPool) {
  EntryFake Fake(3, 6);
  Fake.settleByRack();
  PlayedEntry Sender(Fake);
  std::vector<PoolName> Homes{PoolName("a/even"), PoolName("a/odd")};
  JobId Job("job");
  PoolName Home = *homeOf(Job, Homes);
  PoolName Pool = Home == Homes[0] ? Homes[1] : Homes[0];
  OwnerClaim Registrar = Sender.ownerOf(Home);
  OwnerClaim Owner = Sender.ownerOf(Pool);
  ASSERT_NE(Registrar.At, Owner.At);
  FencingToken Earlier(Owner.Token.value() - 1);
  ASSERT_EQ(Sender.claim(Home, Job, {Pool, Earlier, 1}), Pool);
  jobs::Job Wanted;
  Wanted.Id = Job;
  Wanted.Queue = QueueName("queue");
  Wanted.Service = ServiceId("service");
  Wanted.MaxFailures = 3;
  Wanted.Spec.Transient = true;
  Wanted.Spec.Steps.resize(1);
  Json::Value Params(Json::objectValue);
  Params["pool"] = Pool.value();
  Params["home"] = Home.value();
  Params["job"] = wire::write(Wanted);
  Params["origin"] = Sender.At.text();
  Params["incarnation"] = 1;
  Params["serial"] = 1;
  Params["left_us"] = 3'000'000;
  Params["age_us"] = 0;
  // As heard just now, and not again until the registrar answers.
  Params["echo_us"] = Json::UInt64(Fake.Clock.now().time_since_epoch().count());
  Fake.Turns.delay(Registrar.At.Address, 450ms);
  Sender.call(Owner.At, wire::method::Run, Params);
  Fake.run(900ms);
  EXPECT_EQ(Fake.Workers.Starts, 0U);
  EXPECT_EQ(Sender.claim(Home, Job, {Home, Registrar.Token, 1}), Pool);
}

} // namespace
} // namespace geraniumbay::jobs
