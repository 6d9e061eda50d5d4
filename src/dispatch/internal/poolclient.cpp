//===- poolclient.cpp - Getting slots over the network --------------------===//
//
// Requests and leases; the messages that keep owners informed stand in
// poolclientupkeep.cpp.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/poolclient.h"

#include <algorithm>

namespace geraniumbay::dispatch {
namespace {

/// A pool decides at once; another one is asked if it does not answer.
constexpr Duration AcquireTimeout = std::chrono::milliseconds(150);
constexpr Duration RenewEvery = std::chrono::seconds(1);
/// When to come back after an owner was lost.
constexpr Duration LostRetry = std::chrono::seconds(1);

bool mayHelpElsewhere(RejectReason Reason) {
  return Reason != RejectReason::NeverFits;
}

} // namespace

PoolClient::PoolClient(const IClock &Clock, ITimers &Timers, IRpcServer &Server,
                       IRpcClient &Client, const IPoolDirectory &Directory,
                       RoutePolicy Policy)
    : Clock_(Clock), Timers_(Timers), Client_(Client), Directory_(Directory),
      Policy_(Policy), Alive_(std::make_shared<PoolClient *>(this)) {
  using Handler =
      RetVal<Json::Value> (PoolClient::*)(const Json::Value &Params);
  auto Offer = [&](const char *Name, Handler Handle) {
    Server.method(Name, [this, Handle](const Json::Value &Params,
                                       const IRpcServer::Reply &Answer) {
      Answer(attempt([&] { return (this->*Handle)(Params); }));
    });
  };
  Offer("pool.grant", &PoolClient::onGrant);
  Offer("pool.reject", &PoolClient::onReject);
  Renew_ = Timers_.after(RenewEvery, [this] { renewAll(); });
}

PoolClient::~PoolClient() {
  Timers_.cancel(Flush_);
  Timers_.cancel(Renew_);
}

void PoolClient::acquire(PoolRequest Request, LeaseCallback OnLease,
                         RejectCallback OnReject) {
  RequestId Id = Request.Id;
  std::uint32_t Tasks = Request.Tasks;
  Pending &Added = Pending_[Id];
  if (Request.TimeLeft > Duration(0))
    Added.Deadline = Clock_.now() + Request.TimeLeft;
  Added.Request = std::move(Request);
  Added.OnLease = std::move(OnLease);
  Added.OnReject = std::move(OnReject);
  if (ask(Added, Tasks))
    return;
  Timers_.after(Duration(0), guarded([this, Id] {
                  auto Found = Pending_.find(Id);
                  if (Found != Pending_.end())
                    reject(Found, {RejectReason::NoWorkers, LostRetry});
                }));
}

bool PoolClient::ask(Pending &Of, std::uint32_t Tasks) {
  std::vector<PoolSummary> Pools = knownPools(Of);
  PoolRequest Request = Of.Request;
  Request.Tasks = Tasks;
  std::vector<RoutePart> Parts =
      route(Policy_, Request, Directory_.dataCentre(), Pools, Sent_);
  for (const RoutePart &Each : Parts)
    sendAcquire(Of, Each);
  return !Parts.empty();
}

std::vector<PoolSummary> PoolClient::knownPools(const Pending &For) const {
  std::vector<PoolSummary> Pools = Directory_.pools(For.Request.Service);
  std::erase_if(Pools, [&](const PoolSummary &Pool) {
    return For.Asked.contains(Pool.Owner);
  });
  for (PoolSummary &Pool : Pools) {
    auto Found = Reports_.find({Pool.Owner, Pool.Service});
    if (Found == Reports_.end() ||
        Clock_.now() - Found->second.At > Policy_.ReportLife)
      continue;
    const PoolSummary &Load = Found->second.Load;
    Pool.Slots = Load.Slots;
    Pool.Free = Load.Free;
    Pool.UrgentQueued = Load.UrgentQueued;
    Pool.RoutineQueued = Load.RoutineQueued;
    Pool.DrainPerSecond = Load.DrainPerSecond;
  }
  return Pools;
}

void PoolClient::takeReports(const VmId &Owner,
                             const std::vector<PoolSummary> &Loads) {
  if (Policy_.ReportLife <= Duration(0))
    return;
  Sent_.erase(Owner);
  for (const PoolSummary &Load : Loads)
    Reports_[{Owner, Load.Service}] = {Load, Clock_.now()};
}

void PoolClient::sendAcquire(Pending &Of, const RoutePart &To) {
  RequestId Id = Of.Request.Id;
  Of.Asked.insert(To.Owner);
  Of.Parts[To.Owner] = {To.Address, To.Tasks};
  OwnerState &Owner = Owners_[To.Owner];
  Owner.Address = To.Address;
  Owner.Waiting.insert(Id);
  Owner.AskedAt = Clock_.now();
  Sent_[To.Owner] += To.Tasks;
  AcquireMessage Message{Directory_.self(), Of.Request};
  Message.Request.Tasks = To.Tasks;
  if (Of.Deadline != Time::max())
    Message.Request.TimeLeft =
        std::max<Duration>(Of.Deadline - Clock_.now(), Duration(1));
  Client_.call(
      To.Address, "pool.acquire", writeAcquire(Message), AcquireTimeout,
      guarded([this, Id, Owner = To.Owner](const Outcome<Json::Value> &Reply) {
        acquireAnswered(Id, Owner, Reply);
      }));
}

void PoolClient::acquireAnswered(const RequestId &Id, const VmId &Owner,
                                 const Outcome<Json::Value> &Reply) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end() || !Found->second.Parts.contains(Owner))
    return;
  if (!Reply.ok()) {
    if (Reply.error().Code != ErrorCode::Refused)
      sendCancel(Id, Owner);
    partFailed(Id, Owner, {RejectReason::Lost, LostRetry});
    return;
  }
  auto Why = attempt([&] { return readAcquireResult(*Reply); });
  if (!Why.ok()) {
    partFailed(Id, Owner, {RejectReason::Lost, LostRetry});
    return;
  }
  takeReports(Owner, Why->Loads);
  if (Why->Why) {
    partFailed(Id, Owner, *Why->Why);
    return;
  }
  Found->second.Parts[Owner].Accepted = true;
  handOut(Id);
}

void PoolClient::partFailed(const RequestId &Id, const VmId &Owner,
                            Rejection Why) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end() || !Found->second.Parts.contains(Owner))
    return;
  std::uint32_t Tasks = Found->second.Parts[Owner].Waiting;
  forgetPart(Id, Owner);
  Found->second.Parts.erase(Owner);
  if (Tasks == 0)
    return;
  if (mayHelpElsewhere(Why.Reason) && ask(Found->second, Tasks))
    return;
  reject(Found, Why);
}

void PoolClient::reject(PendingMap::iterator Of, Rejection Why) {
  Pending Ended = std::move(Of->second);
  RequestId Id = Of->first;
  Pending_.erase(Of);
  for (const auto &[Owner, Part] : Ended.Parts) {
    sendCancel(Id, Owner);
    forgetPart(Id, Owner);
  }
  for (const Lease &Each : Ended.Early)
    release(Each, LeaseOutcome::NotStarted, Duration(0));
  Ended.OnReject(Why);
}

void PoolClient::cancel(const RequestId &Request) {
  auto Found = Pending_.find(Request);
  if (Found == Pending_.end())
    return;
  Found->second.OnReject = [](const Rejection &) {};
  reject(Found, {RejectReason::Lost, Duration(0)});
}

RetVal<Json::Value> PoolClient::onGrant(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Message, readGrant(Params));
  takeReports(Message.Owner, Message.Loads);
  std::vector<LeaseId> Taken;
  std::set<RequestId> Touched;
  for (const Lease &Each : Message.Leases)
    if (takeLease(Each)) {
      Taken.push_back(Each.Id);
      Touched.insert(Each.Request);
    }
  for (const RequestId &Id : Touched)
    Timers_.after(Duration(0), guarded([this, Id] { handOut(Id); }));
  return writeLeaseIds("taken", Taken);
}

bool PoolClient::takeLease(const Lease &Granted) {
  auto Found = Pending_.find(Granted.Request);
  if (Found == Pending_.end())
    return false;
  auto Part = Found->second.Parts.find(Granted.Owner);
  if (Part == Found->second.Parts.end() || Part->second.Waiting == 0)
    return false;
  if (!Owners_[Granted.Owner].Held.insert(Granted.Id).second)
    return false;
  // A grant says that the request was accepted, even if it comes first.
  Part->second.Accepted = true;
  if (--Part->second.Waiting == 0)
    Owners_[Granted.Owner].Waiting.erase(Granted.Request);
  Found->second.Early.push_back(Granted);
  return true;
}

void PoolClient::handOut(const RequestId &Id) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  Pending &Of = Found->second;
  bool Ready =
      std::all_of(Of.Parts.begin(), Of.Parts.end(),
                  [](const auto &Each) { return Each.second.Accepted; });
  if (!Ready)
    return;
  std::vector<Lease> Leases = std::move(Of.Early);
  Of.Early.clear();
  LeaseCallback OnLease = Of.OnLease;
  if (std::all_of(Of.Parts.begin(), Of.Parts.end(),
                  [](const auto &Each) { return Each.second.Waiting == 0; }))
    Pending_.erase(Found);
  for (const Lease &Each : Leases)
    OnLease(Each);
}

RetVal<Json::Value> PoolClient::onReject(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Message, readReject(Params));
  Timers_.after(Duration(0), guarded([this, Message] {
                  partFailed(Message.Request, Message.Owner, Message.Why);
                }));
  return Json::Value(Json::objectValue);
}

} // namespace geraniumbay::dispatch
