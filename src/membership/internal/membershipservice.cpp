//===- membershipservice.cpp - Heartbeats of one entry --------------------===//
//
// Sending, answering and judging of heartbeats on the loop.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/membershipservice.h"
#include "framework/log/log.h"
#include "membership/internal/ages.h"
#include "membership/internal/fanout.h"
#include "membership/internal/owner.h"

#include <algorithm>
#include <utility>

namespace geraniumbay::membership {

namespace {

constexpr const char *Module = "membership";
/// Urgent news of one wave go out together after this delay.
constexpr Duration SoonDelay = std::chrono::milliseconds(5);

void logChange(const MembershipChange &Change, const EntryInfo &Entry) {
  LogLevel Level =
      Entry.State == EntryState::Dead ? LogLevel::Warning : LogLevel::Info;
  if (Change.Kind == ChangeKind::StateChanged)
    logEvent(Level, Module, "entry_state",
             {{"vm", Change.Vm}, {"state", entryStateName(Entry.State)}});
  if (Change.Kind == ChangeKind::Restarted)
    logEvent(Level, Module, "entry_restarted",
             {{"vm", Change.Vm}, {"incarnation", Entry.Incarnation}});
}

} // namespace

MembershipService::MembershipService(const IClock &Clock, ITimers &Timers,
                                     IRpcClient &Client, IRpcServer &Server,
                                     const Peer &Self, Incarnation Own,
                                     const MembershipSettings &Settings)
    : Clock_(Clock), Timers_(Timers), Client_(Client), Settings_(Settings),
      View_(makeView(Self, Own, Clock.now())),
      Alive_(std::make_shared<MembershipService *>(this)) {
  std::weak_ptr<MembershipService *> Weak = Alive_;
  Server.method(HeartbeatMethod, [Weak](const Json::Value &Params,
                                        const IRpcServer::Reply &Answer) {
    if (auto Service = Weak.lock())
      Answer((*Service)->answer(Params));
  });
}

bool MembershipService::trusted() const {
  // A freeze that ends in another service's event has not been observed yet.
  return View_.Trusted &&
         Clock_.now() - View_.LastEvent <= Settings_.SuspectAfter;
}

std::vector<EntryInfo> MembershipService::entries() const {
  return viewEntries(View_, Clock_.now());
}

std::vector<EntryInfo> MembershipService::aliveEntries() const {
  std::vector<EntryInfo> Entries = entries();
  std::erase_if(Entries, [](const EntryInfo &Entry) {
    return Entry.State == EntryState::Dead;
  });
  return Entries;
}

std::optional<Peer> MembershipService::ownerOf(const DataCentreId &DataCentre,
                                               const WorkerId &Worker) const {
  std::optional<VmId> Owner = ownerAmong(ownerIdsOf(DataCentre), Worker);
  if (!Owner)
    return std::nullopt;
  return peerOf(*Owner);
}

std::vector<Peer>
MembershipService::ownersOf(const DataCentreId &DataCentre) const {
  std::vector<Peer> Owners;
  for (const VmId &Vm : ownerIdsOf(DataCentre))
    Owners.push_back(peerOf(Vm));
  return Owners;
}

std::vector<PoolReport>
MembershipService::summaries(const DataCentreId &DataCentre,
                             const ServiceId &Service) const {
  std::vector<PoolReport> Reports;
  Time Now = Clock_.now();
  for (const auto &[Vm, Other] : View_.Others) {
    if (Other.Configured.DataCentre != DataCentre ||
        Other.State == EntryState::Dead || Other.HeardAt == Time::min())
      continue;
    for (const PoolSummary &Pool : Other.Pools) {
      if (Pool.Service == Service)
        Reports.push_back({Vm, Pool, Now - Other.HeardAt});
    }
  }
  if (View_.Self.DataCentre != DataCentre || !Pools_)
    return Reports;
  for (const PoolSummary &Pool : Pools_()) {
    if (Pool.Service == Service)
      Reports.push_back({View_.Self.Vm, Pool, Duration(0)});
  }
  return Reports;
}

void MembershipService::subscribe(IMembership::Listener OnChange) {
  OnChange_.push_back(std::move(OnChange));
}

void MembershipService::start() {
  if (Tick_ == TimerId())
    tick();
}

void MembershipService::stop() {
  Timers_.cancel(std::exchange(Tick_, TimerId()));
  Timers_.cancel(std::exchange(Soon_, TimerId()));
}

void MembershipService::setDraining(bool Draining) {
  noteTime();
  Changes Noted = setViewDraining(View_, Draining);
  if (Noted.empty())
    return;
  tell(Noted);
  sendSoon();
}

void MembershipService::setPeers(std::vector<Peer> Peers,
                                 ConfigVersion InForce) {
  noteTime();
  tell(replacePeers(View_, Peers, InForce, Settings_, Clock_.now()));
  sendSoon();
}

void MembershipService::publishPools(PoolSource Source) {
  Pools_ = std::move(Source);
}

void MembershipService::bury(const Tombstone &Left) {
  noteTime();
  buryAll({{Left, Duration(0)}});
}

bool MembershipService::hasLeft(const WorkerId &Worker,
                                Incarnation Incarnation) const {
  return leftIn(Tombstones_, Worker, Incarnation);
}

void MembershipService::onLeft(ITombstones::Listener OnLeft) {
  OnLeft_.push_back(std::move(OnLeft));
}

void MembershipService::tick() {
  std::weak_ptr<MembershipService *> Weak = Alive_;
  Tick_ = Timers_.after(Settings_.Interval, [Weak] {
    if (auto Service = Weak.lock())
      (*Service)->tick();
  });
  noteTime();
  expireTombstones(Tombstones_, Settings_.TombstoneLife, Clock_.now());
  sendRound();
}

void MembershipService::sendRound() {
  for (const Peer &To : heartbeatTargets(View_, Settings_, Clock_.now()))
    sendTo(To);
}

void MembershipService::sendSoon() {
  if (Tick_ == TimerId() || Soon_ != TimerId())
    return;
  std::weak_ptr<MembershipService *> Weak = Alive_;
  Soon_ = Timers_.after(SoonDelay, [Weak] {
    auto Service = Weak.lock();
    if (!Service)
      return;
    MembershipService &Self = **Service;
    Self.Soon_ = TimerId();
    Self.noteTime();
    for (const auto &[Vm, Other] : Self.View_.Others) {
      if (isAwaited(Self.View_, Other, Self.Settings_))
        Self.sendTo(Other.Configured);
    }
  });
}

void MembershipService::sendTo(const Peer &To) {
  std::weak_ptr<MembershipService *> Weak = Alive_;
  Client_.call(To.Address, HeartbeatMethod, heartbeatJson(compose(To.Vm)),
               Settings_.Interval,
               [Weak, Vm = To.Vm](const Outcome<Json::Value> &Result) {
                 if (auto Service = Weak.lock())
                   (*Service)->takeReply(Vm, Result);
               });
}

Heartbeat MembershipService::compose(const VmId &To) {
  Time Now = Clock_.now();
  Heartbeat Message;
  Message.Sender = nextReport(
      View_, Settings_, Pools_ ? Pools_() : std::vector<PoolSummary>(), Now);
  auto Receiver = View_.Others.find(To);
  if (Receiver != View_.Others.end())
    Message.Echo = Receiver->second.Direct;
  Message.Relayed = relayedReports(View_, Settings_, Now);
  if (isLarge(View_, Settings_)) {
    Message.Ages = writeAges(View_, Now);
    Message.ListDigest = View_.ListDigest;
  }
  Message.Left = spreadNext(Tombstones_, Settings_.TombstonesPerHeartbeat, Now);
  return Message;
}

Outcome<Json::Value> MembershipService::answer(const Json::Value &Params) {
  noteTime();
  Outcome<Heartbeat> Message = attempt([&] { return readHeartbeat(Params); });
  if (!Message)
    return Message.error();
  const VmId &From = Message->Sender.Vm;
  Changes Noted;
  Reception Result = receive(View_, Settings_, *Message, Clock_.now(), Noted);
  tell(Noted);
  if (Result == Reception::Unconfigured)
    return Error{ErrorCode::NotFound, "not in this entry's configuration"};
  if (Result == Reception::Taken)
    buryAll(Message->Left);
  Heartbeat Reply = compose(From);
  if (Result == Reception::Stale) {
    Reply.Echo = {};
    Reply.NewerOfReceiver = View_.Others.at(From).Newest.Incarnation;
    logEvent(LogLevel::Warning, Module, "stale_incarnation",
             {{"vm", From},
              {"incarnation", Message->Sender.Version.Incarnation},
              {"known", Reply.NewerOfReceiver}});
  }
  return heartbeatJson(Reply);
}

void MembershipService::takeReply(const VmId &From,
                                  const Outcome<Json::Value> &Result) {
  noteTime();
  if (!Result)
    return;
  Outcome<Heartbeat> Message = attempt([&] { return readHeartbeat(*Result); });
  if (!Message || Message->Sender.Vm != From)
    return;
  Changes Noted;
  Reception Taken = receive(View_, Settings_, *Message, Clock_.now(), Noted);
  tell(Noted);
  if (Taken == Reception::Taken)
    buryAll(Message->Left);
}

void MembershipService::buryAll(const std::vector<AgedTombstone> &Left) {
  bool AnyNew = false;
  for (const AgedTombstone &Mark : Left)
    AnyNew = buryOne(Mark) || AnyNew;
  if (AnyNew)
    sendSoon();
}

bool MembershipService::buryOne(const AgedTombstone &Left) {
  if (!buryIn(Tombstones_, Left, Settings_.TombstoneLife, Clock_.now()))
    return false;
  for (std::size_t Index = 0; Index < OnLeft_.size(); ++Index)
    OnLeft_[Index](Left.Mark);
  return true;
}

void MembershipService::noteTime() {
  tell(observe(View_, Settings_, Clock_.now()));
}

void MembershipService::tell(const Changes &Noted) {
  if (Noted.empty())
    return;
  std::vector<EntryInfo> Entries = entries();
  for (const MembershipChange &Change : Noted) {
    for (const EntryInfo &Entry : Entries) {
      if (Entry.Configured.Vm == Change.Vm)
        logChange(Change, Entry);
    }
    if (Change.Kind == ChangeKind::TrustChanged)
      logEvent(LogLevel::Info, Module, "trust_changed",
               {{"trusted", View_.Trusted}, {"fenced", View_.Fenced}});
    for (std::size_t Index = 0; Index < OnChange_.size(); ++Index)
      OnChange_[Index](Change);
  }
}

std::vector<VmId>
MembershipService::ownerIdsOf(const DataCentreId &DataCentre) const {
  if (!trusted())
    return {};
  std::vector<OwnerCandidate> Candidates;
  for (const auto &[Vm, Other] : View_.Others) {
    if (Other.Configured.DataCentre == DataCentre)
      Candidates.push_back(
          {Vm, Other.State != EntryState::Dead && !Other.Draining});
  }
  if (View_.Self.DataCentre == DataCentre)
    Candidates.push_back({View_.Self.Vm, !View_.Draining});
  return ownersAmong(std::move(Candidates), DataCentre, Settings_.PoolShards);
}

const Peer &MembershipService::peerOf(const VmId &Vm) const {
  if (Vm == View_.Self.Vm)
    return View_.Self;
  return View_.Others.at(Vm).Configured;
}

} // namespace geraniumbay::membership
