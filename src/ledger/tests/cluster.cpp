//===- cluster.cpp - Ledgers, entries and control of a test ---------------===//
//
// The network, the processes and the stand-in for control.
//
//===----------------------------------------------------------------------===//

#include "ledger/tests/cluster.h"
#include "ledger/submissionkey.h"

namespace geraniumbay::ledger {

using std::chrono::milliseconds;

namespace {

const DataCentreId Home("dc");
constexpr Duration Step = milliseconds(10);

} // namespace

TestProcess::TestProcess(Cluster &Owner, std::size_t Number)
    : Owner(Owner),
      Number(Number), At{"10.0.0.1", static_cast<std::uint16_t>(Number)} {
  Timers.emplace(Owner.Clock);
}

void TestProcess::call(const Endpoint &To, const std::string &Method,
                       Json::Value Params, Duration Timeout, Callback Done) {
  auto Pending = std::make_shared<Callback>(std::move(Done));
  auto Finish = [Pending](const Outcome<Json::Value> &Result) {
    if (auto Run = std::exchange(*Pending, nullptr))
      Run(Result);
  };
  Timers->after(Timeout, [Finish] {
    Finish(Error{ErrorCode::Timeout, "no reply"});
  });
  Owner.send(*this, To.Port, [this, Method, Params, Finish](TestProcess &Peer) {
    auto Answer = [this, &Peer, Finish](const Outcome<Json::Value> &Result) {
      Owner.send(Peer, Number,
                 [Finish, Result](TestProcess &) { Finish(Result); });
    };
    auto Found = Peer.Methods.find(Method);
    if (Found != Peer.Methods.end())
      Found->second(Params, Answer);
    else
      Answer(Error{ErrorCode::Refused, "not started"});
  });
}

Cluster::Cluster(std::size_t Ledgers, std::size_t Entries, std::uint64_t Seed)
    : Numbers(Seed), Ledgers_(Ledgers), Wire_(Clock) {
  Config.DataCentre = Home;
  Config.SegmentSize = 2000;
  View.DataCentre = Home;
  for (std::size_t Number = 0; Number < Ledgers + Entries; ++Number) {
    Processes_.push_back(std::make_unique<TestProcess>(*this, Number));
    if (Number < Ledgers)
      View.Peers.push_back({vm(Number), at(Number).At});
  }
  for (std::size_t Number = 0; Number < Ledgers + Entries; ++Number)
    start(Number);
}

void Cluster::crash(std::size_t Number) {
  TestProcess &Process = at(Number);
  ++Process.Start;
  Process.Ledger.reset();
  Process.Client.reset();
  Process.Timers.emplace(Clock);
  Process.Methods.clear();
  Process.Backlog.clear();
  Process.Frozen = false;
  Process.Disk.crash(Numbers);
}

void Cluster::start(std::size_t Number) {
  TestProcess &Process = at(Number);
  ++Process.Start;
  if (Number >= Ledgers_) {
    Process.Client = std::make_unique<LedgerClient>(
        LedgerClientConfig{}, Clock, *Process.Timers, Process,
        Holder{vm(Number), Incarnation(Process.Start)});
    return;
  }
  LedgerConfig Own = Config;
  Own.Vm = vm(Number);
  Process.Ledger = std::make_unique<LedgerService>(
      Own, Clock, *Process.Timers, Process.Disk, Process, Process,
      [this, Number](const ViewProposal &Wish) {
        if (!WithoutControl.contains(Number))
          propose(Wish);
      },
      Numbers.bits());
  attempt([&] { return Process.Ledger->start(); });
}

void Cluster::thaw(std::size_t Number) {
  at(Number).Frozen = false;
  for (const auto &Event : std::exchange(at(Number).Backlog, {}))
    Event();
}

void Cluster::setCut(std::size_t A, std::size_t B, bool Cut) {
  if (Cut)
    Cuts_.insert(std::minmax(A, B));
  else
    Cuts_.erase(std::minmax(A, B));
}

void Cluster::healAll() {
  Loss = Repeats = Late = 0;
  Cuts_.clear();
  WithoutControl.clear();
  WithoutViews.clear();
  StalledDisks.clear();
  for (std::size_t Number = 0; Number < size(); ++Number) {
    thaw(Number);
    at(Number).Disk.setSyncsFail(false);
    at(Number).Disk.setCapacity(std::nullopt);
    // A ledger whose disk has failed comes back by itself.
    bool Down = Number < Ledgers_ ? !at(Number).Ledger : !at(Number).Client;
    if (Down) {
      crash(Number);
      start(Number);
    }
  }
}

void Cluster::run(Duration Length) {
  for (Time End = Clock.now() + Length; Clock.now() < End;) {
    Clock.advance(Step);
    Wire_.runDue();
    if (Clock.now() - LastHandOut_ >= milliseconds(500))
      handOutView();
    for (std::size_t Number = 0; Number < size(); ++Number) {
      TestProcess &Process = at(Number);
      if (Process.Frozen)
        continue;
      if (happens(70) && !StalledDisks.contains(Number))
        Process.Disk.completeSyncs();
      Process.Timers->runDue();
    }
  }
}

bool Cluster::runUntil(const std::function<bool()> &Condition, Duration Limit) {
  for (Time End = Clock.now() + Limit; Clock.now() < End && !Condition();)
    run(Step);
  return Condition();
}

TestProcess *Cluster::primary() {
  for (std::size_t Number = 0; Number < Ledgers_; ++Number) {
    TestProcess &Process = at(Number);
    if (!Process.Ledger || View.Primary != vm(Number))
      continue;
    LedgerStatus Status = Process.Ledger->status();
    if (Status.IsPrimary && Status.View == View.Number)
      return &Process;
  }
  return nullptr;
}

bool Cluster::hasMembers(std::size_t Count) {
  if (View.Members.size() != Count || !primary())
    return false;
  for (const LedgerMember &Member : View.Members) {
    auto &Ledger = at(std::stoul(Member.Vm.value())).Ledger;
    if (!Ledger || Ledger->status().View != View.Number ||
        !Ledger->status().IsMember)
      return false;
  }
  return !primary()->Ledger->status().Stalled;
}

Outcome<ClaimReply> Cluster::claim(std::size_t Entry,
                                   const std::string &Submission,
                                   const std::string &Digest,
                                   Duration Patience) {
  std::optional<Outcome<ClaimReply>> Result;
  at(Entry).Client->claim(
      Home, SubmissionId(Submission), Digest, Clock.now() + Patience,
      [&](const Outcome<ClaimReply> &Reply) { Result.emplace(Reply); });
  runUntil([&] { return Result.has_value(); });
  return *Result;
}

Outcome<std::string> Cluster::record(std::size_t Entry,
                                     const std::string &Submission,
                                     const std::string &Answer) {
  std::optional<Outcome<std::string>> Result;
  at(Entry).Client->record(
      Home, SubmissionId(Submission), Answer,
      Clock.now() + std::chrono::seconds(5),
      [&](const Outcome<std::string> &Reply) { Result.emplace(Reply); });
  runUntil([&] { return Result.has_value(); });
  return *Result;
}

Outcome<Done> Cluster::release(std::size_t Entry,
                               const std::string &Submission) {
  std::optional<Outcome<Done>> Result;
  at(Entry).Client->release(
      Home, SubmissionId(Submission), Clock.now() + std::chrono::seconds(5),
      [&](const Outcome<Done> &Reply) { Result.emplace(Reply); });
  runUntil([&] { return Result.has_value(); });
  return *Result;
}

std::string Cluster::issue(std::uint64_t Number) const {
  return formatIssuedKey({Home, View.LedgerEpoch, Number}).value();
}

void Cluster::send(TestProcess &From, std::size_t To,
                   const std::function<void(TestProcess &)> &Deliver) {
  std::size_t Times = happens(Repeats) ? 2 : 1;
  for (std::size_t Time = 0; Time < Times; ++Time) {
    if (happens(Loss) || Cuts_.contains(std::minmax(From.Number, To)))
      continue;
    Duration Delay =
        milliseconds(happens(Late) ? Numbers.below(8000) : Numbers.below(20));
    // A connection ends with the process at either end.
    std::uint64_t Start = at(To).Start;
    Wire_.after(Delay, [this, To, Start, Deliver] {
      TestProcess &Peer = at(To);
      if (Peer.Start != Start)
        return;
      if (Peer.Frozen)
        Peer.Backlog.push_back([&Peer, Deliver] { Deliver(Peer); });
      else
        Deliver(Peer);
    });
  }
}

void Cluster::propose(const ViewProposal &Wish) {
  if (Wish.Base != View.Number || happens(Loss))
    return;
  if (change(Wish))
    View.Number = ViewNumber(View.Number.value() + 1);
}

bool Cluster::change(const ViewProposal &Wish) {
  bool ByPrimary = View.Primary == Wish.By.Vm && View.hasMember(Wish.By);
  const LedgerMember *Old = View.memberOn(Wish.By.Vm);
  switch (Wish.Action) {
  case ViewAction::Open:
    View.LedgerEpoch = Epoch(1);
    View.Primary = Wish.By.Vm;
    View.Members = {Wish.By};
    return true;
  case ViewAction::Remove:
    if (!ByPrimary || Wish.Subject == Wish.By || !View.hasMember(Wish.Subject))
      return false;
    std::erase(View.Members, Wish.Subject);
    std::erase(Lost, Wish.Subject);
    return true;
  case ViewAction::Add:
    if (!ByPrimary || View.memberOn(Wish.Subject.Vm))
      return false;
    View.Members.push_back(Wish.Subject);
    return true;
  case ViewAction::Promote:
    if (!View.hasMember(Wish.By) || ByPrimary ||
        std::find(Lost.begin(), Lost.end(), Wish.By) != Lost.end())
      return false;
    std::erase_if(View.Members, [&](const LedgerMember &Member) {
      return Member.Vm == View.Primary;
    });
    std::erase_if(Lost, [&](const LedgerMember &Member) {
      return Member.Vm == View.Primary;
    });
    View.Primary = Wish.By.Vm;
    return true;
  case ViewAction::ReportLost:
    if (!Old || *Old == Wish.By ||
        std::find(Lost.begin(), Lost.end(), *Old) != Lost.end())
      return false;
    Lost.push_back(*Old);
    if (Lost.size() < View.Members.size())
      return true;
    View.LedgerEpoch = Epoch(View.LedgerEpoch.value() + 1);
    View.Primary = Wish.By.Vm;
    View.Members = {Wish.By};
    View.KeysRefusedUntil = Wish.RefuseKeysUntil;
    Lost.clear();
    return true;
  }
  return false;
}

void Cluster::handOutView() {
  LastHandOut_ = Clock.now();
  if (View.Number == ViewNumber(0))
    return;
  for (std::size_t Number = 0; Number < size(); ++Number) {
    TestProcess &Process = at(Number);
    if (Process.Frozen || WithoutControl.contains(Number) ||
        WithoutViews.contains(Number) || happens(Loss))
      continue;
    if (Process.Ledger)
      Process.Ledger->applyView(View);
    if (Process.Client)
      Process.Client->applyView(View);
  }
}

} // namespace geraniumbay::ledger
