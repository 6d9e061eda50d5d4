//===- announcementtest.cpp - Announcements of thousands of workers -------===//
//
// Workers spread over a group of control VMs: followers forward only changed
// announcements, at once, and the leader still knows which workers are alive.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/tests/controlfake.h"

#include <gtest/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int Vms = 3;

/// One control VM of a group.
struct GroupVm {
  GroupVm(EntryFake &Fake, const Endpoint &At)
      : At(At), Rpc(Fake.Net, At), Workers(Fake.Workers, At.Address),
        Log(Fake.Timers, At), Service({Log,
                                       Log.Jobs.store(),
                                       Workers,
                                       Fake.Clock,
                                       Fake.Timers,
                                       Fake.Measured,
                                       Rpc,
                                       Rpc,
                                       {}},
                                      readOneQueue, LeaseSettings()) {}

  const Endpoint At;
  FakePeerRpc Rpc;
  FakeWorkerCalls Workers;
  FakeLog Log;
  JobService Service;
};

class AnnouncementTest : public testing::Test {
public:
  void SetUp() override {
    std::vector<Endpoint> Members;
    Members.reserve(Vms);
    for (int I = 0; I < Vms; ++I)
      Members.push_back({"10.0.9." + std::to_string(I + 1), 7000});
    for (const Endpoint &At : Members) {
      Group.push_back(std::make_unique<GroupVm>(Fake, At));
      Group.back()->Log.Members = Members;
      Group.back()->Log.Leader = Members.front();
      Group.back()->Service.start();
    }
    for (int I = 0; I < Workers; ++I) {
      WorkerInfo Info;
      Info.Worker = WorkerId("w" + std::to_string(I));
      Info.At = {"10.1.9." + std::to_string(I), 80};
      Info.Service = ServiceId("service");
      Info.DataCentre = DataCentreId("a");
      Info.Capacity.CpuMillis = 1000;
      Announced.push_back(Info);
    }
  }

  /// Has each worker announce itself at its control VM every 1.5 s.
  void announceFor(Duration Length) {
    for (Time End = Fake.Clock.now() + Length; Fake.Clock.now() < End;) {
      for (std::size_t I = 0; I < Announced.size(); ++I)
        announce(I, [](const Outcome<Done> &Result) { EXPECT_TRUE(Result); });
      Fake.run(1500ms);
    }
  }

  void announce(std::size_t Index, IJobControl::Acknowledge Done) {
    ++Announced[Index].Sequence;
    Group[Index % Group.size()]->Service.announceWorker(Announced[Index],
                                                        std::move(Done));
  }

  void lead(std::size_t Index, std::uint64_t Term) {
    for (auto &Each : Group)
      Each->Log.lead(Group[Index]->At, Term);
  }

  /// The workers that \p Leader lists, and whether each is draining.
  std::map<std::string, bool> drainingByName(std::size_t Leader) {
    std::map<std::string, bool> Result;
    Json::Value Params(Json::objectValue);
    Params["entry"] = "10.0.1.99:7000";
    Params["data_centre"] = "a";
    Fake.Net.call({"10.0.1.99", 7000}, Group[Leader]->At, wire::method::Workers,
                  Params, 1s, [&](const Outcome<Json::Value> &Response) {
                    ASSERT_TRUE(Response);
                    for (const Json::Value &Each : (*Response)["workers"])
                      Result[Each["worker"].asString()] =
                          Each["draining"].asBool();
                  });
    Fake.run(10ms);
    return Result;
  }

  static constexpr int Workers = 30;
  EntryFake Fake{1, 1};
  std::vector<std::unique_ptr<GroupVm>> Group;
  std::vector<WorkerInfo> Announced;
};

TEST_F(AnnouncementTest, OnlyChangesAreForwardedToTheLeader) {
  announceFor(3s);
  EXPECT_EQ(drainingByName(0).size(), Announced.size());
  Fake.Net.Sent.clear();
  announceFor(30s);
  EXPECT_EQ(Fake.Net.Sent[wire::method::Announce], 0U);
  EXPECT_LE(Fake.Net.Sent[wire::method::Heard], (Vms - 1) * 17U);
  EXPECT_EQ(drainingByName(0).size(), Announced.size());
}

TEST_F(AnnouncementTest, ADrainIsAcknowledgedOnceTheLeaderKnows) {
  announceFor(3s);
  Announced[1].Draining = true;
  bool Acknowledged = false;
  announce(1, [&](const Outcome<Done> &Result) { Acknowledged = Result.ok(); });
  EXPECT_FALSE(Acknowledged);
  Fake.run(5ms);
  EXPECT_TRUE(Acknowledged);
  EXPECT_TRUE(drainingByName(0)["w1"]);
}

// The follower that forwards the drain gets no answer from the leader, so the
// drain is not acknowledged and the worker announces it again.
TEST_F(AnnouncementTest, ADrainThatDidNotReachTheLeaderIsSentAgain) {
  announceFor(3s);
  Fake.Faults.Cut.insert({"10.0.9.1", "10.0.9.2"});
  Announced[1].Draining = true;
  std::optional<bool> Acknowledged;
  announce(1, [&](const Outcome<Done> &Result) { Acknowledged = Result.ok(); });
  Fake.run(1s);
  EXPECT_EQ(Acknowledged, false);
  Fake.Faults.Cut.clear();
  announce(1, [&](const Outcome<Done> &Result) { Acknowledged = Result.ok(); });
  Fake.run(5ms);
  EXPECT_EQ(Acknowledged, true);
  EXPECT_TRUE(drainingByName(0)["w1"]);
}

TEST_F(AnnouncementTest, ANewLeaderGetsAllThatItMayLack) {
  announceFor(3s);
  Announced[1].Draining = true;
  announceFor(1s);
  // The new leader takes over before the former one has shared the drain.
  Fake.Faults.Cut.insert({"10.0.9.1", "10.0.9.3"});
  Announced[4].Draining = true;
  announceFor(1s);
  Fake.Faults.Cut.clear();
  lead(2, 2);
  announceFor(1s);
  EXPECT_TRUE(drainingByName(2)["w1"]);
  EXPECT_TRUE(drainingByName(2)["w4"]);
  EXPECT_EQ(drainingByName(2).size(), Announced.size());
}

// Hundreds of workers start at once: announcements that arrive while a message
// to the leader is in flight are batched into the next one.
TEST_F(AnnouncementTest, ConcurrentChangesAreForwardedInBatches) {
  Fake.run(100ms);
  Fake.Net.Sent.clear();
  std::size_t Acknowledged = 0;
  for (std::size_t I = 0; I < Announced.size(); ++I)
    announce(I,
             [&](const Outcome<Done> &Result) { Acknowledged += Result.ok(); });
  Fake.run(20ms);
  EXPECT_EQ(Acknowledged, Announced.size());
  EXPECT_LE(Fake.Net.Sent[wire::method::Announce], 2U * (Vms - 1));
}

TEST_F(AnnouncementTest, TheLeaderSendsWorkersToFollowersThatAnswer) {
  announceFor(3s);
  std::map<std::string, int> Sent;
  for (const WorkerInfo &Each : Announced) {
    auto At = Group[0]->Service.announceAt(Each.Worker);
    ASSERT_TRUE(At);
    ++Sent[At->Address];
  }
  EXPECT_GT(Sent["10.0.9.2"], 5);
  EXPECT_GT(Sent["10.0.9.3"], 5);
  EXPECT_FALSE(Group[1]->Service.announceAt(Announced[0].Worker));
  Fake.Faults.Cut.insert({"10.0.9.1", "10.0.9.2"});
  Fake.Faults.Cut.insert({"10.0.9.1", "10.0.9.3"});
  Fake.run(4s);
  EXPECT_FALSE(Group[0]->Service.announceAt(Announced[0].Worker));
}

TEST_F(AnnouncementTest, ASilentWorkerIsRemoved) {
  announceFor(3s);
  Announced.erase(Announced.begin() + 5);
  announceFor(12s);
  EXPECT_EQ(drainingByName(0).count("w5"), 0U);
  EXPECT_EQ(drainingByName(0).size(), Announced.size());
}

// A follower lists the workers that the leader has shared, so that the leader
// need not send thousands of workers to hundreds of entries.
TEST_F(AnnouncementTest, AFollowerListsTheWorkersOfItsLeadersTerm) {
  announceFor(3s);
  Json::Value Params(Json::objectValue);
  std::size_t Listed = 0;
  auto Ask = [&](std::uint64_t Term) {
    Params["lists_of"] = Json::UInt64(Term);
    Fake.Net.call({"10.0.1.99", 7000}, Group[1]->At, wire::method::Workers,
                  Params, 1s, [&](const Outcome<Json::Value> &Response) {
                    ASSERT_TRUE(Response);
                    Listed = (*Response)["workers"].size();
                  });
    Fake.run(10ms);
  };
  Ask(1);
  EXPECT_EQ(Listed, Announced.size());
  Ask(2);
  EXPECT_EQ(Listed, 0U);
}

TEST(WorkerDirectoryTest, AFullListIsSentInParts) {
  WorkerDirectory Directory;
  WorkerInfo Info;
  constexpr std::size_t Count = 50;
  for (std::size_t I = 0; I < Count + MaxRemovals; ++I) {
    Info.Worker = WorkerId("w" + std::to_string(I));
    announce(Directory, Info, Time());
    if (I >= Count)
      recordLeave(Directory, Info.Worker);
  }
  // Workers leave while the list is being fetched in parts.
  ChangesRequest Request{0, 7, Directory.Changes};
  std::set<std::string> Known;
  for (std::size_t Part = 0; Part < 20; ++Part) {
    DirectoryChanges Changes = changesSince(Directory, Request);
    EXPECT_EQ(Changes.IsFullList, Part == 0);
    EXPECT_LE(Changes.Changed.size(), 7U);
    for (const KnownWorker *Each : Changes.Changed)
      Known.insert(Each->Info.Worker.value());
    for (const WorkerId &Each : Changes.Removed)
      Known.erase(Each.value());
    Request.Since = Changes.LastChange;
    if (Part < 5)
      recordLeave(Directory, WorkerId("w" + std::to_string(Part * 9)));
  }
  std::set<std::string> Remaining;
  for (const auto &[Id, Each] : Directory.Workers)
    Remaining.insert(Id.value());
  EXPECT_EQ(Known, Remaining);
  EXPECT_EQ(Request.Since, Directory.Changes);
}

} // namespace
} // namespace geraniumbay::jobs
