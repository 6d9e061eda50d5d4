//===- membershiptest.cpp - Tests of the view of the entries --------------===//

#include "membership/tests/testcluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

namespace geraniumbay::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A stopped entry is dead at the others within this time.
Duration deathBound(const MembershipSettings &Settings) {
  return Settings.DeadAfter + Settings.Interval + milliseconds(10);
}

/// Every trusted view sees the stopped entries dead, and incarnations grow.
class Watcher {
public:
  void check(TestCluster &Cluster) {
    Time Now = Cluster.Network.Clock.now();
    for (std::size_t By = 0; By < Cluster.Peers.size(); ++By) {
      if (!Cluster.runs(By))
        continue;
      auto &KnownBy = Known_[{By, Cluster.Starts[By]}];
      for (std::size_t Whom = 0; Whom < Cluster.Peers.size(); ++Whom) {
        EntryInfo Seen = Cluster.seen(By, Whom);
        Incarnation &Before = KnownBy[Whom];
        RC_ASSERT(Before <= Seen.Incarnation);
        Before = Seen.Incarnation;
        const auto &Stopped = Cluster.StoppedAt[Whom];
        if (By != Whom && Stopped && Cluster.members(By).trusted() &&
            Now - *Stopped > deathBound(Cluster.Settings))
          RC_ASSERT(Seen.State == EntryState::Dead);
      }
    }
  }

private:
  /// What each start of each entry knew of the others.
  std::map<std::pair<std::size_t, int>, std::map<std::size_t, Incarnation>>
      Known_;
};

/// Does one random act: crash, restart, freeze, thaw, cut or join.
void actOn(TestCluster &Cluster, std::uint8_t Act, std::uint8_t Target) {
  std::size_t Size = Cluster.Peers.size();
  std::size_t Index = Target % Size;
  std::size_t Other = (Index + 1 + Target / Size % (Size - 1)) % Size;
  switch (Act % 6) {
  case 0:
    return Cluster.crash(Index);
  case 1:
    return Cluster.start(Index);
  case 2:
    if (Cluster.runs(Index))
      Cluster.freeze(Index);
    return;
  case 3:
    if (Cluster.Entries[Index] && !Cluster.runs(Index))
      Cluster.thaw(Index);
    return;
  default:
    return Cluster.setCut(Index, Other, Act % 6 == 4);
  }
}

void healAll(TestCluster &Cluster) {
  Cluster.Network.Faults = {};
  for (std::size_t Index = 0; Index < Cluster.Peers.size(); ++Index) {
    if (!Cluster.Entries[Index])
      Cluster.start(Index);
    if (!Cluster.runs(Index))
      Cluster.thaw(Index);
    for (std::size_t Other = 0; Other < Index; ++Other)
      Cluster.setCut(Index, Other, false);
  }
}

/// An act, its target and the pause after it; RapidCheck prints tuples.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

RC_GTEST_PROP(MembershipProperty, DeadStayDeadAndViewsAgreeAfterHealing,
              (std::uint64_t Seed)) {
  TestCluster Cluster(Seed, 4, 2);
  auto Steps =
      *rc::gen::container<std::vector<Step>>(6, rc::gen::arbitrary<Step>());
  Cluster.Network.Faults = {10, 20, 10};
  Cluster.startAll();
  Watcher Views;
  for (auto [Act, Target, Pause] : Steps) {
    actOn(Cluster, Act, Target);
    for (int Part = 0; Part < 1 + Pause / 8; ++Part) {
      Cluster.run(milliseconds(200));
      Views.check(Cluster);
    }
  }
  healAll(Cluster);
  Cluster.run(deathBound(Cluster.Settings));
  DataCentreId Centre("dc0");
  for (std::size_t By = 0; By < Cluster.Peers.size(); ++By) {
    RC_ASSERT(Cluster.members(By).trusted());
    for (std::size_t Whom = 0; Whom < Cluster.Peers.size(); ++Whom) {
      RC_ASSERT(Cluster.seen(By, Whom).State == EntryState::Alive);
      RC_ASSERT(Cluster.seen(By, Whom).Incarnation ==
                Cluster.members(Whom).incarnation());
    }
    RC_ASSERT(Cluster.members(By).ownersOf(Centre) ==
              Cluster.members(0).ownersOf(Centre));
  }
}

TEST(MembershipTest, StartIsTrustedOnceThePeersAnswered) {
  TestCluster Cluster(1, 3, 1);
  Cluster.startAll();
  EXPECT_FALSE(Cluster.members(0).trusted());
  Cluster.run(milliseconds(50));
  EXPECT_TRUE(Cluster.members(0).trusted());
  EXPECT_EQ(Cluster.members(0).aliveEntries().size(), 3U);
}

TEST(MembershipTest, AnEntryAloneServesAfterTheDeadTime) {
  TestCluster Cluster(1, 3, 1);
  Cluster.start(0);
  Cluster.run(seconds(2));
  EXPECT_FALSE(Cluster.members(0).trusted());
  Cluster.run(milliseconds(1600));
  EXPECT_TRUE(Cluster.members(0).trusted());
  EXPECT_EQ(Cluster.members(0).ownersOf(DataCentreId("dc0")).size(), 1U);
}

TEST(MembershipTest, SilenceIsSuspectThenDead) {
  TestCluster Cluster(1, 3, 1);
  Cluster.startAll();
  Cluster.run(seconds(2));
  Cluster.crash(1);
  Cluster.run(milliseconds(2100));
  EXPECT_EQ(Cluster.seen(0, 1).State, EntryState::Suspect);
  Cluster.run(milliseconds(1500));
  EXPECT_EQ(Cluster.seen(0, 1).State, EntryState::Dead);
}

TEST(MembershipTest, AFrozenEntryDistrustsItsViewUntilPeersAnswer) {
  TestCluster Cluster(1, 3, 1);
  Cluster.startAll();
  Cluster.run(seconds(2));
  for (std::size_t Index = 0; Index < 3; ++Index)
    Cluster.freeze(Index);
  Cluster.run(seconds(10));
  // Another service may be the first to run after the freeze.
  EXPECT_FALSE(Cluster.members(0).trusted());
  EXPECT_TRUE(Cluster.members(0).ownersOf(DataCentreId("dc0")).empty());
  Cluster.thaw(0);
  EXPECT_FALSE(Cluster.members(0).trusted());
  // The others are still frozen: their old messages are no sign of life.
  Cluster.run(seconds(2));
  EXPECT_FALSE(Cluster.members(0).trusted());
  Cluster.thaw(1);
  Cluster.thaw(2);
  Cluster.run(milliseconds(600));
  EXPECT_TRUE(Cluster.members(0).trusted());
  EXPECT_EQ(Cluster.members(0).aliveEntries().size(), 3U);
}

TEST(MembershipTest, ARestartReplacesTheOldIncarnationAndIsTold) {
  TestCluster Cluster(1, 2, 1);
  Cluster.startAll();
  Cluster.run(seconds(1));
  int Restarts = 0;
  Cluster.members(0).subscribe([&](const MembershipChange &Change) {
    Restarts += Change.Kind == ChangeKind::Restarted ? 1 : 0;
  });
  Cluster.crash(1);
  Cluster.start(1);
  Cluster.run(seconds(1));
  EXPECT_EQ(Restarts, 1);
  EXPECT_EQ(Cluster.seen(0, 1).Incarnation, Cluster.members(1).incarnation());
}

TEST(MembershipTest, AStartBelowAKnownIncarnationRaisesItsOwn) {
  TestCluster Cluster(1, 3, 1);
  Cluster.LastIncarnation = 1000;
  Cluster.startAll();
  Cluster.run(seconds(1));
  Incarnation Old = Cluster.members(1).incarnation();
  Cluster.crash(1);
  Cluster.startAs(1, Incarnation(5)); // The wall clock jumped back.
  Cluster.run(seconds(2));
  EXPECT_TRUE(Cluster.members(1).trusted());
  EXPECT_GT(Cluster.members(1).incarnation(), Old);
  EXPECT_EQ(Cluster.seen(0, 1).Incarnation, Cluster.members(1).incarnation());
}

TEST(MembershipTest, AReplacedProcessIsFencedForGood) {
  TestCluster Cluster(1, 3, 1);
  Cluster.startAll();
  Cluster.run(seconds(1));
  Cluster.freeze(1);
  std::unique_ptr<TestEntry> Old = std::move(Cluster.Entries[1]);
  Cluster.start(1);
  Cluster.run(seconds(1));
  Cluster.Network.attach(Cluster.Peers[1].Address, Old->Node);
  Old->Node->thaw();
  Cluster.run(seconds(2));
  EXPECT_FALSE(Old->Members.trusted());
  EXPECT_EQ(Cluster.seen(0, 1).Incarnation, Cluster.members(1).incarnation());
  Cluster.Network.attach(Cluster.Peers[1].Address, Cluster.Entries[1]->Node);
}

TEST(MembershipTest, AConfiguredNewcomerIsDeadUntilItIsHeard) {
  TestCluster Cluster(1, 3, 1);
  std::vector<Peer> All = Cluster.Peers;
  Cluster.Peers.pop_back();
  Cluster.start(0);
  Cluster.start(1);
  Cluster.run(milliseconds(100));
  Cluster.Peers = All;
  Cluster.Entries[0]->Members.setPeers(All, ConfigVersion(2));
  EXPECT_EQ(Cluster.seen(0, 2).State, EntryState::Dead);
  Cluster.start(2);
  Cluster.run(milliseconds(600));
  EXPECT_EQ(Cluster.seen(0, 2).State, EntryState::Alive);
}

TEST(MembershipTest, ADrainingEntryOwnsNothingAtOnce) {
  TestCluster Cluster(1, 2, 1);
  Cluster.startAll();
  Cluster.run(seconds(1));
  DataCentreId Centre("dc0");
  VmId Owner = Cluster.members(0).ownersOf(Centre).at(0).Vm;
  std::size_t Index = Owner == Cluster.Peers[0].Vm ? 0 : 1;
  Cluster.Entries[Index]->Members.setDraining(true);
  Cluster.run(milliseconds(20));
  for (std::size_t By = 0; By < 2; ++By) {
    ASSERT_EQ(Cluster.members(By).ownersOf(Centre).size(), 1U);
    EXPECT_NE(Cluster.members(By).ownersOf(Centre)[0].Vm, Owner);
  }
}

TEST(MembershipTest, SummariesTravelWithTheirAge) {
  TestCluster Cluster(1, 2, 1);
  Cluster.startAll();
  PoolSummary Load{ServiceId("triage"), 12, 36, 400, {1, 20, 3}};
  Cluster.Entries[1]->Members.publishPools(
      [Load] { return std::vector<PoolSummary>{Load}; });
  Cluster.run(seconds(1));
  auto Reports =
      Cluster.members(0).summaries(DataCentreId("dc0"), ServiceId("triage"));
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].Summary, Load);
  EXPECT_LE(Reports[0].Age, milliseconds(1010));
  Cluster.crash(1);
  Cluster.run(seconds(2));
  Reports =
      Cluster.members(0).summaries(DataCentreId("dc0"), ServiceId("triage"));
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_GE(Reports[0].Age, seconds(2));
}

} // namespace
} // namespace geraniumbay::membership
