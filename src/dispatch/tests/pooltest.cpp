//===- pooltest.cpp - Tests of a pool's rules -----------------------------===//

#include "dispatch/tests/poolfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace geraniumbay::dispatch {
namespace {

/// Serves the pool's only slot \p Count times and returns the requests' teams
/// or ids in the order in which they were served.
std::vector<std::string> serveOneByOne(PoolFixture &Fixture, int Count) {
  std::vector<std::string> Order;
  for (int I = 0; I < Count; ++I) {
    std::vector<Lease> Granted = Fixture.grants();
    if (Granted.size() != 1)
      break;
    Order.push_back(Granted[0].Request.value());
    Fixture.Clock.advance(milliseconds(1));
    Fixture.done(Granted[0], LeaseOutcome::Succeeded);
  }
  return Order;
}

long countOf(const std::vector<std::string> &Order, const std::string &Name) {
  return std::count(Order.begin(), Order.end(), Name);
}

PoolPolicy longQueue() {
  PoolPolicy Policy;
  Policy.MaxUrgentWait = std::chrono::hours(1);
  Policy.MaxRoutineWait = std::chrono::hours(1);
  return Policy;
}

TEST(PoolTest, UrgentGoesFirstAndRoutineGetsItsShare) {
  PoolPolicy Policy = longQueue();
  Policy.RoutineShare = 0.1;
  PoolFixture Fixture(Policy);
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("routine", 200));
  Fixture.ask(request("urgent", 200, WorkClass::Urgent));
  auto Order = serveOneByOne(Fixture, 100);
  ASSERT_EQ(Order.size(), 100U);
  EXPECT_EQ(Order[0], "urgent");
  EXPECT_NEAR(countOf(Order, "routine"), 10, 1);
}

TEST(PoolTest, TeamsShareByWeight) {
  PoolPolicy Policy = longQueue();
  Policy.Teams[TeamId("heavy")].Weight = 3;
  PoolFixture Fixture(Policy);
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("light", 200, WorkClass::Routine, "light"));
  Fixture.ask(request("heavy", 200, WorkClass::Routine, "heavy"));
  auto Order = serveOneByOne(Fixture, 100);
  EXPECT_NEAR(countOf(Order, "heavy"), 75, 1);
}

TEST(PoolTest, ATeamThatWasIdleSavesUpNoCredit) {
  PoolFixture Fixture(longQueue());
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("busy", 200, WorkClass::Routine, "busy"));
  serveOneByOne(Fixture, 50);
  Fixture.ask(request("idle", 200, WorkClass::Routine, "idle"));
  EXPECT_NEAR(countOf(serveOneByOne(Fixture, 50), "idle"), 25, 1);
}

TEST(PoolTest, ASmallRequestGoesBeforeALargeOneOfItsTeamButNotForEver) {
  PoolFixture Fixture(longQueue());
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("large", 20));
  Fixture.ask(request("small", 2));
  auto Order = serveOneByOne(Fixture, 2);
  EXPECT_EQ(countOf(Order, "small"), 2);
  // The large one counts as 0.6 times 20 tasks of 100 ms later.
  Fixture.Clock.advance(milliseconds(1300));
  Fixture.ask(request("later", 2));
  EXPECT_EQ(countOf(serveOneByOne(Fixture, 2), "large"), 2);
}

TEST(PoolTest, AJobThatWasBegunGoesBeforeASmallerNewOne) {
  PoolFixture Fixture(longQueue());
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("begun", 20));
  serveOneByOne(Fixture, 15);
  Fixture.ask(request("new", 10));
  EXPECT_EQ(countOf(serveOneByOne(Fixture, 5), "begun"), 5);
}

TEST(PoolTest, AQuotaBoundsTheLeasesOfATeam) {
  PoolPolicy Policy = longQueue();
  Policy.Teams[TeamId("t")].MaxLeases = 3;
  PoolFixture Fixture(Policy);
  Fixture.addWorkers(2);
  Fixture.ask(request("r", 10));
  auto Granted = Fixture.grants();
  ASSERT_EQ(Granted.size(), 3U);
  EXPECT_TRUE(Fixture.grants().empty());
  Fixture.done(Granted[0], LeaseOutcome::Succeeded);
  EXPECT_EQ(Fixture.grants().size(), 1U);
}

TEST(PoolTest, AnOlderIncarnationIsRefused) {
  PoolFixture Fixture;
  EXPECT_TRUE(announce(*Fixture.Pool, worker("w", 8, 5), Fixture.Clock.now()));
  EXPECT_FALSE(announce(*Fixture.Pool, worker("w", 8, 4), Fixture.Clock.now()));
}

TEST(PoolTest, ARemovalWinsOverAnOlderAnnouncement) {
  PoolFixture Fixture;
  removeWorker(*Fixture.Pool, WorkerId("w"), Incarnation(5),
               Fixture.Clock.now());
  EXPECT_FALSE(announce(*Fixture.Pool, worker("w", 8, 5), Fixture.Clock.now()));
  EXPECT_TRUE(announce(*Fixture.Pool, worker("w", 8, 6), Fixture.Clock.now()));
}

TEST(PoolTest, LeavingWinsOverADelayedAnnouncementOfTheSameStart) {
  PoolFixture Fixture;
  WorkerAnnouncement Leaving = worker("w");
  Leaving.Leaving = true;
  announce(*Fixture.Pool, worker("w"), Fixture.Clock.now());
  announce(*Fixture.Pool, Leaving, Fixture.Clock.now());
  announce(*Fixture.Pool, worker("w"), Fixture.Clock.now());
  EXPECT_EQ(summaries(*Fixture.Pool)[0].Slots, 0U);
}

TEST(PoolTest, ADeadEntrysLeasesComeBackAsTheWorkerReportsFreeSlots) {
  PoolPolicy Policy;
  Policy.FirstLeases = 8;
  PoolFixture Fixture(Policy);
  announce(*Fixture.Pool, worker("w"), Fixture.Clock.now());
  Fixture.ask(request("r", 8), entry("dead"));
  ASSERT_EQ(Fixture.grants().size(), 8U);
  entryDied(*Fixture.Pool, VmId("dead"), Incarnation(1));
  EXPECT_EQ(summaries(*Fixture.Pool)[0].Free, 0U);
  Fixture.Clock.advance(seconds(1));
  WorkerAnnouncement Report = worker("w");
  Report.Busy = 3;
  announce(*Fixture.Pool, Report, Fixture.Clock.now());
  EXPECT_EQ(summaries(*Fixture.Pool)[0].Free, 5U);
}

TEST(PoolTest, ANewOwnerLeavesTheSlotsAloneThatItsWorkerReportsBusy) {
  PoolPolicy Policy;
  Policy.FirstLeases = 8;
  PoolFixture Fixture(Policy);
  WorkerAnnouncement Report = worker("w");
  Report.Busy = 6;
  announce(*Fixture.Pool, Report, Fixture.Clock.now());
  Fixture.ask(request("r", 8));
  EXPECT_EQ(Fixture.grants().size(), 2U);
}

TEST(PoolTest, AnEntryThatForgotALeaseGivesItBack) {
  PoolFixture Fixture;
  announce(*Fixture.Pool, worker("w"), Fixture.Clock.now());
  Fixture.ask(request("r"));
  auto Granted = Fixture.grants();
  ASSERT_EQ(Granted.size(), 1U);
  std::uint32_t Before = summaries(*Fixture.Pool)[0].Free;
  Fixture.Clock.advance(milliseconds(2500));
  renew(*Fixture.Pool, entry(), {}, {}, Fixture.Clock.now());
  announce(*Fixture.Pool, worker("w"), Fixture.Clock.now());
  EXPECT_EQ(summaries(*Fixture.Pool)[0].Free, Before + 1);
}

TEST(PoolTest, AFullQueueShedsAtOnceAndSaysWhenToComeBack) {
  PoolPolicy Policy;
  Policy.NewcomersPart = 0.6;
  PoolFixture Fixture(Policy);
  Fixture.addWorkers(1);
  std::optional<Rejection> Why;
  int Accepted = 0;
  while (!Why && Accepted < 1000)
    Why = Fixture.ask(request("r" + std::to_string(Accepted++), 8));
  ASSERT_TRUE(Why.has_value());
  EXPECT_EQ(Why->Reason, RejectReason::Overloaded);
  EXPECT_GT(Why->RetryAfter, milliseconds(500));
  EXPECT_LT(Why->RetryAfter, seconds(2));
  auto Next = Fixture.ask(request("next", 8));
  EXPECT_GT(Next->RetryAfter, Why->RetryAfter);
}

TEST(PoolTest, ThoseWhoComeBackAreTakenWhereNewOnesAreNot) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  int Accepted = 0;
  while (Accepted < 1000 &&
         !Fixture.ask(request("r" + std::to_string(Accepted++), 8)))
    ;
  ASSERT_LT(Accepted, 1000);
  PoolRequest Back = request("back", 8);
  EXPECT_TRUE(Fixture.ask(Back).has_value());
  Back.Returning = true;
  EXPECT_FALSE(Fixture.ask(Back).has_value());
}

TEST(PoolTest, AFullQueueOfOneTeamDoesNotShedAnother) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  int Accepted = 0;
  while (Accepted < 1000 &&
         !Fixture.ask(request("a" + std::to_string(Accepted++), 8,
                              WorkClass::Routine, "a")))
    ;
  ASSERT_LT(Accepted, 1000);
  EXPECT_FALSE(
      Fixture.ask(request("b", 8, WorkClass::Routine, "b")).has_value());
}

TEST(PoolTest, AJobThatCannotEndInTimeIsRefusedBeforeItStarts) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  PoolRequest Job = request("job", 80);
  Job.TimeLeft = milliseconds(900);
  auto Why = Fixture.ask(Job);
  ASSERT_TRUE(Why.has_value());
  EXPECT_EQ(Why->Reason, RejectReason::NeverFits);
  EXPECT_TRUE(Fixture.grants().empty());
  Job.TimeLeft = milliseconds(1100);
  EXPECT_FALSE(Fixture.ask(Job).has_value());
}

TEST(PoolTest, AQueuedRequestIsGivenUpWhenItCanNoLongerEndInTime) {
  PoolFixture Fixture;
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("first"));
  PoolRequest Late = request("late");
  Late.TimeLeft = milliseconds(250);
  ASSERT_FALSE(Fixture.ask(Late).has_value());
  ASSERT_EQ(Fixture.grants().size(), 1U);
  Fixture.Clock.advance(milliseconds(151));
  Fixture.grants();
  ASSERT_EQ(Fixture.Last.Refusals.size(), 1U);
  EXPECT_EQ(Fixture.Last.Refusals[0].Why.Reason, RejectReason::DeadlineUnmet);
}

TEST(PoolTest, WithoutWorkersAllWhoWaitAreToldAtOnce) {
  PoolFixture Fixture;
  Fixture.addWorkers(1, 1);
  Fixture.ask(request("r", 2));
  Fixture.grants();
  Fixture.Clock.advance(seconds(3));
  Fixture.grants();
  ASSERT_EQ(Fixture.Last.Refusals.size(), 1U);
  EXPECT_EQ(Fixture.Last.Refusals[0].Why.Reason, RejectReason::NoWorkers);
}

TEST(PoolTest, CancelledTasksAreNotGranted) {
  PoolFixture Fixture;
  Fixture.addWorkers(1);
  Fixture.ask(request("r", 20));
  EXPECT_EQ(Fixture.grants().size(), 8U);
  cancel(*Fixture.Pool, RequestId("r"));
  announce(*Fixture.Pool, worker("other"), Fixture.Clock.now());
  EXPECT_TRUE(Fixture.grants().empty());
}

TEST(PoolTest, ByDefaultUrgentWorkIsNotRefusedWhereRoutineWorkIsTaken) {
  PoolPolicy Defaults;
  EXPECT_GE(Defaults.MaxUrgentWait, Defaults.MaxRoutineWait);
}

} // namespace
} // namespace geraniumbay::dispatch
