//===- servicefake.h - Control VMs and processes on a fake net --*- C++ -*-===//
//
// Services that talk JSON-RPC through a fake network on a paused clock.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_TESTS_SERVICEFAKE_H
#define GERANIUMBAY_CONTROL_TESTS_SERVICEFAKE_H

#include "control/internal/configsource.h"
#include "control/internal/controlclient.h"
#include "control/internal/controlservice.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/storage/fakestorage.h"

#include <set>

namespace geraniumbay::control {

/// Calls between endpoints take 1 ms each way; a cut swallows them.
class FakeNet {
public:
  explicit FakeNet(ITimers &Timers) : Timers_(Timers) {}

  void call(const Endpoint &From, const Endpoint &To, const std::string &Method,
            const Json::Value &Params, Duration Timeout,
            IRpcClient::Callback Done);

  std::map<Endpoint, std::map<std::string, IRpcServer::Method>> Servers;
  std::set<Endpoint> Cut;
  std::uint64_t Calls = 0;

private:
  ITimers &Timers_;
};

class FakeRpc : public IRpcServer, public IRpcClient {
public:
  FakeRpc(FakeNet &Net, Endpoint Self) : Net_(Net), Self_(std::move(Self)) {}

  void method(const std::string &Name, Method Handle) override {
    Net_.Servers[Self_][Name] = std::move(Handle);
  }
  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override {
    Net_.call(Self_, To, Method, Params, Timeout, std::move(Done));
  }

private:
  FakeNet &Net_;
  Endpoint Self_;
};

/// One VM with a control service.
struct FakeControlVm {
  FakeStorage Disk;
  std::unique_ptr<FakeRpc> Rpc;
  Metrics Measured;
  std::unique_ptr<ControlService> Service;
};

/// Three control VMs at 10.0.0.1 to 10.0.0.3; other processes from 10.0.1.1.
class ServiceFake {
public:
  using Adjust = std::function<void(ControlOptions &)>;

  /// \p Change adjusts the options of each control VM.
  explicit ServiceFake(const std::string &FirstDocument = "",
                       const Adjust &Change = nullptr);

  Endpoint controlAt(std::size_t I) const { return Peers[I].At; }
  void run(Duration For);
  std::unique_ptr<FakeRpc> process(int Number);
  std::unique_ptr<ConfigSource> source(FakeRpc &Rpc, const std::string &Vm,
                                       const std::string &Process = "entry",
                                       std::uint64_t Start = 1,
                                       IStorage *Disk = nullptr,
                                       PeerFetch FromPeer = nullptr);
  /// Runs until \p Slot is filled.
  template <typename T> void await(std::optional<T> &Slot) {
    for (int I = 0; I < 1000 && !Slot; ++I)
      run(std::chrono::milliseconds(50));
  }
  Outcome<ConfigAnswer> propose(const std::string &Operation,
                                std::uint64_t Base,
                                const std::string &Document);
  Outcome<LedgerAnswer> changeLedger(LedgerChange Change);
  ControlStatus status();

  ManualClock Clock;
  TimerQueue Timers{Clock};
  FakeNet Net{Timers};
  /// The VM whose syncs don't complete.
  std::optional<std::size_t> HoldSyncsOf;
  std::vector<ControlPeer> Peers;
  std::vector<std::unique_ptr<FakeControlVm>> Vms;
  std::unique_ptr<FakeRpc> OperatorRpc;
  std::unique_ptr<ControlClient> Client;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_TESTS_SERVICEFAKE_H
