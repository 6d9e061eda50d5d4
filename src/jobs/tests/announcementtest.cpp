//===- announcementtest.cpp - Announcements of thousands of workers -------===//
//
// A group of control VMs over which workers are spread: the leader hears of
// news at once and of nothing else, and knows who is alive all the same.
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

  /// Each worker announces itself at its control VM every 1.5 s.
  void announceFor(Duration For) {
    for (Time End = Fake.Clock.now() + For; Fake.Clock.now() < End;) {
      for (std::size_t I = 0; I < Announced.size(); ++I)
        announce(I, [](const Outcome<Done> &Was) { EXPECT_TRUE(Was); });
      Fake.run(1500ms);
    }
  }

  void announce(std::size_t Which, IJobControl::Acknowledge Done) {
    ++Announced[Which].Sequence;
    Group[Which % Group.size()]->Service.announceWorker(Announced[Which],
                                                        std::move(Done));
  }

  void lead(std::size_t Which, std::uint64_t Term) {
    for (auto &Each : Group)
      Each->Log.lead(Group[Which]->At, Term);
  }

  /// The workers that the leader tells of.
  std::map<std::string, bool> drainingByName(std::size_t Leader) {
    std::map<std::string, bool> Result;
    Json::Value Params(Json::objectValue);
    Params["entry"] = "10.0.1.99:7000";
    Params["data_centre"] = "a";
    Fake.Net.call({"10.0.1.99", 7000}, Group[Leader]->At, wire::method::Workers,
                  Params, 1s, [&](const Outcome<Json::Value> &Told) {
                    ASSERT_TRUE(Told);
                    for (const Json::Value &Each : (*Told)["workers"])
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

TEST_F(AnnouncementTest, TheLeaderIsToldOfNewsOnly) {
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
  announce(1, [&](const Outcome<Done> &Was) { Acknowledged = Was.ok(); });
  EXPECT_FALSE(Acknowledged);
  Fake.run(5ms);
  EXPECT_TRUE(Acknowledged);
  EXPECT_TRUE(drainingByName(0)["w1"]);
}

// The follower that passed it on got no answer; the worker tells it again.
TEST_F(AnnouncementTest, ADrainThatTheLeaderDidNotHearIsToldAgain) {
  announceFor(3s);
  Fake.Faults.Cut.insert({"10.0.9.1", "10.0.9.2"});
  Announced[1].Draining = true;
  std::optional<bool> Acknowledged;
  announce(1, [&](const Outcome<Done> &Was) { Acknowledged = Was.ok(); });
  Fake.run(1s);
  EXPECT_EQ(Acknowledged, false);
  Fake.Faults.Cut.clear();
  announce(1, [&](const Outcome<Done> &Was) { Acknowledged = Was.ok(); });
  Fake.run(5ms);
  EXPECT_EQ(Acknowledged, true);
  EXPECT_TRUE(drainingByName(0)["w1"]);
}

TEST_F(AnnouncementTest, ANewLeaderHearsOfAllThatItMayNotKnow) {
  announceFor(3s);
  Announced[1].Draining = true;
  announceFor(1s);
  // It leads before the former leader has told it of the drain.
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

// Hundreds of workers start at once: what comes while a message to the leader
// is under way goes with the next one.
TEST_F(AnnouncementTest, NewsThatComeAtOnceArePassedOnTogether) {
  Fake.run(100ms);
  Fake.Net.Sent.clear();
  std::size_t Acknowledged = 0;
  for (std::size_t I = 0; I < Announced.size(); ++I)
    announce(I, [&](const Outcome<Done> &Was) { Acknowledged += Was.ok(); });
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

TEST_F(AnnouncementTest, ASilentWorkerIsForgotten) {
  announceFor(3s);
  Announced.erase(Announced.begin() + 5);
  announceFor(12s);
  EXPECT_EQ(drainingByName(0).count("w5"), 0U);
  EXPECT_EQ(drainingByName(0).size(), Announced.size());
}

// A follower lists what the leader has shared, so that the leader need not tell
// hundreds of entries of thousands of workers.
TEST_F(AnnouncementTest, AFollowerListsTheWorkersOfItsLeadersTerm) {
  announceFor(3s);
  Json::Value Params(Json::objectValue);
  std::size_t Listed = 0;
  auto Ask = [&](std::uint64_t Term) {
    Params["lists_of"] = Json::UInt64(Term);
    Fake.Net.call({"10.0.1.99", 7000}, Group[1]->At, wire::method::Workers,
                  Params, 1s, [&](const Outcome<Json::Value> &Told) {
                    ASSERT_TRUE(Told);
                    Listed = (*Told)["workers"].size();
                  });
    Fake.run(10ms);
  };
  Ask(1);
  EXPECT_EQ(Listed, Announced.size());
  Ask(2);
  EXPECT_EQ(Listed, 0U);
}

TEST(WorkerDirectoryTest, AWholeListIsToldInParts) {
  WorkerDirectory Directory;
  WorkerInfo Info;
  constexpr std::size_t Count = 50;
  for (std::size_t I = 0; I < Count + MaxRemovals; ++I) {
    Info.Worker = WorkerId("w" + std::to_string(I));
    announce(Directory, Info, Time());
    if (I >= Count)
      leave(Directory, Info.Worker);
  }
  // Workers go and change while the parts are told.
  ChangesWanted Wanted{0, 7, Directory.Changes};
  std::set<std::string> Known;
  for (std::size_t Part = 0; Part < 20; ++Part) {
    DirectoryChanges News = changesSince(Directory, Wanted);
    EXPECT_EQ(News.Whole, Part == 0);
    EXPECT_LE(News.Changed.size(), 7U);
    for (const KnownWorker *Each : News.Changed)
      Known.insert(Each->Info.Worker.value());
    for (const WorkerId &Each : News.Removed)
      Known.erase(Each.value());
    Wanted.Since = News.Upto;
    if (Part < 5)
      leave(Directory, WorkerId("w" + std::to_string(Part * 9)));
  }
  std::set<std::string> There;
  for (const auto &[Id, Each] : Directory.Workers)
    There.insert(Id.value());
  EXPECT_EQ(Known, There);
  EXPECT_EQ(Wanted.Since, Directory.Changes);
}

} // namespace
} // namespace geraniumbay::jobs
