//===- servicetest.cpp - Control VMs and those who ask them ---------------===//

#include "control/internal/peerfetch.h"
#include "control/tests/servicefake.h"

#include <gtest/gtest.h>

namespace geraniumbay::control {
namespace {

using namespace std::chrono_literals;

const ConfigAnswer Version1{std::nullopt, ConfigVersion(1)};

std::size_t leaderOf(const ControlStatus &Status) {
  for (const ControlVmStatus &Vm : Status.ControlVms)
    if (Vm.Role == "leader")
      return static_cast<std::size_t>(Vm.Vm.value().back() - '1');
  ADD_FAILURE() << "no leader";
  return 0;
}

const WatcherStatus *find(const ControlStatus &Status, const std::string &Vm) {
  for (const WatcherStatus &Watcher : Status.Watchers)
    if (Watcher.Who.Vm == VmId(Vm))
      return &Watcher;
  return nullptr;
}

TEST(ServiceTest, AnAcceptedChangeIsInForceEverywhereWithinSeconds) {
  ServiceFake Net;
  auto Rpc = Net.process(1);
  auto Source = Net.source(*Rpc, "e1");
  std::size_t Calls = 0;
  Source->subscribe([&](const ConfigSnapshot &) { ++Calls; });
  // Every control VM takes it, the leader or not.
  for (std::uint64_t I = 0; I < 3; ++I) {
    Endpoint First = Net.controlAt(I);
    ControlClient Client({First}, *Net.OperatorRpc, Net.Timers);
    std::optional<Outcome<ConfigAnswer>> Answer;
    Client.propose({OperationId("op" + std::to_string(I)), ConfigVersion(I),
                    "doc" + std::to_string(I)},
                   [&](const Outcome<ConfigAnswer> &Got) { Answer = Got; });
    Net.await(Answer);
    ASSERT_TRUE(Answer && Answer->ok());
    EXPECT_EQ((*Answer)->Version, ConfigVersion(I + 1));
    Net.run(3s);
    EXPECT_EQ(Source->current().Version, ConfigVersion(I + 1));
    EXPECT_EQ(Source->current().Document, "doc" + std::to_string(I));
  }
  EXPECT_EQ(Calls, 3U);
}

TEST(ServiceTest, TheFirstDocumentBecomesVersionOne) {
  ServiceFake Net("first document");
  EXPECT_EQ(Net.status().Version, ConfigVersion(1));
  EXPECT_EQ(Net.Vms[0]->Service->published().Document, "first document");
}

TEST(ServiceTest, TheMetricsShowThatAVoterIsMissing) {
  ServiceFake Net;
  std::size_t Leader = leaderOf(Net.status());
  auto Shows = [&](const std::string &Line) {
    return Net.Vms[Leader]->Measured.text().find(Line) != std::string::npos;
  };
  EXPECT_TRUE(Shows("geraniumbay_control_voters 3"));
  EXPECT_TRUE(Shows("geraniumbay_control_voters_spare 1"));
  Net.Net.Cut.insert(Net.controlAt((Leader + 1) % 3));
  Net.run(5s);
  EXPECT_TRUE(Shows("geraniumbay_control_voters_missing 1"));
  EXPECT_TRUE(Shows("geraniumbay_control_voters_spare 0"));
  EXPECT_TRUE(Shows("geraniumbay_control_in_touch 1"));
}

std::size_t votersOf(const ServiceFake &Net, std::size_t Vm) {
  return Net.Vms[Vm]->Service->memberAddresses().size();
}

/// Stops \p Vm as planned; whether it was told that it may end.
bool stopAsPlanned(ServiceFake &Net, std::size_t Vm) {
  bool Told = false;
  Net.Vms[Vm]->Service->handOver();
  Net.Vms[Vm]->Service->giveUpVote([&] { Told = true; });
  Net.run(1500ms);
  return Told;
}

TEST(ServiceTest, AVmThatStopsGivesUpAVoteThatTheGroupCanSpare) {
  ServiceFake Net("", [](ControlOptions &Options) {
    Options.AdmitsUnlisted = true;
    Options.LeastVoters = 1;
    Options.Heartbeat = 100ms;
    Options.ElectionTimeout = 500ms;
  });
  std::size_t Leader = leaderOf(Net.status());
  std::size_t Other = (Leader + 1) % 3;
  EXPECT_TRUE(stopAsPlanned(Net, Leader));
  EXPECT_EQ(votersOf(Net, Other), 2U);
  Net.run(3s);
  EXPECT_EQ(votersOf(Net, Other), 2U) << "it asked for the group again";
}

TEST(ServiceTest, AVmThatStopsKeepsAVoteThatTheGroupNeeds) {
  ServiceFake Net;
  std::size_t Follower = (leaderOf(Net.status()) + 1) % 3;
  EXPECT_TRUE(stopAsPlanned(Net, Follower));
  EXPECT_EQ(votersOf(Net, (Follower + 1) % 3), 3U);
}

TEST(ServiceTest, AVmThatStopsWaitsForALeaderNoLongerThanTwoSeconds) {
  ServiceFake Net;
  std::size_t Follower = (leaderOf(Net.status()) + 1) % 3;
  for (std::size_t I = 0; I < 3; ++I)
    Net.Net.Cut.insert(Net.controlAt(I));
  bool Told = false;
  Net.Vms[Follower]->Service->giveUpVote([&] { Told = true; });
  Net.run(900ms);
  EXPECT_FALSE(Told);
  // A call without an answer ends after a second.
  Net.run(2200ms);
  EXPECT_TRUE(Told);
}

TEST(ServiceTest, AChangeSurvivesTheLossOfTheLeader) {
  ServiceFake Net;
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.Net.Cut.insert(Net.controlAt(leaderOf(Net.status())));
  Net.run(10s);
  EXPECT_EQ(*Net.propose("a", 0, "doc"), Version1);
  EXPECT_EQ(Net.propose("b", 0, "other")->Failure, ErrorCode::Conflict);
}

TEST(ServiceTest, WithoutAMajorityNothingIsAccepted) {
  ServiceFake Net;
  std::size_t Leader = leaderOf(Net.status());
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Leader)
      Net.Net.Cut.insert(Net.controlAt(I));
  EXPECT_FALSE(Net.propose("a", 0, "doc").ok());
  Net.Net.Cut.clear();
  Net.run(10s);
  EXPECT_LE(Net.status().Version, ConfigVersion(1));
}

TEST(ServiceTest, AControlVmThatIsCutOffHoldsNobodyBack) {
  ServiceFake Net;
  auto Rpc = Net.process(1);
  std::size_t Away = (leaderOf(Net.status()) + 1) % 3;
  ConfigSourceOptions Options;
  Options.Self.Vm = VmId("e1");
  Options.ControlVms = {Net.controlAt(Away), Net.controlAt((Away + 1) % 3)};
  ConfigSource Source(std::move(Options), *Rpc, Net.Timers, nullptr);
  Source.start();
  // The others cannot reach it, but processes still get its old answers.
  for (const char *Name : {"control.append", "control.vote"})
    Net.Net.Servers[Net.controlAt(Away)][Name] =
        [](const Json::Value &, const IRpcServer::Reply &) {};
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.run(4s);
  for (int I = 0; I < 100; ++I) {
    Net.run(100ms);
    ASSERT_EQ(Source.current().Version, ConfigVersion(1));
  }
  EXPECT_EQ(Net.Vms[Away]->Service->published().Version, ConfigVersion(0));
}

TEST(ServiceTest, AProcessNeverGoesBackOverARestart) {
  ServiceFake Net;
  FakeStorage Disk;
  auto Rpc = Net.process(1);
  auto Source = Net.source(*Rpc, "e1", "entry", 1, &Disk);
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.run(4s);
  ASSERT_EQ(Source->current().Version, ConfigVersion(1));
  Disk.crash();
  auto Rpc2 = Net.process(2);
  Net.Net.Cut.insert(Endpoint{"10.0.1.2", 7000});
  auto Again = Net.source(*Rpc2, "e1", "entry", 2, &Disk);
  EXPECT_EQ(Again->current(), Source->current());
}

TEST(ServiceTest, AProcessThatCannotReachControlAsksAPeer) {
  ServiceFake Net;
  auto Rpc = Net.process(1);
  Net.Net.Cut.insert(Endpoint{"10.0.1.1", 7000});
  ConfigSnapshot Peers{ConfigVersion(7), "from a peer", Revision(9), {}};
  auto Source =
      Net.source(*Rpc, "e1", "entry", 1, nullptr,
                 [&](ConfigVersion,
                     const std::function<void(Outcome<ConfigSnapshot>)> &Done) {
                   Done(Peers);
                 });
  Net.run(5s);
  EXPECT_EQ(Source->current(), Peers);
  Peers.Version = ConfigVersion(6);
  Peers.Document = "older";
  Net.run(5s);
  EXPECT_EQ(Source->current().Document, "from a peer");
}

TEST(ServiceTest, OnlyAControlVmInTouchWithAMajorityConfirms) {
  ServiceFake Net;
  auto Rpc = Net.process(1);
  std::size_t Away = (leaderOf(Net.status()) + 1) % 3;
  ConfigSourceOptions Options;
  Options.Self.Vm = VmId("e1");
  Options.ControlVms = {Net.controlAt(Away)};
  ConfigSource Source(std::move(Options), *Rpc, Net.Timers, nullptr);
  int Confirmed = 0;
  Source.onConfirmed([&] { ++Confirmed; });
  Source.start();
  Net.run(3s);
  EXPECT_GT(Confirmed, 0);
  // The others cannot reach it any more; the process still can.
  for (const char *Name : {"control.append", "control.vote"})
    Net.Net.Servers[Net.controlAt(Away)][Name] =
        [](const Json::Value &, const IRpcServer::Reply &) {};
  Net.run(4s);
  int Before = Confirmed;
  Net.run(10s);
  EXPECT_EQ(Confirmed, Before);
}

TEST(ServiceTest, AProcessCutOffFromControlFetchesFromItsNeighbour) {
  ServiceFake Net;
  auto NearRpc = Net.process(1);
  auto Near = Net.source(*NearRpc, "e1");
  offerToPeers(*NearRpc, *Near);
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.run(4s);
  auto FarRpc = Net.process(2);
  for (std::size_t I = 0; I < 3; ++I)
    Net.Net.Cut.insert(Net.controlAt(I));
  auto Neighbours = [] { return std::vector<Endpoint>{{"10.0.1.1", 7000}}; };
  auto Far = Net.source(*FarRpc, "e2", "entry", 1, nullptr,
                        fetchFrom(*FarRpc, Neighbours));
  Net.run(10s);
  EXPECT_EQ(Far->current().Document, "doc");
}

TEST(ServiceTest, StatusTellsWhoIsCutOffAndSinceWhen) {
  ServiceFake Net;
  auto Rpc1 = Net.process(1);
  auto Rpc2 = Net.process(2);
  auto Near = Net.source(*Rpc1, "e1");
  auto Far = Net.source(*Rpc2, "e2");
  Net.run(4s);
  Net.Net.Cut.insert(Endpoint{"10.0.1.2", 7000});
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.run(30s);
  ControlStatus Status = Net.status();
  ASSERT_TRUE(find(Status, "e1") && find(Status, "e2") &&
              find(Status, "missing"));
  EXPECT_EQ(find(Status, "e1")->InForce, ConfigVersion(1));
  EXPECT_FALSE(isCutOff(*find(Status, "e1")));
  EXPECT_EQ(find(Status, "e2")->InForce, ConfigVersion(0));
  EXPECT_TRUE(isCutOff(*find(Status, "e2")));
  EXPECT_GE(find(Status, "e2")->Age, 30s);
  EXPECT_LE(find(Status, "e2")->Age, 34s);
  EXPECT_TRUE(find(Status, "missing")->NeverSeen);
}

TEST(ServiceTest, StatusNamesAControlVmThatDoesNotAnswer) {
  ServiceFake Net;
  Net.Net.Cut.insert(Net.controlAt(2));
  Net.run(10s);
  ControlStatus Status = Net.status();
  for (const ControlVmStatus &Vm : Status.ControlVms)
    EXPECT_EQ(Vm.Reachable, Vm.Vm != VmId("c3")) << Vm.Vm;
}

TEST(ServiceTest, StatusNamesTheVotersThatAreSilent) {
  ServiceFake Net;
  Net.run(10s);
  EXPECT_TRUE(Net.status().Contact.Silent.empty());
  EXPECT_EQ(spareVoters(Net.status()), 1);
  Net.Net.Cut.insert(Net.controlAt(2));
  Net.run(10s);
  ControlStatus Status = Net.status();
  EXPECT_EQ(Status.Contact.Silent, std::vector<VmId>{VmId("c3")});
  EXPECT_EQ(spareVoters(Status), 0);
}

TEST(ServiceTest, StatusWithoutAMajorityNamesWhoIsMissing) {
  ServiceFake Net;
  Net.run(10s);
  Net.Net.Cut.insert(Net.controlAt(1));
  Net.Net.Cut.insert(Net.controlAt(2));
  Net.run(10s);
  ControlStatus Status = Net.status();
  EXPECT_EQ(Status.Contact.Silent, (std::vector<VmId>{VmId("c2"), VmId("c3")}));
  EXPECT_EQ(spareVoters(Status), -1);
}

TEST(ServiceTest, AnOlderIncarnationIsRefused) {
  ServiceFake Net;
  auto Rpc = Net.process(1);
  auto New = Net.source(*Rpc, "e1", "entry", 5);
  Net.run(4s);
  auto Old = Net.source(*Rpc, "e1", "entry", 4);
  ASSERT_EQ(*Net.propose("a", 0, "doc"), Version1);
  Net.run(6s);
  EXPECT_EQ(New->current().Version, ConfigVersion(1));
  EXPECT_EQ(Old->current().Version, ConfigVersion(0));
}

TEST(ServiceTest, ABackupReplacesOnlyAPrimaryThatControlDoesNotSee) {
  ServiceFake Net;
  const LedgerMember One{VmId("l1"), DiskId(1)};
  const LedgerMember Two{VmId("l2"), DiskId(2)};
  const DataCentreId Here("barracas");
  auto Rpc1 = Net.process(1);
  auto Rpc2 = Net.process(2);
  auto Primary = Net.source(*Rpc1, "l1", "ledger");
  auto Backup = Net.source(*Rpc2, "l2", "ledger");
  Net.run(3s);
  ASSERT_TRUE(
      Net.changeLedger({Here, ViewNumber(0), LedgerAction::Open, One, {}, 0})
          .ok());
  ASSERT_TRUE(
      Net.changeLedger({Here, ViewNumber(1), LedgerAction::Add, One, Two, 0})
          .ok());
  LedgerChange Promote{Here, ViewNumber(2), LedgerAction::Promote, Two, {}, 0};
  EXPECT_EQ(Net.changeLedger(Promote)->Failure, ErrorCode::Refused);
  Net.run(4s);
  Net.Net.Cut.insert(Endpoint{"10.0.1.1", 7000});
  Net.run(6s);
  EXPECT_EQ(Net.changeLedger(Promote)->Failure, std::nullopt);
  // A resend after a lost answer.
  EXPECT_EQ(Net.changeLedger(Promote)->Failure, ErrorCode::Conflict);
  Net.run(4s);
  EXPECT_EQ(Backup->current().Ledgers.at(Here).Primary, Two.Vm);
  EXPECT_EQ(Primary->current().Ledgers.at(Here).Primary, One.Vm);
}

TEST(ServiceTest, AMemberWhoseDiskFailsTakesPartNoMore) {
  ServiceFake Net;
  std::size_t Leader = leaderOf(Net.status());
  Net.Vms[Leader]->Disk.setSyncsFail(true);
  Net.propose("a", 0, "doc");
  Net.run(10s);
  EXPECT_EQ(*Net.propose("a", 0, "doc"), Version1);
  EXPECT_NE(leaderOf(Net.status()), Leader);
}

} // namespace
} // namespace geraniumbay::control
