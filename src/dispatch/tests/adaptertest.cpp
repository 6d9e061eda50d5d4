//===- adaptertest.cpp - Tests of pool and client over a lossy network ----===//

#include "dispatch/internal/poolclient.h"
#include "dispatch/internal/poolservice.h"
#include "dispatch/tests/poolfixture.h"
#include "framework/clock/timerqueue.h"

#include <gtest/gtest.h>

namespace geraniumbay::dispatch {
namespace {

/// What happens to a message.
enum class Fate { Delivered, Refused, ReplyLost };

/// Servers by address, and calls that take no time but a turn of the loop.
class FakeNetwork : public IRpcClient {
public:
  explicit FakeNetwork(ITimers &Timers) : Timers_(Timers) {}

  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration /*Timeout*/, Callback Done) override {
    Fate What = Fates.contains(Method) ? Fates[Method] : Fate::Delivered;
    ++Calls[Method];
    Timers_.after(Duration(0), [this, To, Method, Params, Done, What] {
      if (What == Fate::Refused) {
        Done(Error{ErrorCode::Refused, "connection refused"});
        return;
      }
      Servers[To.Port][Method](Params, [Done,
                                        What](Outcome<Json::Value> Reply) {
        Done(What == Fate::Delivered ? std::move(Reply)
                                     : Error{ErrorCode::Timeout, "no reply"});
      });
    });
  }

  std::map<std::uint16_t, std::map<std::string, IRpcServer::Method>> Servers;
  std::map<std::string, Fate> Fates;
  std::map<std::string, int> Calls;

private:
  ITimers &Timers_;
};

class FakeServer : public IRpcServer {
public:
  FakeServer(FakeNetwork &Network, std::uint16_t Port)
      : Network_(Network), Port_(Port) {}
  void method(const std::string &Name, Method Handle) override {
    Network_.Servers[Port_][Name] = std::move(Handle);
  }

private:
  FakeNetwork &Network_;
  std::uint16_t Port_;
};

/// The entries e1 and e2; those in Owners own a pool.
class FakeDirectory : public IPoolDirectory {
public:
  explicit FakeDirectory(std::string Self) : Self_(std::move(Self)) {}
  EntryRef self() const override { return entry(Self_); }
  DataCentreId dataCentre() const override { return DataCentreId("a"); }
  std::vector<PoolSummary> pools(const ServiceId &Service) const override {
    std::vector<PoolSummary> All;
    for (const char *Owner : Owners) {
      PoolSummary Pool;
      Pool.Owner = VmId(Owner);
      Pool.Address = *peerAddress(Pool.Owner);
      Pool.DataCentre = dataCentre();
      Pool.Service = Service;
      Pool.Slots = 2;
      Pool.Free = 2;
      Pool.DrainPerSecond = 10;
      All.push_back(Pool);
    }
    return All;
  }
  std::optional<Endpoint> peerAddress(const VmId &Entry) const override {
    return Endpoint{"127.0.0.1",
                    static_cast<std::uint16_t>(Entry == VmId("e1") ? 1 : 2)};
  }
  std::vector<const char *> Owners = {"e1"};

private:
  std::string Self_;
};

/// Two entries, each with a pool of one worker of two slots.
struct AdapterTest : testing::Test {
  AdapterTest() {
    Pool1.announce(worker("w1", 2));
    Pool2.announce(worker("w2", 2));
    run();
  }

  void run(Duration For = milliseconds(1)) {
    for (Time End = Clock.now() + For; Clock.now() < End;
         Clock.advance(milliseconds(1)))
      while (Timers.runDue() > 0)
        ;
  }

  void ask(const std::string &Id, std::uint32_t Tasks = 1) {
    Client.acquire(
        request(Id, Tasks), [this](const Lease &Of) { Leases.push_back(Of); },
        [this](const Rejection &Why) { Rejections.push_back(Why); });
  }

  std::uint32_t freeSlots(const PoolService &Of) {
    return Of.summaries()[0].Free;
  }

  PoolPolicy policy() {
    PoolPolicy Policy;
    Policy.SilentAfter = std::chrono::hours(1);
    return Policy;
  }

  ManualClock Clock;
  TimerQueue Timers{Clock};
  FakeNetwork Network{Timers};
  FakeServer Server1{Network, 1};
  FakeServer Server2{Network, 2};
  FakeDirectory Directory1{"e1"};
  FakeDirectory Directory2{"e2"};
  PoolService Pool1{Clock, Timers, Server1, Network, Directory1, policy()};
  PoolService Pool2{Clock, Timers, Server2, Network, Directory2, policy()};
  PoolClient Client{Clock, Timers, Server1, Network, Directory1, {}};
  std::vector<Lease> Leases;
  std::vector<Rejection> Rejections;
};

TEST_F(AdapterTest, LeasesAreGrantedInOneMessageAndReleased) {
  ask("r", 2);
  run();
  ASSERT_EQ(Leases.size(), 2U);
  EXPECT_EQ(Network.Calls["pool.grant"], 1);
  EXPECT_EQ(freeSlots(Pool1), 0U);
  for (const Lease &Each : Leases)
    Client.release(Each, LeaseOutcome::Succeeded, milliseconds(50));
  Client.release(Leases[0], LeaseOutcome::Failed, Duration(0));
  run();
  EXPECT_EQ(Network.Calls["pool.release"], 1);
  EXPECT_EQ(freeSlots(Pool1), 2U);
}

TEST_F(AdapterTest, AGrantThatWasRefusedFreesItsSlotsAtOnce) {
  Network.Fates["pool.grant"] = Fate::Refused;
  ask("r");
  run();
  EXPECT_TRUE(Leases.empty());
  EXPECT_EQ(freeSlots(Pool1), 2U);
}

TEST_F(AdapterTest, AGrantOfUnknownFateIsHeldUntilTheRenewalSettlesIt) {
  Network.Fates["pool.grant"] = Fate::ReplyLost;
  Network.Fates["pool.cancel"] = Fate::Refused;
  ask("r");
  Client.cancel(RequestId("r"));
  run();
  EXPECT_TRUE(Leases.empty());
  EXPECT_EQ(freeSlots(Pool1), 1U);
  run(seconds(4));
  Pool1.announce(worker("w1", 2));
  EXPECT_EQ(freeSlots(Pool1), 2U);
}

TEST_F(AdapterTest, ALeaseThatNobodyWaitsForIsNotTaken) {
  Network.Fates["pool.cancel"] = Fate::Refused;
  ask("r");
  Client.cancel(RequestId("r"));
  run();
  EXPECT_TRUE(Leases.empty());
  EXPECT_EQ(Network.Calls["pool.grant"], 1);
  EXPECT_EQ(freeSlots(Pool1), 2U);
}

TEST_F(AdapterTest, AJobIsSplitAndStartsOnlyWhenAllPartsAreAccepted) {
  Directory1.Owners = {"e1", "e2"};
  auto Accept = Network.Servers[2]["pool.acquire"];
  bool Held = false;
  Network.Servers[2]["pool.acquire"] = [&](const Json::Value &Params,
                                           const IRpcServer::Reply &Answer) {
    Held = true;
    Timers.after(milliseconds(20), [=] { Accept(Params, Answer); });
  };
  ask("job", 4);
  run(milliseconds(10));
  EXPECT_TRUE(Held);
  EXPECT_TRUE(Leases.empty());
  run(milliseconds(20));
  EXPECT_EQ(Leases.size(), 4U);
}

TEST_F(AdapterTest, ALoadThatCameWithAnAnswerIsBelievedMoreThanAnOldHeartbeat) {
  Directory1.Owners = {"e1", "e2"};
  Network.Servers[2]["pool.grant"] = [](const Json::Value &Params,
                                        const IRpcServer::Reply &Answer) {
    auto Message = attempt([&] { return readGrant(Params); });
    std::vector<LeaseId> All;
    for (const Lease &Each : Message->Leases)
      All.push_back(Each.Id);
    Answer(writeLeaseIds("taken", All));
  };
  AcquireMessage Other{entry("e2"), request("other", 2)};
  Network.Servers[1]["pool.acquire"](writeAcquire(Other), [](const auto &) {});
  run();
  ask("first");
  run();
  EXPECT_TRUE(Leases.empty()) << "the directory still says that e1 is free";
  ask("second");
  run();
  ASSERT_EQ(Leases.size(), 1U);
  EXPECT_EQ(Leases[0].Owner, VmId("e2"));
}

TEST_F(AdapterTest, ARequestMovesOnFromAnOwnerThatCannotBeReached) {
  Directory1.Owners = {"e2", "e1"};
  Network.Servers[2]["pool.acquire"] = [](const Json::Value &,
                                          const IRpcServer::Reply &Answer) {
    Answer(Error{ErrorCode::Refused, "connection refused"});
  };
  ask("r");
  run();
  ASSERT_EQ(Leases.size(), 1U);
  EXPECT_EQ(Leases[0].Owner, VmId("e1"));
}

TEST_F(AdapterTest, ARequestThatItsOwnerForgotIsRejected) {
  ask("fill", 2);
  run();
  ask("r");
  run();
  // The owner drops it behind the client's back.
  Json::Value Params(Json::objectValue);
  Params["request"] = "r";
  Network.Servers[1]["pool.cancel"](Params, [](const auto &) {});
  run(seconds(5));
  ASSERT_EQ(Rejections.size(), 1U);
  EXPECT_EQ(Rejections[0].Reason, RejectReason::Lost);
}

TEST_F(AdapterTest, ARejectionThatWasLostIsLearnedByRenewal) {
  ask("fill", 2);
  run();
  ask("r");
  run();
  Network.Fates["pool.reject"] = Fate::Refused;
  Pool1.drain();
  run(seconds(5));
  EXPECT_EQ(Rejections.size(), 1U);
}

TEST_F(AdapterTest, MalformedMessagesAreRefused) {
  for (const char *Method :
       {"pool.acquire", "pool.grant", "pool.release", "pool.renew"}) {
    Json::Value Params(Json::objectValue);
    Params["leases"] = "x";
    bool Failed = false;
    Network.Servers[1][Method](Params, [&](const Outcome<Json::Value> &Reply) {
      Failed = !Reply.ok();
    });
    EXPECT_TRUE(Failed) << Method;
  }
}

} // namespace
} // namespace geraniumbay::dispatch
