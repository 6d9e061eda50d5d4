//===- announcementtest.cpp - Tests of upstreams' announcements -----------===//

#include "membership/tests/testcluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WorkerState Serving = WorkerState::Serving;
constexpr WorkerState Leaving = WorkerState::Leaving;
const WorkerId W1("w1");

std::string bodyOf(const WorkerAnnouncement &Announcement) {
  return json::write(announcementJson(Announcement));
}

/// Three entries of one data centre, trusted, with the owner of w1 known.
struct AnnouncementTest : testing::Test {
  AnnouncementTest() : Cluster(1, 3, 1) {
    Cluster.startAll();
    Cluster.run(seconds(2));
    Owner = ownerSeenBy(0);
    Other = (Owner + 1) % 3;
    Third = (Owner + 2) % 3;
  }

  std::size_t ownerSeenBy(std::size_t Index) {
    VmId Vm = Cluster.members(Index).ownerOf(DataCentreId("dc0"), W1)->Vm;
    return static_cast<std::size_t>(Vm.value().back() - '0');
  }
  /// Posts an announcement of w1 at \p Index; returns the answer's status.
  int announce(std::size_t Index, std::uint64_t Starts, std::uint64_t Sequence,
               WorkerState State) {
    auto Exchange = Cluster.Entries[Index]->Http.post(
        bodyOf(announcementOf("w1", Starts, Sequence, State)));
    for (int Part = 0; Part < 75 && Exchange->status() == 0; ++Part)
      Cluster.run(milliseconds(20));
    return Exchange->status();
  }
  bool serves(std::size_t Index) {
    return Cluster.Entries[Index]->Sink.Serving.contains(W1);
  }
  GoneReason lastReason(std::size_t Index) {
    return Cluster.Entries[Index]->Sink.Gone.at(0).second;
  }

  TestCluster Cluster;
  std::size_t Owner = 0;
  std::size_t Other = 0;
  std::size_t Third = 0;
};

TEST_F(AnnouncementTest, AnyEntryPassesAnAnnouncementToTheOwner) {
  EXPECT_EQ(announce(Other, 1, 1, Serving), 200);
  EXPECT_TRUE(serves(Owner));
  EXPECT_FALSE(serves(Other));
  EXPECT_EQ(announce(Owner, 1, 2, Serving), 200);
  EXPECT_EQ(announce(Third, 1, 2, Serving), 200); // Sent again: no change.
  EXPECT_EQ(Cluster.Entries[Owner]->Sink.ServingCalls, 2);
  EXPECT_EQ(announce(Third, 1, 1, Serving), 409); // Older.
}

TEST_F(AnnouncementTest, ASilentUpstreamIsDroppedInTime) {
  announce(Owner, 1, 1, Serving);
  Cluster.run(milliseconds(2900));
  EXPECT_TRUE(serves(Owner));
  Cluster.run(milliseconds(400));
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(lastReason(Owner), GoneReason::Silent);
}

TEST_F(AnnouncementTest, LeavingReachesTheOwnerAtOnceAndIsFinal) {
  announce(Other, 1, 1, Serving);
  EXPECT_EQ(announce(Other, 1, 2, Leaving), 200);
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(lastReason(Owner), GoneReason::Left);
  EXPECT_EQ(announce(Third, 1, 3, Serving), 409);
  EXPECT_EQ(announce(Third, 2, 1, Serving), 200); // The worker restarted.
  EXPECT_TRUE(serves(Owner));
}

TEST_F(AnnouncementTest, LeavingSurvivesACutFromTheOwner) {
  announce(Other, 1, 1, Serving);
  Cluster.setCut(Owner, Other, true);
  EXPECT_EQ(announce(Other, 1, 2, Leaving), 503);
  // The third entry had it in a heartbeat and gives it to the owner.
  Cluster.run(seconds(1));
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(lastReason(Owner), GoneReason::Left);
}

TEST_F(AnnouncementTest, LeavingIsKnownToTheNextOwner) {
  announce(Owner, 1, 1, Serving);
  announce(Owner, 1, 3, Leaving);
  Cluster.run(milliseconds(50));
  Cluster.crash(Owner);
  Cluster.run(seconds(4));
  std::size_t Next = ownerSeenBy(Other);
  ASSERT_NE(Next, Owner);
  EXPECT_EQ(announce(Next, 1, 2, Serving), 409); // Late by another way.
  EXPECT_FALSE(serves(Next));
}

TEST_F(AnnouncementTest, AnEntryTakenForTheOwnerPassesItOn) {
  // The cut ones take another for the owner; at least one of them not itself.
  Cluster.setCut(Owner, Other, true);
  Cluster.run(seconds(4));
  if (ownerSeenBy(Other) == Other) {
    Cluster.setCut(Owner, Other, false);
    Cluster.setCut(Owner, Third, true);
    Cluster.run(seconds(4));
    std::swap(Other, Third);
  }
  ASSERT_EQ(ownerSeenBy(Other), Third);
  EXPECT_EQ(announce(Other, 1, 1, Serving), 200);
  EXPECT_TRUE(serves(Owner));
}

TEST_F(AnnouncementTest, AllForgetThatAWorkerLeftInTheEnd) {
  announce(Owner, 1, 1, Leaving);
  Cluster.run(seconds(1));
  for (const auto &Entry : Cluster.Entries)
    EXPECT_TRUE(Entry->Members.hasLeft(W1, Incarnation(1)));
  Cluster.run(Cluster.Settings.TombstoneLife);
  for (const auto &Entry : Cluster.Entries)
    EXPECT_FALSE(Entry->Members.hasLeft(W1, Incarnation(1)));
}

TEST_F(AnnouncementTest, AnUpstreamCutOffIsSilentAndComesBack) {
  announce(Owner, 1, 1, Serving);
  // It reaches no entry for five seconds, and then another one.
  Cluster.run(seconds(5));
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(announce(Other, 1, 2, Serving), 200);
  EXPECT_TRUE(serves(Owner));
}

TEST_F(AnnouncementTest, AFrozenOwnerDropsItsWorkersBeforeItGrantsAgain) {
  announce(Owner, 1, 1, Serving);
  Cluster.freeze(Owner);
  Cluster.run(seconds(4));
  EXPECT_EQ(announce(Other, 1, 2, Serving), 200);
  Cluster.thaw(Owner);
  Cluster.run(milliseconds(2));
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(lastReason(Owner), GoneReason::NotOwner);
}

TEST_F(AnnouncementTest, ADrainingOwnerGivesItsWorkersUp) {
  announce(Owner, 1, 1, Serving);
  Cluster.Entries[Owner]->Members.setDraining(true);
  EXPECT_FALSE(serves(Owner));
  EXPECT_EQ(lastReason(Owner), GoneReason::NotOwner);
  Cluster.run(milliseconds(20));
  EXPECT_EQ(announce(Owner, 1, 2, Serving), 200);
  EXPECT_TRUE(serves(ownerSeenBy(Other)));
}

TEST_F(AnnouncementTest, SaysWhyItDoesNotTakeAnAnnouncement) {
  EXPECT_EQ(Cluster.Entries[0]->Http.post("{")->status(), 400);
  WorkerAnnouncement NoSlots = announcementOf("w1", 1, 1, Serving);
  NoSlots.Slots = 0;
  EXPECT_EQ(Cluster.Entries[0]->Http.post(bodyOf(NoSlots))->status(), 400);
  WorkerAnnouncement Elsewhere = announcementOf("w1", 1, 1, Serving);
  Elsewhere.DataCentre = DataCentreId("unknown");
  auto Exchange = Cluster.Entries[0]->Http.post(bodyOf(Elsewhere));
  EXPECT_EQ(Exchange->status(), 503);
  EXPECT_EQ(Exchange->Answer->Headers.back().Name, "Retry-After");
}

/// The upstream w1 of the property: posts at random entries, and the network
/// brings old announcements again.
struct RandomUpstream {
  std::uint64_t Starts = 1;
  std::uint64_t Sequence = 0;
  std::vector<WorkerAnnouncement> Sent;

  void post(TestCluster &Cluster, std::size_t Index, WorkerState State) {
    Sent.push_back(announcementOf("w1", Starts, ++Sequence, State));
    repeat(Cluster, Index, Sent.size() - 1);
    if (State == Leaving)
      ++Starts;
  }
  void repeat(TestCluster &Cluster, std::size_t Index,
              std::size_t Which) const {
    if (Cluster.runs(Index) && Which < Sent.size())
      Cluster.Entries[Index]->Http.post(bodyOf(Sent[Which]));
  }
};

void checkNoLeftWorkerServes(TestCluster &Cluster) {
  for (const auto &Entry : Cluster.Entries) {
    if (!Entry)
      continue;
    for (const auto &[Worker, Newest] : Entry->Sink.Serving)
      RC_ASSERT(!Entry->Members.hasLeft(Worker, Newest.Version.Incarnation));
  }
}

RC_GTEST_PROP(AnnouncementProperty, AWorkerThatLeftIsNeverServing,
              (std::uint64_t Seed)) {
  TestCluster Cluster(Seed, 3, 1);
  Random Numbers(Seed);
  Cluster.startAll();
  Cluster.run(seconds(2));
  Cluster.Network.Faults = {5, 20, 10};
  RandomUpstream Upstream;
  for (int Act = 0; Act < 40; ++Act) {
    std::size_t Index = Numbers.below(3);
    switch (Numbers.below(8)) {
    case 0:
      Upstream.post(Cluster, Index, Leaving);
      break;
    case 1:
      Cluster.setCut(Index, (Index + 1) % 3, Numbers.below(2) == 0);
      break;
    case 2:
      Cluster.start(Index);
      break;
    case 3:
    case 4:
      Upstream.repeat(Cluster, Index, Numbers.below(Upstream.Sent.size() + 1));
      break;
    default:
      Upstream.post(Cluster, Index, Serving);
    }
    Cluster.run(milliseconds(Numbers.below(1000)));
    checkNoLeftWorkerServes(Cluster);
  }
  for (std::size_t Index = 0; Index < 3; ++Index)
    Cluster.setCut(Index, (Index + 1) % 3, false);
  Cluster.Network.Faults = {};
  Cluster.run(seconds(4));
  Upstream.post(Cluster, 0, Leaving);
  Cluster.run(milliseconds(50));
  for (std::size_t Which = 0; Which < Upstream.Sent.size(); ++Which) {
    Upstream.repeat(Cluster, Numbers.below(3), Which);
    Cluster.run(milliseconds(20));
    for (const auto &Entry : Cluster.Entries)
      RC_ASSERT(Entry->Sink.Serving.empty());
  }
}

RC_GTEST_PROP(AnnouncementJson, ReadsWhatItWrites,
              (std::uint32_t Slots, std::uint32_t Busy, std::uint64_t Starts,
               std::uint64_t Sequence, bool IsLeaving)) {
  WorkerAnnouncement Before =
      announcementOf("w1", Starts, Sequence, IsLeaving ? Leaving : Serving);
  Before.Slots = Slots % 70000;
  Before.Busy = Busy % 70000;
  Outcome<WorkerAnnouncement> After =
      attempt([&] { return readAnnouncement(announcementJson(Before)); });
  bool Valid = Before.Slots >= 1 && Before.Slots <= 65536 &&
               Before.Busy <= 65536 && Starts > 0;
  RC_ASSERT(After.ok() == Valid);
  if (Valid)
    RC_ASSERT(*After == Before);
}

} // namespace
} // namespace geraniumbay::membership
