//===- messages.cpp - The pool.* messages as JSON -------------------------===//
//
// Readers and writers. Times are whole milliseconds, ids are strings.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/messages.h"

#include "framework/json/json.h"

#include <charconv>
#include <limits>

namespace geraniumbay::dispatch {
namespace {

using std::chrono::milliseconds;

Json::UInt64 toMillis(Duration Value) {
  // Rounded up, so that a short time does not become "none".
  return static_cast<Json::UInt64>(
      std::chrono::ceil<milliseconds>(Value).count());
}

RetVal<Duration> readMillis(const Json::Value &Object, const char *Name) {
  constexpr std::uint64_t Most = 1000ULL * 3600 * 24 * 365;
  BOOST_LEAF_AUTO(Value, json::readUintOr(Object, Name, 0));
  if (Value > Most)
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Name + "' is too long a time");
  return Duration(milliseconds(Value));
}

RetVal<std::uint32_t> readCount(const Json::Value &Object, const char *Name) {
  BOOST_LEAF_AUTO(Value, json::readUint(Object, Name));
  if (Value > std::numeric_limits<std::uint32_t>::max())
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Name + "' is too large");
  return static_cast<std::uint32_t>(Value);
}

RetVal<LeaseId> parseLeaseId(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End || Text.empty())
    return fail(ErrorCode::InvalidArgument, "a lease id is malformed");
  return LeaseId(Value);
}

/// The value of an enumeration from its name in the field \p Name.
template <typename EnumT>
RetVal<EnumT> readName(const Json::Value &Object, const char *Name,
                       std::optional<EnumT> (*Parse)(const std::string &)) {
  BOOST_LEAF_AUTO(Text, json::readString(Object, Name));
  std::optional<EnumT> Value = Parse(Text);
  if (!Value)
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Name + "' has an unknown value");
  return *Value;
}

void writeEntry(Json::Value &Object, const EntryRef &Entry) {
  Object["entry"] = Entry.Entry.value();
  Object["incarnation"] = static_cast<Json::UInt64>(Entry.Start.value());
}

RetVal<EntryRef> readEntry(const Json::Value &Object) {
  BOOST_LEAF_AUTO(Entry, json::readString(Object, "entry"));
  BOOST_LEAF_AUTO(Start, json::readUint(Object, "incarnation"));
  return EntryRef{VmId(Entry), Incarnation(Start)};
}

RetVal<Endpoint> readEndpoint(const Json::Value &Object) {
  BOOST_LEAF_AUTO(Address, json::readString(Object, "address"));
  BOOST_LEAF_AUTO(Port, readCount(Object, "port"));
  if (Port == 0 || Port > std::numeric_limits<std::uint16_t>::max())
    return fail(ErrorCode::InvalidArgument, "field 'port' is out of range");
  return Endpoint{Address, static_cast<std::uint16_t>(Port)};
}

void writeRejection(Json::Value &Object, const Rejection &Why) {
  Object["reason"] = rejectReasonName(Why.Reason);
  Object["retry_after_ms"] = toMillis(Why.RetryAfter);
}

RetVal<Rejection> readRejection(const Json::Value &Object) {
  BOOST_LEAF_AUTO(Reason, readName(Object, "reason", &parseRejectReason));
  BOOST_LEAF_AUTO(RetryAfter, readMillis(Object, "retry_after_ms"));
  return Rejection{Reason, RetryAfter};
}

void writeLoads(Json::Value &Object, const std::vector<PoolSummary> &Loads) {
  Json::Value &Items = Object["loads"] = Json::Value(Json::arrayValue);
  for (const PoolSummary &Each : Loads) {
    Json::Value Item(Json::objectValue);
    Item["service"] = Each.Service.value();
    Item["slots"] = Each.Slots;
    Item["free"] = Each.Free;
    Item["urgent"] = Each.UrgentQueued;
    Item["routine"] = Each.RoutineQueued;
    Item["drain"] = static_cast<Json::UInt64>(Each.DrainPerSecond);
    Items.append(std::move(Item));
  }
}

RetVal<std::vector<PoolSummary>> readLoads(const Json::Value &Object) {
  std::vector<PoolSummary> Loads;
  BOOST_LEAF_AUTO(Items, json::readArray(Object, "loads"));
  for (const Json::Value &Item : Items) {
    PoolSummary Load;
    BOOST_LEAF_AUTO(Service, json::readString(Item, "service"));
    Load.Service = ServiceId(Service);
    BOOST_LEAF_ASSIGN(Load.Slots, readCount(Item, "slots"));
    BOOST_LEAF_ASSIGN(Load.Free, readCount(Item, "free"));
    BOOST_LEAF_ASSIGN(Load.UrgentQueued, readCount(Item, "urgent"));
    BOOST_LEAF_ASSIGN(Load.RoutineQueued, readCount(Item, "routine"));
    BOOST_LEAF_AUTO(Drain, readCount(Item, "drain"));
    Load.DrainPerSecond = Drain;
    Loads.push_back(Load);
  }
  return Loads;
}

RetVal<PoolRequest> readRequest(const Json::Value &Params) {
  PoolRequest Request;
  BOOST_LEAF_AUTO(Id, json::readString(Params, "request"));
  BOOST_LEAF_AUTO(Service, json::readString(Params, "service"));
  BOOST_LEAF_AUTO(Caller, json::readString(Params, "caller"));
  BOOST_LEAF_AUTO(Team, json::readString(Params, "team"));
  BOOST_LEAF_AUTO(Avoid, json::readStringOr(Params, "avoid", ""));
  Request.Id = RequestId(Id);
  Request.Service = ServiceId(Service);
  Request.Caller = CallerId(Caller);
  Request.Team = TeamId(Team);
  Request.Avoid = WorkerId(Avoid);
  BOOST_LEAF_ASSIGN(Request.Class, readName(Params, "class", &parseWorkClass));
  BOOST_LEAF_ASSIGN(Request.Kind, readName(Params, "kind", &parseRequestKind));
  BOOST_LEAF_ASSIGN(Request.Tasks, readCount(Params, "tasks"));
  BOOST_LEAF_ASSIGN(Request.TimeLeft, readMillis(Params, "deadline_ms"));
  BOOST_LEAF_ASSIGN(Request.DeclaredRun, readMillis(Params, "declared_ms"));
  BOOST_LEAF_ASSIGN(Request.Returning,
                    json::readBoolOr(Params, "returning", false));
  return Request;
}

} // namespace

Json::Value writeAcquire(const AcquireMessage &Message) {
  const PoolRequest &Request = Message.Request;
  Json::Value Params(Json::objectValue);
  writeEntry(Params, Message.From);
  Params["request"] = Request.Id.value();
  Params["service"] = Request.Service.value();
  Params["caller"] = Request.Caller.value();
  Params["team"] = Request.Team.value();
  Params["class"] = workClassName(Request.Class);
  Params["kind"] = requestKindName(Request.Kind);
  Params["tasks"] = Request.Tasks;
  Params["deadline_ms"] = toMillis(Request.TimeLeft);
  Params["declared_ms"] = toMillis(Request.DeclaredRun);
  Params["returning"] = Request.Returning;
  if (!Request.Avoid.value().empty())
    Params["avoid"] = Request.Avoid.value();
  return Params;
}

RetVal<AcquireMessage> readAcquire(const Json::Value &Params) {
  BOOST_LEAF_AUTO(From, readEntry(Params));
  BOOST_LEAF_AUTO(Request, readRequest(Params));
  return AcquireMessage{From, Request};
}

Json::Value writeAcquireResult(const AcquireResult &Result) {
  Json::Value Object(Json::objectValue);
  Object["accepted"] = !Result.Why.has_value();
  if (Result.Why)
    writeRejection(Object, *Result.Why);
  writeLoads(Object, Result.Loads);
  return Object;
}

RetVal<AcquireResult> readAcquireResult(const Json::Value &Result) {
  AcquireResult Read;
  BOOST_LEAF_AUTO(Accepted, json::readBoolOr(Result, "accepted", false));
  BOOST_LEAF_ASSIGN(Read.Loads, readLoads(Result));
  if (Accepted)
    return Read;
  BOOST_LEAF_AUTO(Why, readRejection(Result));
  Read.Why = Why;
  return Read;
}

Json::Value writeGrant(const GrantMessage &Message) {
  Json::Value Params(Json::objectValue);
  Params["owner"] = Message.Owner.value();
  Json::Value &Leases = Params["leases"] = Json::Value(Json::arrayValue);
  for (const Lease &Each : Message.Leases) {
    Json::Value Item(Json::objectValue);
    Item["lease"] = std::to_string(Each.Id.value());
    Item["request"] = Each.Request.value();
    Item["worker"] = Each.Worker.value();
    Item["address"] = Each.Address.Address;
    Item["port"] = Each.Address.Port;
    Leases.append(std::move(Item));
  }
  writeLoads(Params, Message.Loads);
  return Params;
}

RetVal<GrantMessage> readGrant(const Json::Value &Params) {
  GrantMessage Message;
  BOOST_LEAF_AUTO(Owner, json::readString(Params, "owner"));
  Message.Owner = VmId(Owner);
  BOOST_LEAF_ASSIGN(Message.Loads, readLoads(Params));
  BOOST_LEAF_AUTO(Leases, json::readArray(Params, "leases"));
  for (const Json::Value &Item : Leases) {
    BOOST_LEAF_AUTO(IdText, json::readString(Item, "lease"));
    BOOST_LEAF_AUTO(Id, parseLeaseId(IdText));
    BOOST_LEAF_AUTO(Request, json::readString(Item, "request"));
    BOOST_LEAF_AUTO(Worker, json::readString(Item, "worker"));
    BOOST_LEAF_AUTO(Address, readEndpoint(Item));
    Message.Leases.push_back(
        {Id, RequestId(Request), Message.Owner, WorkerId(Worker), Address});
  }
  return Message;
}

Json::Value writeLeaseIds(const char *Name, const std::vector<LeaseId> &Ids) {
  Json::Value Object(Json::objectValue);
  Json::Value &Items = Object[Name] = Json::Value(Json::arrayValue);
  for (LeaseId Id : Ids)
    Items.append(std::to_string(Id.value()));
  return Object;
}

RetVal<std::vector<LeaseId>> readLeaseIds(const Json::Value &Object,
                                          const char *Name) {
  std::vector<LeaseId> Ids;
  BOOST_LEAF_AUTO(Items, json::readArray(Object, Name));
  for (const Json::Value &Item : Items) {
    if (!Item.isString())
      return fail(ErrorCode::InvalidArgument, "a lease id is not a string");
    BOOST_LEAF_AUTO(Id, parseLeaseId(Item.asString()));
    Ids.push_back(Id);
  }
  return Ids;
}

Json::Value writeReject(const RejectMessage &Message) {
  Json::Value Params(Json::objectValue);
  Params["owner"] = Message.Owner.value();
  Params["request"] = Message.Request.value();
  writeRejection(Params, Message.Why);
  return Params;
}

RetVal<RejectMessage> readReject(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Owner, json::readString(Params, "owner"));
  BOOST_LEAF_AUTO(Request, json::readString(Params, "request"));
  BOOST_LEAF_AUTO(Why, readRejection(Params));
  return RejectMessage{VmId(Owner), RequestId(Request), Why};
}

Json::Value writeRelease(const std::vector<ReleaseItem> &Items) {
  Json::Value Params(Json::objectValue);
  Json::Value &Leases = Params["leases"] = Json::Value(Json::arrayValue);
  for (const ReleaseItem &Each : Items) {
    Json::Value Item(Json::objectValue);
    Item["lease"] = std::to_string(Each.Id.value());
    Item["outcome"] = leaseOutcomeName(Each.Outcome);
    Item["ran_ms"] = toMillis(Each.Ran);
    Leases.append(std::move(Item));
  }
  return Params;
}

RetVal<std::vector<ReleaseItem>> readRelease(const Json::Value &Params) {
  std::vector<ReleaseItem> Items;
  BOOST_LEAF_AUTO(Leases, json::readArray(Params, "leases"));
  for (const Json::Value &Item : Leases) {
    BOOST_LEAF_AUTO(IdText, json::readString(Item, "lease"));
    BOOST_LEAF_AUTO(Id, parseLeaseId(IdText));
    BOOST_LEAF_AUTO(Outcome, readName(Item, "outcome", &parseLeaseOutcome));
    BOOST_LEAF_AUTO(Ran, readMillis(Item, "ran_ms"));
    Items.push_back({Id, Outcome, Ran});
  }
  return Items;
}

Json::Value writeCancel(const RequestId &Request) {
  Json::Value Params(Json::objectValue);
  Params["request"] = Request.value();
  return Params;
}

RetVal<RequestId> readCancel(const Json::Value &Params) {
  BOOST_LEAF_AUTO(Request, json::readString(Params, "request"));
  return RequestId(Request);
}

Json::Value writeRenew(const RenewMessage &Message) {
  Json::Value Params = writeLeaseIds("leases", Message.Held);
  writeEntry(Params, Message.From);
  Params["requests"] = writeRequestIds("requests", Message.Waiting)["requests"];
  return Params;
}

RetVal<RenewMessage> readRenew(const Json::Value &Params) {
  RenewMessage Message;
  BOOST_LEAF_ASSIGN(Message.From, readEntry(Params));
  BOOST_LEAF_ASSIGN(Message.Waiting, readRequestIds(Params, "requests"));
  BOOST_LEAF_ASSIGN(Message.Held, readLeaseIds(Params, "leases"));
  return Message;
}

Json::Value writeRequestIds(const char *Name,
                            const std::vector<RequestId> &Ids) {
  Json::Value Object(Json::objectValue);
  Json::Value &Items = Object[Name] = Json::Value(Json::arrayValue);
  for (const RequestId &Id : Ids)
    Items.append(Id.value());
  return Object;
}

RetVal<std::vector<RequestId>> readRequestIds(const Json::Value &Object,
                                              const char *Name) {
  std::vector<RequestId> Ids;
  BOOST_LEAF_AUTO(Items, json::readArray(Object, Name));
  for (const Json::Value &Item : Items) {
    if (!Item.isString())
      return fail(ErrorCode::InvalidArgument, "a request id is not a string");
    Ids.emplace_back(Item.asString());
  }
  return Ids;
}

} // namespace geraniumbay::dispatch
