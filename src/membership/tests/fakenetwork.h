//===- fakenetwork.h - RPC between nodes of a test --------------*- C++ -*-===//
//
// Delivers calls between fake nodes on one manual clock, with loss, delay,
// duplicates, cuts and frozen nodes, all drawn from one seed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_TESTS_FAKENETWORK_H
#define GERANIUMBAY_MEMBERSHIP_TESTS_FAKENETWORK_H

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/json/json.h"
#include "framework/random/random.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"

#include <map>
#include <memory>
#include <set>

namespace geraniumbay::membership {

class FakeNode;

/// How the network treats messages; chances are in percent.
struct NetworkFaults {
  std::uint64_t Loss = 0;
  std::uint64_t Duplicates = 0;
  /// Chance that a message is late by up to 10 s, as by retransmission.
  std::uint64_t Late = 0;
};

/// The network of a test.
class FakeNetwork {
public:
  explicit FakeNetwork(std::uint64_t Seed)
      : Deliveries_(Clock), Numbers_(Seed) {}

  void attach(const Endpoint &At, const std::shared_ptr<FakeNode> &Node) {
    Nodes_[At] = Node;
  }
  void detach(const Endpoint &At) { Nodes_.erase(At); }
  /// Cuts or joins both directions between \p A and \p B.
  void setCut(const Endpoint &A, const Endpoint &B, bool Cut) {
    if (Cut)
      Cuts_.insert(std::minmax(A, B));
    else
      Cuts_.erase(std::minmax(A, B));
  }
  /// Runs \p Deliver at a later time, perhaps never or twice.
  void send(const Endpoint &From, const Endpoint &To,
            const std::function<void(FakeNode &)> &Deliver);
  /// Advances the clock by \p Length.
  void run(Duration Length);

  ManualClock Clock;
  NetworkFaults Faults;
  /// JSON bytes of parameters and results sent, by sender, and their count.
  std::map<Endpoint, std::uint64_t> BytesSent;
  std::map<Endpoint, std::uint64_t> MessagesSent;

private:
  bool happens(std::uint64_t Percent) { return Numbers_.below(100) < Percent; }

  TimerQueue Deliveries_;
  Random Numbers_;
  std::map<Endpoint, std::shared_ptr<FakeNode>> Nodes_;
  std::set<std::pair<Endpoint, Endpoint>> Cuts_;
};

/// One process: its timers, its methods and its calls.
class FakeNode : public IRpcClient,
                 public IRpcServer,
                 public std::enable_shared_from_this<FakeNode> {
public:
  FakeNode(FakeNetwork &Network, Endpoint At)
      : Timers(Network.Clock), Network_(Network), At_(std::move(At)) {}

  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override;
  void method(const std::string &Name, Method Handle) override {
    Methods_[Name] = std::move(Handle);
  }

  /// Runs \p Event now, or when the node is no longer frozen.
  void deliver(std::function<void()> Event) {
    if (Frozen)
      Backlog_.push_back(std::move(Event));
    else
      Event();
  }
  /// Ends a freeze; what arrived meanwhile is handled before any timer.
  void thaw() {
    Frozen = false;
    for (const auto &Event : std::exchange(Backlog_, {}))
      Event();
  }

  TimerQueue Timers;
  bool Frozen = false;

private:
  /// A running call of another node and where its answer goes.
  struct Incoming {
    Endpoint Caller;
    std::uint64_t Call = 0;
  };
  void serve(const Incoming &From, const std::string &Method,
             const Json::Value &Params);
  void finish(std::uint64_t Call, const Outcome<Json::Value> &Result);

  FakeNetwork &Network_;
  const Endpoint At_;
  std::map<std::string, Method> Methods_;
  std::map<std::uint64_t, Callback> Running_;
  std::uint64_t LastCall_ = 0;
  std::vector<std::function<void()>> Backlog_;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_TESTS_FAKENETWORK_H
