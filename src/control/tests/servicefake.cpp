//===- servicefake.cpp - Control VMs and processes on a fake net ----------===//

#include "control/tests/servicefake.h"

namespace geraniumbay::control {

using namespace std::chrono_literals;

void FakeNet::call(const Endpoint &From, const Endpoint &To,
                   const std::string &Method, const Json::Value &Params,
                   Duration Timeout, IRpcClient::Callback Done) {
  ++Calls;
  auto Open = std::make_shared<IRpcClient::Callback>(std::move(Done));
  auto Finish = [Open](const Outcome<Json::Value> &Result) {
    if (*Open)
      std::exchange(*Open, nullptr)(Result);
  };
  Timers_.after(Timeout, [Finish] {
    Finish(Error{ErrorCode::Timeout, "no answer"});
  });
  Timers_.after(1ms, [this, From, To, Method, Params, Finish] {
    if (Cut.contains(From) || Cut.contains(To))
      return;
    auto Server = Servers.find(To);
    if (Server == Servers.end())
      return Finish(Error{ErrorCode::Refused, "nothing listens"});
    Server->second.at(Method)(
        Params, [this, From, To, Finish](const Outcome<Json::Value> &Result) {
          if (!Cut.contains(From) && !Cut.contains(To))
            Timers_.after(1ms, [Finish, Result] { Finish(Result); });
        });
  });
}

ServiceFake::ServiceFake(const std::string &FirstDocument,
                         const Adjust &Change) {
  for (int I = 1; I <= 3; ++I)
    Peers.push_back(
        {VmId("c" + std::to_string(I)), {"10.0.0." + std::to_string(I), 7000}});
  for (std::size_t I = 0; I < Peers.size(); ++I) {
    ControlOptions Options;
    Options.Self = Peers[I].Vm;
    Options.ControlVms = Peers;
    Options.MayFound = true;
    Options.FirstDocument = FirstDocument;
    Options.Seed = 100 + I;
    Options.Validate = [](const std::string &, const std::string &) -> Ret {
      return {};
    };
    Options.ExpectedVms = [](const std::string &) {
      return std::vector<VmId>{VmId("e1"), VmId("missing")};
    };
    if (Change)
      Change(Options);
    auto Vm = std::make_unique<FakeControlVm>();
    Vm->Rpc = std::make_unique<FakeRpc>(Net, Peers[I].At);
    Vm->Service = std::make_unique<ControlService>(std::move(Options), Vm->Disk,
                                                   Clock, Timers, *Vm->Rpc,
                                                   *Vm->Rpc, Vm->Measured);
    (void)attempt([&] { return Vm->Service->start(); });
    Vms.push_back(std::move(Vm));
  }
  OperatorRpc = process(99);
  Client = std::make_unique<ControlClient>(
      std::vector<Endpoint>{controlAt(0), controlAt(1), controlAt(2)},
      *OperatorRpc, Timers);
  run(8s);
}

void ServiceFake::run(Duration For) {
  for (Time End = Clock.now() + For; Clock.now() < End;) {
    Clock.advance(1ms);
    Timers.runDue();
    for (std::size_t I = 0; I < Vms.size(); ++I)
      if (I != HoldSyncsOf)
        Vms[I]->Disk.completeSyncs();
  }
}

std::unique_ptr<FakeRpc> ServiceFake::process(int Number) {
  return std::make_unique<FakeRpc>(
      Net, Endpoint{"10.0.1." + std::to_string(Number), 7000});
}

std::unique_ptr<ConfigSource>
ServiceFake::source(FakeRpc &Rpc, const std::string &Vm,
                    const std::string &Process, std::uint64_t Start,
                    IStorage *Disk, PeerFetch FromPeer) {
  ConfigSourceOptions Options;
  Options.Self = {VmId(Vm), Process};
  Options.Start = Incarnation(Start);
  for (const ControlPeer &Peer : Peers)
    Options.ControlVms.push_back(Peer.At);
  Options.FromPeer = std::move(FromPeer);
  auto Source =
      std::make_unique<ConfigSource>(std::move(Options), Rpc, Timers, Disk);
  Source->start();
  return Source;
}

Outcome<ConfigAnswer> ServiceFake::propose(const std::string &Operation,
                                           std::uint64_t Base,
                                           const std::string &Document) {
  std::optional<Outcome<ConfigAnswer>> Answer;
  Client->propose({OperationId(Operation), ConfigVersion(Base), Document},
                  [&](const Outcome<ConfigAnswer> &Got) { Answer = Got; });
  await(Answer);
  return Answer.value_or(Error{ErrorCode::Timeout, "never answered"});
}

Outcome<LedgerAnswer> ServiceFake::changeLedger(LedgerChange Change) {
  std::optional<Outcome<LedgerAnswer>> Answer;
  Client->changeLedger(std::move(Change),
                       [&](const Outcome<LedgerAnswer> &Got) { Answer = Got; });
  await(Answer);
  return Answer.value_or(Error{ErrorCode::Timeout, "never answered"});
}

ControlStatus ServiceFake::status() {
  std::optional<Outcome<ControlStatus>> Answer;
  Client->status([&](const Outcome<ControlStatus> &Got) { Answer = Got; });
  await(Answer);
  return Answer && *Answer ? **Answer : ControlStatus{};
}

} // namespace geraniumbay::control
