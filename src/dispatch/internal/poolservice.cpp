//===- poolservice.cpp - The pool on the network --------------------------===//
//
// Messages in, one decide() a turn, messages out.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/poolservice.h"

#include "framework/log/log.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace geraniumbay::dispatch {
namespace {

/// How long a grant or a rejection may take to be answered.
constexpr Duration PushTimeout = std::chrono::seconds(1);

Json::Value emptyResult() { return Json::Value(Json::objectValue); }

} // namespace

PoolService::PoolService(const IClock &Clock, ITimers &Timers,
                         IRpcServer &Server, IRpcClient &Client,
                         const IPoolDirectory &Directory, PoolPolicy Policy)
    : Clock_(Clock), Timers_(Timers), Client_(Client), Directory_(Directory),
      Pool_(makePool(Directory.self(), std::move(Policy))),
      Alive_(std::make_shared<PoolService *>(this)) {
  using Handler =
      RetVal<Json::Value> (PoolService::*)(const Json::Value &Params);
  auto Offer = [&](const char *Name, Handler Handle) {
    Server.method(Name, [this, Handle](const Json::Value &Params,
                                       const IRpcServer::Reply &Answer) {
      Answer(attempt([&] { return (this->*Handle)(Params); }));
    });
  };
  Offer("pool.acquire", &PoolService::onAcquire);
  Offer("pool.cancel", &PoolService::onCancel);
  Offer("pool.release", &PoolService::onRelease);
  Offer("pool.renew", &PoolService::onRenew);
}

PoolService::~PoolService() {
  Timers_.cancel(Turn_);
  Timers_.cancel(Wake_);
}

Ret PoolService::announce(const WorkerAnnouncement &Announcement) {
  if (!dispatch::announce(*Pool_, Announcement, Clock_.now()))
    return fail(ErrorCode::Conflict, "a newer incarnation is known");
  touch();
  return {};
}

void PoolService::removeWorker(const WorkerId &Worker, Incarnation Last) {
  dispatch::removeWorker(*Pool_, Worker, Last, Clock_.now());
  touch();
}

void PoolService::suspendWorker(const WorkerId &Worker) {
  dispatch::suspendWorker(*Pool_, Worker);
  touch();
}

void PoolService::disownWorker(const WorkerId &Worker) {
  dispatch::disownWorker(*Pool_, Worker);
  touch();
}

void PoolService::entryDied(const VmId &Entry, Incarnation Last) {
  dispatch::entryDied(*Pool_, Entry, Last);
  touch();
}

void PoolService::setPolicy(PoolPolicy Policy) {
  dispatch::setPolicy(*Pool_, std::move(Policy));
  touch();
}

void PoolService::drain() {
  dispatch::drain(*Pool_);
  touch();
}

std::vector<PoolSummary> PoolService::summaries() const {
  std::vector<PoolSummary> All = dispatch::summaries(*Pool_);
  EntryRef Self = Directory_.self();
  for (PoolSummary &Each : All) {
    Each.Owner = Self.Entry;
    Each.DataCentre = Directory_.dataCentre();
    Each.Address = Directory_.peerAddress(Self.Entry).value_or(Endpoint{});
  }
  return All;
}

RetVal<Json::Value> PoolService::onAcquire(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Message, readAcquire(Params));
  auto Why = acquire(*Pool_, Message.From, Message.Request, Clock_.now());
  if (!Why)
    touch();
  return writeAcquireResult({Why, dispatch::summaries(*Pool_)});
}

RetVal<Json::Value> PoolService::onCancel(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Request, readCancel(Params));
  cancel(*Pool_, Request);
  touch();
  return emptyResult();
}

RetVal<Json::Value> PoolService::onRelease(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Items, readRelease(Params));
  for (const ReleaseItem &Each : Items)
    release(*Pool_, Each.Id, Each.Outcome, Each.Ran, Clock_.now());
  touch();
  return emptyResult();
}

RetVal<Json::Value> PoolService::onRenew(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Message, readRenew(Params));
  RenewResult Result =
      renew(*Pool_, Message.From, Message.Waiting, Message.Held, Clock_.now());
  touch();
  return writeRequestIds("unknown_requests", Result.UnknownRequests);
}

void PoolService::touch() {
  if (Turn_ == TimerId())
    Turn_ = Timers_.after(Duration(0), [this] { runTurn(); });
}

void PoolService::runTurn() {
  Timers_.cancel(Turn_);
  Turn_ = TimerId();
  PoolActions Actions = decide(*Pool_, Clock_.now());
  sendGrants(Actions);
  for (const Refusal &Each : Actions.Refusals)
    sendRefusal(Each);
  armWake();
}

void PoolService::armWake() {
  Timers_.cancel(Wake_);
  Wake_ = TimerId();
  std::optional<Time> Next = nextWake(*Pool_);
  if (!Next)
    return;
  // At least a millisecond, so that a time that has come without effect does
  // not keep the loop busy.
  Duration Delay =
      std::max<Duration>(*Next - Clock_.now(), std::chrono::milliseconds(1));
  Wake_ = Timers_.after(Delay, [this] {
    Wake_ = TimerId();
    runTurn();
  });
}

void PoolService::sendGrants(const PoolActions &Actions) {
  std::map<VmId, GrantMessage> ByEntry;
  for (const Grant &Each : Actions.Grants) {
    GrantMessage &Message = ByEntry[Each.To.Entry];
    Message.Owner = Directory_.self().Entry;
    Message.Leases.insert(Message.Leases.end(), Each.Leases.begin(),
                          Each.Leases.end());
  }
  for (auto &[Entry, Message] : ByEntry) {
    Message.Loads = dispatch::summaries(*Pool_);
    sendGrant(Entry, std::move(Message));
  }
}

void PoolService::sendGrant(const VmId &To, GrantMessage Message) {
  std::optional<Endpoint> Address = Directory_.peerAddress(To);
  if (!Address) {
    settleGrant(Message.Leases, Error{ErrorCode::Refused, "unknown entry"});
    return;
  }
  Json::Value Params = writeGrant(Message);
  Client_.call(
      *Address, "pool.grant", std::move(Params), PushTimeout,
      [Alive = std::weak_ptr<PoolService *>(Alive_),
       Leases = std::move(Message.Leases)](const Outcome<Json::Value> &Reply) {
        if (auto Self = Alive.lock())
          (*Self)->settleGrant(Leases, Reply);
      });
}

void PoolService::settleGrant(const std::vector<Lease> &Leases,
                              const Outcome<Json::Value> &Reply) {
  std::unordered_set<LeaseId> Taken;
  if (Reply.ok()) {
    auto Ids = attempt([&] { return readLeaseIds(*Reply, "taken"); });
    if (!Ids.ok())
      return;
    Taken.insert(Ids->begin(), Ids->end());
  } else if (Reply.error().Code == ErrorCode::Timeout ||
             Reply.error().Code == ErrorCode::Unavailable) {
    // It may have arrived: pool.renew will tell.
    logEvent(LogLevel::Warning, "dispatch", "grant_unknown",
             {{"leases", Leases.size()}});
    return;
  }
  for (const Lease &Each : Leases)
    if (!Taken.contains(Each.Id))
      release(*Pool_, Each.Id, LeaseOutcome::NotStarted, Duration(0),
              Clock_.now());
  touch();
}

void PoolService::sendRefusal(const Refusal &Each) {
  std::optional<Endpoint> Address = Directory_.peerAddress(Each.To.Entry);
  if (!Address)
    return;
  RejectMessage Message{Directory_.self().Entry, Each.Request, Each.Why};
  // An entry that misses it learns of it by its next pool.renew.
  Client_.call(*Address, "pool.reject", writeReject(Message), PushTimeout,
               [](const Outcome<Json::Value> &) {});
}

} // namespace geraniumbay::dispatch
