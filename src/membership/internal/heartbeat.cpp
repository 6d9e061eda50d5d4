//===- heartbeat.cpp - The message between entries ------------------------===//
//
// JSON of heartbeats. Fields with their default are left out, to keep the
// message small.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/heartbeat.h"
#include "framework/json/json.h"

#include <algorithm>
#include <limits>

namespace geraniumbay::membership {

namespace {

/// Ages above this are as good as for ever.
constexpr Duration MaxAge = std::chrono::hours(1);

Json::UInt64 millis(Duration Length) {
  auto Whole = std::chrono::duration_cast<std::chrono::milliseconds>(Length);
  return static_cast<Json::UInt64>(std::max<std::int64_t>(0, Whole.count()));
}

/// Ages are rounded up by the writer, so that they are never too young.
Json::UInt64 ageMillis(Duration Age) {
  return millis(Age + std::chrono::milliseconds(1) - Duration(1));
}

RetVal<Duration> readAge(const Json::Value &Value) {
  constexpr auto Max =
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxAge).count();
  BOOST_LEAF_AUTO(Millis, json::readUintOr(Value, "age_ms", 0));
  return std::chrono::milliseconds(
      std::min(Millis, static_cast<std::uint64_t>(Max)));
}

void writeRevision(Json::Value &Value, const Revision &Version) {
  Value["incarnation"] = Json::UInt64(Version.Incarnation.value());
  Value["sequence"] = Json::UInt64(Version.Sequence);
}

RetVal<Revision> readRevision(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Starts, json::readUint(Value, "incarnation"));
  BOOST_LEAF_AUTO(Sequence, json::readUint(Value, "sequence"));
  return Revision{Incarnation(Starts), Sequence};
}

RetVal<std::uint32_t> readCount(const Json::Value &Value, const char *Name) {
  BOOST_LEAF_AUTO(Count, json::readUintOr(Value, Name, 0));
  if (Count > std::numeric_limits<std::uint32_t>::max())
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Name + "' is too large");
  return static_cast<std::uint32_t>(Count);
}

Json::Value poolJson(const PoolSummary &Pool) {
  Json::Value Value;
  Value["service"] = Pool.Service.value();
  Value["free"] = Pool.FreeSlots;
  Value["running"] = Pool.Running;
  Value["drain"] = Pool.DrainPerSecond;
  for (std::uint32_t Queued : Pool.QueuedByClass)
    Value["queued"].append(Queued);
  return Value;
}

RetVal<PoolSummary> readPool(const Json::Value &Value) {
  PoolSummary Pool;
  BOOST_LEAF_AUTO(Service, json::readString(Value, "service"));
  Pool.Service = ServiceId(std::move(Service));
  BOOST_LEAF_ASSIGN(Pool.FreeSlots, readCount(Value, "free"));
  BOOST_LEAF_ASSIGN(Pool.Running, readCount(Value, "running"));
  BOOST_LEAF_ASSIGN(Pool.DrainPerSecond, readCount(Value, "drain"));
  BOOST_LEAF_AUTO(Queued, json::readArray(Value, "queued"));
  for (const Json::Value &Count : Queued) {
    if (!Count.isUInt())
      return fail(ErrorCode::InvalidArgument, "field 'queued' is no count");
    Pool.QueuedByClass.push_back(Count.asUInt());
  }
  return Pool;
}

void writeReport(Json::Value &Value, const EntryReport &Report) {
  Value["vm"] = Report.Vm.value();
  writeRevision(Value, Report.Version);
  if (Report.Draining)
    Value["draining"] = true;
  if (Report.InForce.value() != 0)
    Value["config_version"] = Json::UInt64(Report.InForce.value());
  for (const PoolSummary &Pool : Report.Pools)
    Value["pools"].append(poolJson(Pool));
}

RetVal<EntryReport> readReport(const Json::Value &Value) {
  EntryReport Report;
  BOOST_LEAF_AUTO(Vm, json::readString(Value, "vm"));
  Report.Vm = VmId(std::move(Vm));
  BOOST_LEAF_ASSIGN(Report.Version, readRevision(Value));
  BOOST_LEAF_ASSIGN(Report.Draining,
                    json::readBoolOr(Value, "draining", false));
  BOOST_LEAF_AUTO(InForce, json::readUintOr(Value, "config_version", 0));
  Report.InForce = ConfigVersion(InForce);
  BOOST_LEAF_AUTO(Pools, json::readArray(Value, "pools"));
  for (const Json::Value &Item : Pools) {
    BOOST_LEAF_AUTO(Pool, readPool(Item));
    Report.Pools.push_back(std::move(Pool));
  }
  return Report;
}

Json::Value tombstoneJson(const AgedTombstone &Left) {
  Json::Value Value;
  Value["worker"] = Left.Mark.Worker.value();
  writeRevision(Value, Left.Mark.LeftAt);
  Value["age_ms"] = ageMillis(Left.Age);
  return Value;
}

RetVal<AgedTombstone> readTombstone(const Json::Value &Value) {
  AgedTombstone Left;
  BOOST_LEAF_AUTO(Worker, json::readString(Value, "worker"));
  Left.Mark.Worker = WorkerId(std::move(Worker));
  BOOST_LEAF_ASSIGN(Left.Mark.LeftAt, readRevision(Value));
  BOOST_LEAF_ASSIGN(Left.Age, readAge(Value));
  return Left;
}

} // namespace

Json::Value heartbeatJson(const Heartbeat &Message) {
  Json::Value Value;
  writeReport(Value, Message.Sender);
  if (Message.Echo != Revision{})
    writeRevision(Value["echo"], Message.Echo);
  if (Message.NewerOfReceiver.value() != 0)
    Value["newer_incarnation"] = Json::UInt64(Message.NewerOfReceiver.value());
  for (const EntryReport &Report : Message.Relayed)
    writeReport(Value["relayed"].append(Json::Value()), Report);
  if (!Message.Ages.empty()) {
    Value["ages"] = Message.Ages;
    Value["list"] = Json::UInt64(Message.ListDigest);
  }
  for (const AgedTombstone &Left : Message.Left)
    Value["left"].append(tombstoneJson(Left));
  return Value;
}

RetVal<Heartbeat> readHeartbeat(const Json::Value &Value) {
  Heartbeat Message;
  BOOST_LEAF_ASSIGN(Message.Sender, readReport(Value));
  if (Value.isMember("echo")) {
    BOOST_LEAF_ASSIGN(Message.Echo, readRevision(Value["echo"]));
  }
  BOOST_LEAF_AUTO(Newer, json::readUintOr(Value, "newer_incarnation", 0));
  Message.NewerOfReceiver = Incarnation(Newer);
  BOOST_LEAF_AUTO(Relayed, json::readArray(Value, "relayed"));
  for (const Json::Value &Item : Relayed) {
    BOOST_LEAF_AUTO(Report, readReport(Item));
    Message.Relayed.push_back(std::move(Report));
  }
  BOOST_LEAF_ASSIGN(Message.Ages, json::readStringOr(Value, "ages", ""));
  BOOST_LEAF_ASSIGN(Message.ListDigest, json::readUintOr(Value, "list", 0));
  BOOST_LEAF_AUTO(Left, json::readArray(Value, "left"));
  for (const Json::Value &Item : Left) {
    BOOST_LEAF_AUTO(Mark, readTombstone(Item));
    Message.Left.push_back(std::move(Mark));
  }
  return Message;
}

} // namespace geraniumbay::membership
