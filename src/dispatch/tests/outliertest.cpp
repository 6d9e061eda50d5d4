//===- outliertest.cpp - Tests of leaving failing workers out -------------===//

#include "dispatch/tests/poolfixture.h"

#include <gtest/gtest.h>

namespace geraniumbay::dispatch {
namespace {

/// Serves requests for \p For, each at once; tasks fail where \p Fails says so.
/// Returns how many tasks each worker got.
template <typename FailsT>
std::map<std::string, int> serve(PoolFixture &Fixture, Duration For,
                                 FailsT Fails) {
  std::map<std::string, int> Tasks;
  Time End = Fixture.Clock.now() + For;
  for (int I = 0; Fixture.Clock.now() < End; ++I) {
    PoolRequest Request =
        request("q" + std::to_string(Fixture.Warm) + "." + std::to_string(I));
    Request.Kind = RequestKind::RepeatableSingle;
    Fixture.ask(Request);
    for (const Lease &Each : Fixture.grants()) {
      ++Tasks[Each.Worker.value()];
      Fixture.done(Each,
                   Fails(Each) ? LeaseOutcome::Failed : LeaseOutcome::Succeeded,
                   milliseconds(1));
    }
    if (I % 50 == 0)
      for (int W = 0; W < 4; ++W)
        announce(*Fixture.Pool, worker("w" + std::to_string(W)),
                 Fixture.Clock.now());
    Fixture.Clock.advance(milliseconds(2));
  }
  ++Fixture.Warm;
  return Tasks;
}

bool never(const Lease & /*Of*/) { return false; }
bool atW0(const Lease &Of) { return Of.Worker == WorkerId("w0"); }

TEST(OutlierTest, AWorkerThatFailsEverythingGetsAtMostFiveTasks) {
  PoolFixture Fixture;
  Fixture.addWorkers(4);
  serve(Fixture, milliseconds(200), never);
  auto Tasks = serve(Fixture, milliseconds(900), atW0);
  EXPECT_GT(Tasks["w1"], 50);
  EXPECT_LE(Tasks["w0"], 5);
}

TEST(OutlierTest, ANewWorkerThatFailsABurstGetsAtMostFiveTasks) {
  PoolFixture Fixture;
  announce(*Fixture.Pool, worker("new"), Fixture.Clock.now());
  Fixture.ask(request("job", 50));
  int Tasks = 0;
  for (int Round = 0; Round < 20; ++Round)
    for (const Lease &Each : Fixture.grants()) {
      ++Tasks;
      Fixture.done(Each, LeaseOutcome::Failed);
    }
  EXPECT_LE(Tasks, 5);
}

TEST(OutlierTest, ProbesBecomeRarerAndBringAHealedWorkerBack) {
  PoolFixture Fixture;
  Fixture.addWorkers(4);
  serve(Fixture, seconds(1), atW0);
  auto Probes = serve(Fixture, seconds(14), atW0);
  EXPECT_GE(Probes["w0"], 2);
  EXPECT_LE(Probes["w0"], 5);
  serve(Fixture, seconds(20), never);
  auto Healed = serve(Fixture, seconds(1), never);
  EXPECT_GT(Healed["w0"], 50);
}

TEST(OutlierTest, AQuickHealthyWorkerIsNeverLeftOut) {
  PoolFixture Fixture;
  Fixture.addWorkers(4);
  int Count = 0;
  auto OneInTwenty = [&Count](const Lease &) { return ++Count % 20 == 0; };
  auto Tasks = serve(Fixture, seconds(20), OneInTwenty);
  for (const auto &[Name, Got] : Tasks)
    EXPECT_GT(Got, 2000) << Name;
}

TEST(OutlierTest, ACallerWhoseTasksAlwaysFailLeavesNoWorkerOut) {
  PoolFixture Fixture;
  Fixture.addWorkers(4);
  // The caller has had no success for a while.
  Fixture.Clock.advance(milliseconds(2500));
  serve(Fixture, seconds(2), [](const Lease &) { return true; });
  EXPECT_GE(summaries(*Fixture.Pool)[0].Slots, 16U);
}

TEST(OutlierTest, AfterAFailureOnlyLaterLeasesProveAWorkerWell) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  Fixture.ask(request("r", 4));
  auto Out = Fixture.grants();
  ASSERT_EQ(Out.size(), 4U);
  Fixture.done(Out[0], LeaseOutcome::Failed);
  Fixture.ask(request("next", 20));
  auto Next = Fixture.grants();
  ASSERT_EQ(Next.size(), 1U);
  Fixture.done(Out[1], LeaseOutcome::Succeeded);
  Fixture.done(Out[2], LeaseOutcome::Succeeded);
  EXPECT_TRUE(Fixture.grants().empty());
  Fixture.done(Next[0], LeaseOutcome::Succeeded);
  EXPECT_EQ(Fixture.grants().size(), 2U);
}

TEST(OutlierTest, ASlowWorkerIsPickedLastAlsoBeforeItsFirstTaskEnds) {
  PoolFixture Fixture;
  Fixture.addWorkers(2);
  Fixture.ask(request("early", 4));
  for (const Lease &Each : Fixture.grants())
    if (Each.Worker == WorkerId("w1"))
      Fixture.done(Each, LeaseOutcome::Succeeded);
  Fixture.Clock.advance(milliseconds(400));
  announce(*Fixture.Pool, worker("w0"), Fixture.Clock.now());
  Fixture.ask(request("job", 8));
  for (const Lease &Each : Fixture.grants()) {
    EXPECT_EQ(Each.Worker, WorkerId("w1"));
    Fixture.done(Each, LeaseOutcome::Succeeded);
  }
}

TEST(OutlierTest, AWorkerWhoseTasksRunLongIsPickedLast) {
  PoolFixture Fixture;
  Fixture.addWorkers(2);
  for (int Round = 0; Round < 5; ++Round) {
    Fixture.ask(request("r" + std::to_string(Round), 2));
    for (const Lease &Each : Fixture.grants())
      Fixture.done(Each, LeaseOutcome::Succeeded,
                   milliseconds(Each.Worker == WorkerId("w0") ? 900 : 100));
  }
  Fixture.ask(request("job", 8));
  for (const Lease &Each : Fixture.grants())
    EXPECT_EQ(Each.Worker, WorkerId("w1"));
}

TEST(OutlierTest, AnUnreachableWorkerIsLeftOutAndAGuardsRefusalIsBelieved) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  Fixture.ask(request("r"));
  Fixture.done(Fixture.grants()[0], LeaseOutcome::Refused);
  Fixture.ask(request("r2"));
  EXPECT_TRUE(Fixture.grants().empty());
  announce(*Fixture.Pool, worker("w0"), Fixture.Clock.now());
  for (int I = 0; I < 4; ++I) {
    Fixture.ask(request("u" + std::to_string(I)));
    for (const Lease &Each : Fixture.grants())
      Fixture.done(Each, LeaseOutcome::Unreachable);
  }
  EXPECT_EQ(summaries(*Fixture.Pool)[0].Slots, 0U);
}

} // namespace
} // namespace geraniumbay::dispatch
