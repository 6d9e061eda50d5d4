//===- traffictest.cpp - Bytes of the membership --------------------------===//
//
// Measures the heartbeats of today's seven entries and of letter 1's hundred.
// The measured bytes are JSON; each message also has an envelope (JSON-RPC and
// HTTP heads), taken as EnvelopeBytes.
//
//===----------------------------------------------------------------------===//

#include "membership/tests/testcluster.h"

#include <gtest/gtest.h>

#include <iostream>

namespace geraniumbay::membership {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t EnvelopeBytes = 250;

struct Traffic {
  std::uint64_t Bytes = 0;
  std::uint64_t Messages = 0;
};

/// Starts all entries with one pool summary each and returns what the busiest
/// one sent in a second, on average over twenty. No state may change
/// meanwhile.
Traffic busiestSender(TestCluster &Cluster) {
  PoolSummary Load{ServiceId("stall-licensing"), 128, 256, 1024, {10, 200, 40}};
  Cluster.LastIncarnation = 1'800'000'000'000'000;
  Cluster.startAll();
  for (const auto &Entry : Cluster.Entries) {
    MembershipService &Members = Entry->Members;
    Members.publishPools([Load, &Members] {
      auto Owners = Members.ownersOf(Members.self().DataCentre);
      bool IsOwner = !Owners.empty() && Owners[0] == Members.self();
      return std::vector<PoolSummary>(IsOwner ? 1 : 0, Load);
    });
  }
  Cluster.run(seconds(20));
  Cluster.Network.BytesSent.clear();
  Cluster.Network.MessagesSent.clear();
  int Changed = 0;
  for (const auto &Entry : Cluster.Entries)
    Entry->Members.subscribe([&](const MembershipChange &) { ++Changed; });
  constexpr std::uint64_t Length = 20;
  Cluster.run(seconds(Length));
  Traffic Busiest;
  for (const auto &[At, Bytes] : Cluster.Network.BytesSent)
    if (Bytes > Busiest.Bytes)
      Busiest = {Bytes, Cluster.Network.MessagesSent[At]};
  EXPECT_EQ(Changed, 0);
  for (const auto &Entry : Cluster.Entries)
    EXPECT_EQ(Entry->Members.aliveEntries().size(), Cluster.Peers.size());
  return {Busiest.Bytes / Length, Busiest.Messages / Length};
}

void report(const char *Name, const Traffic &Sent) {
  std::cout << Name << ": " << Sent.Messages << " messages/s, " << Sent.Bytes
            << " B/s of JSON, " << Sent.Bytes + Sent.Messages * EnvelopeBytes
            << " B/s in all\n";
}

TEST(TrafficTest, SevenEntriesInAFullMesh) {
  TestCluster Cluster(1, 7, 3);
  Traffic Sent = busiestSender(Cluster);
  report("seven", Sent);
  EXPECT_LT(Sent.Bytes + Sent.Messages * EnvelopeBytes, 6000U);
}

TEST(TrafficTest, AHundredEntriesInEightDataCentres) {
  TestCluster Cluster(1, 100, 8);
  Traffic Sent = busiestSender(Cluster);
  report("hundred", Sent);
  EXPECT_LT(Sent.Bytes + Sent.Messages * EnvelopeBytes, 6000U);
}

TEST(TrafficTest, ALargeSystemNoticesDeathRestartAndDrain) {
  TestCluster Cluster(1, 100, 8);
  Cluster.startAll();
  Cluster.run(seconds(10));
  Cluster.crash(0);
  Cluster.start(1);
  Cluster.Entries[2]->Members.setDraining(true);
  const MembershipSettings &Settings = Cluster.Settings;
  Cluster.run(Settings.DeadAfter * Settings.RemotePatience + Settings.Interval);
  for (std::size_t By = 1; By < Cluster.Peers.size(); ++By) {
    EXPECT_EQ(Cluster.seen(By, 0).State, EntryState::Dead);
    EXPECT_EQ(Cluster.seen(By, 1).Incarnation,
              Cluster.members(1).incarnation());
    EXPECT_EQ(Cluster.seen(By, 2).State, EntryState::Draining);
    EXPECT_EQ(Cluster.members(By).aliveEntries().size(), 99U);
  }
}

} // namespace
} // namespace geraniumbay::membership
