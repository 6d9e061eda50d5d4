//===- testcluster.h - Several entries on a fake network --------*- C++ -*-===//
//
// Entries with their real services on fakes, to crash, restart and freeze.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_TESTS_TESTCLUSTER_H
#define GERANIUMBAY_MEMBERSHIP_TESTS_TESTCLUSTER_H

#include "membership/internal/announcementservice.h"
#include "membership/internal/membershipservice.h"
#include "membership/tests/fakenetwork.h"

#include <optional>

namespace geraniumbay::membership {

/// What one entry's pool was told: the serving workers and every call.
class RecordingSink : public IAnnouncementSink {
public:
  void workerServing(const WorkerAnnouncement &Announcement) override {
    Serving[Announcement.Worker] = Announcement;
    ++ServingCalls;
  }
  void workerGone(const WorkerId &Worker, GoneReason Reason) override {
    Serving.erase(Worker);
    Gone.emplace_back(Worker, Reason);
  }

  std::map<WorkerId, WorkerAnnouncement> Serving;
  std::vector<std::pair<WorkerId, GoneReason>> Gone;
  int ServingCalls = 0;
};

/// An HTTP request of a test; keeps the answer.
class FakeExchange : public IHttpExchange {
public:
  explicit FakeExchange(std::string Body) {
    Request_.Method = "POST";
    Request_.Path = AnnouncementPath;
    Request_.Body = std::move(Body);
  }
  const HttpRequest &request() const override { return Request_; }
  void reply(HttpResponse Response) override {
    if (!Answer)
      Answer = std::move(Response);
  }
  void onGone(std::function<void()>) override {}

  int status() const { return Answer ? Answer->Status : 0; }
  std::optional<HttpResponse> Answer;

private:
  HttpRequest Request_;
};

/// The callers' server of a test, with one route.
class FakeHttpServer : public IHttpServer {
public:
  void route(const std::string &, const std::string &,
             Handler Handle) override {
    Handle_ = std::move(Handle);
  }
  std::shared_ptr<FakeExchange> post(const std::string &Body) {
    auto Exchange = std::make_shared<FakeExchange>(Body);
    Handle_(Exchange);
    return Exchange;
  }

private:
  Handler Handle_;
};

/// One running entry process.
struct TestEntry {
  TestEntry(FakeNetwork &Network, const Peer &Self, Incarnation Own,
            const MembershipSettings &Settings)
      : Node(std::make_shared<FakeNode>(Network, Self.Address)),
        Members(Network.Clock, Node->Timers, *Node, *Node, Self, Own, Settings),
        Announcements(Members, Members, Sink, Network.Clock, Node->Timers,
                      *Node, *Node, Http, Settings) {
    Network.attach(Self.Address, Node);
  }

  std::shared_ptr<FakeNode> Node;
  RecordingSink Sink;
  FakeHttpServer Http;
  MembershipService Members;
  AnnouncementService Announcements;
};

/// Entries named e100, e101, ... (in order of the ids) spread over data centres
/// dc0, dc1, ...; at most 900.
class TestCluster {
public:
  TestCluster(std::uint64_t Seed, std::size_t Size, std::size_t DataCentres,
              MembershipSettings Settings = {})
      : Network(Seed), Settings(Settings) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      Peers.push_back({VmId("e" + std::to_string(100 + Index)),
                       DataCentreId("dc" + std::to_string(Index % DataCentres)),
                       {"10.0.0.1", static_cast<std::uint16_t>(1000 + Index)}});
    Entries.resize(Size);
    StoppedAt.resize(Size);
    Starts.resize(Size);
  }
  ~TestCluster() {
    for (std::size_t Index = 0; Index < Entries.size(); ++Index)
      crash(Index);
  }

  void start(std::size_t Index) {
    startAs(Index, Incarnation(++LastIncarnation));
  }
  void startAs(std::size_t Index, Incarnation Own) {
    Entries[Index] =
        std::make_unique<TestEntry>(Network, Peers[Index], Own, Settings);
    Entries[Index]->Members.setPeers(Peers, ConfigVersion(1));
    Entries[Index]->Members.start();
    StoppedAt[Index].reset();
    ++Starts[Index];
  }
  void startAll() {
    for (std::size_t Index = 0; Index < Entries.size(); ++Index)
      start(Index);
  }
  void crash(std::size_t Index) {
    Network.detach(Peers[Index].Address);
    Entries[Index].reset();
    noteStop(Index);
  }
  void freeze(std::size_t Index) {
    Entries[Index]->Node->Frozen = true;
    noteStop(Index);
  }
  void thaw(std::size_t Index) {
    StoppedAt[Index].reset();
    Entries[Index]->Node->thaw();
  }
  bool runs(std::size_t Index) const {
    return Entries[Index] && !Entries[Index]->Node->Frozen;
  }
  void setCut(std::size_t A, std::size_t B, bool Cut) {
    Network.setCut(Peers[A].Address, Peers[B].Address, Cut);
  }
  void run(Duration Length) { Network.run(Length); }
  IMembership &members(std::size_t Index) { return Entries[Index]->Members; }
  EntryInfo seen(std::size_t By, std::size_t Whom) {
    return members(By).entries().at(Whom);
  }

  FakeNetwork Network;
  MembershipSettings Settings;
  std::vector<Peer> Peers;
  std::vector<std::unique_ptr<TestEntry>> Entries;
  /// Since when an entry has not been running.
  std::vector<std::optional<Time>> StoppedAt;
  /// How often each entry was started.
  std::vector<int> Starts;
  std::uint64_t LastIncarnation = 0;

private:
  void noteStop(std::size_t Index) {
    if (!StoppedAt[Index])
      StoppedAt[Index] = Network.Clock.now();
  }
};

/// An announcement of \p Worker in data centre dc0.
inline WorkerAnnouncement announcementOf(const std::string &Worker,
                                         std::uint64_t Starts,
                                         std::uint64_t Sequence,
                                         WorkerState State) {
  WorkerAnnouncement Announcement;
  Announcement.Worker = WorkerId(Worker);
  Announcement.Address = {"10.1.0.1", 8080};
  Announcement.DataCentre = DataCentreId("dc0");
  Announcement.Rack = "r1";
  Announcement.Service = ServiceId("triage");
  Announcement.Slots = 8;
  Announcement.Connections = 64;
  Announcement.Version = {Incarnation(Starts), Sequence};
  Announcement.State = State;
  return Announcement;
}

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_TESTS_TESTCLUSTER_H
