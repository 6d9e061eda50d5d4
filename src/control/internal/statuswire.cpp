//===- statuswire.cpp - JSON form of reports ------------------------------===//
//
// What control.status carries.
//
//===----------------------------------------------------------------------===//

#include "control/internal/wire.h"

namespace geraniumbay::control::wire {

namespace {

Json::Int64 toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

RetVal<Duration> readMillis(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Millis, json::readUint(From, Name));
  return Duration(std::chrono::milliseconds(Millis));
}

Json::Value write(const WatcherStatus &Value) {
  Json::Value Result(Json::objectValue);
  Result["vm"] = Value.Who.Vm.value();
  Result["process"] = Value.Who.Process;
  Result["incarnation"] = Json::UInt64(Value.Start.value());
  Result["in_force"] = Json::UInt64(Value.InForce.value());
  Result["age_ms"] = toMillis(Value.Age);
  Result["never_seen"] = Value.NeverSeen;
  Result["cut_off"] = isCutOff(Value);
  return Result;
}

RetVal<WatcherStatus> readWatcher(const Json::Value &From) {
  WatcherStatus Result;
  BOOST_LEAF_ASSIGN(Result.Who.Vm, readName<VmId>(From, "vm"));
  BOOST_LEAF_ASSIGN(Result.Who.Process, json::readString(From, "process"));
  BOOST_LEAF_ASSIGN(Result.Start, readNumber<Incarnation>(From, "incarnation"));
  BOOST_LEAF_ASSIGN(Result.InForce,
                    readNumber<ConfigVersion>(From, "in_force"));
  BOOST_LEAF_ASSIGN(Result.Age, readMillis(From, "age_ms"));
  BOOST_LEAF_ASSIGN(Result.NeverSeen,
                    json::readBoolOr(From, "never_seen", false));
  return Result;
}

Json::Value write(const ControlVmStatus &Value) {
  Json::Value Result(Json::objectValue);
  Result["vm"] = Value.Vm.value();
  Result["reachable"] = Value.Reachable;
  Result["writable"] = Value.Writable;
  Result["role"] = Value.Role;
  Result["version"] = Json::UInt64(Value.Version.value());
  Result["uptime_ms"] = toMillis(Value.Uptime);
  return Result;
}

RetVal<ControlVmStatus> readControlVm(const Json::Value &From) {
  ControlVmStatus Result;
  BOOST_LEAF_ASSIGN(Result.Vm, readName<VmId>(From, "vm"));
  BOOST_LEAF_ASSIGN(Result.Reachable,
                    json::readBoolOr(From, "reachable", false));
  // A control VM of an older version says nothing of its disk, and calls
  // itself out of reach when it has failed.
  BOOST_LEAF_ASSIGN(Result.Writable,
                    json::readBoolOr(From, "writable", Result.Reachable));
  BOOST_LEAF_ASSIGN(Result.Role, json::readString(From, "role"));
  BOOST_LEAF_ASSIGN(Result.Version, readNumber<ConfigVersion>(From, "version"));
  BOOST_LEAF_ASSIGN(Result.Uptime, readMillis(From, "uptime_ms"));
  return Result;
}

Json::Value write(const std::vector<VmId> &Vms) {
  Json::Value Result(Json::arrayValue);
  for (const VmId &Vm : Vms) {
    Json::Value Row(Json::objectValue);
    Row["vm"] = Vm.value();
    Result.append(std::move(Row));
  }
  return Result;
}

RetVal<VmId> readVm(const Json::Value &From) {
  return readName<VmId>(From, "vm");
}

RetVal<VoterContact> readContact(const Json::Value &From) {
  VoterContact Result;
  BOOST_LEAF_ASSIGN(Result.Leads, json::readBoolOr(From, "has_leader", false));
  BOOST_LEAF_AUTO(SeenTerm, json::readUintOr(From, "term", 0));
  Result.SeenTerm = Term(SeenTerm);
  // A control VM of an older version says nothing of them.
  if (!From.isMember("silent_voters"))
    return Result;
  BOOST_LEAF_ASSIGN(Result.Silent,
                    readList<VmId>(From, "silent_voters", readVm));
  return Result;
}

} // namespace

Json::Value write(const ControlStatus &Value) {
  Json::Value Result(Json::objectValue);
  Result["version"] = Json::UInt64(Value.Version.value());
  Result["control_vms"] = Json::Value(Json::arrayValue);
  for (const ControlVmStatus &Vm : Value.ControlVms)
    Result["control_vms"].append(write(Vm));
  Result["voters"] = write(Value.Voters);
  Result["silent_voters"] = write(Value.Contact.Silent);
  Result["spare_voters"] = Json::Int64(spareVoters(Value));
  Result["has_leader"] = Value.Contact.Leads;
  Result["term"] = Json::UInt64(Value.Contact.SeenTerm.value());
  Result["watchers"] = Json::Value(Json::arrayValue);
  for (const WatcherStatus &Status : Value.Watchers)
    Result["watchers"].append(write(Status));
  Result["history"] = writeList(Value.History);
  return Result;
}

RetVal<ControlStatus> readStatus(const Json::Value &From) {
  ControlStatus Result;
  BOOST_LEAF_ASSIGN(Result.Version, readNumber<ConfigVersion>(From, "version"));
  BOOST_LEAF_ASSIGN(Result.ControlVms, readList<ControlVmStatus>(
                                           From, "control_vms", readControlVm));
  BOOST_LEAF_ASSIGN(Result.Voters, readList<VmId>(From, "voters", readVm));
  BOOST_LEAF_ASSIGN(Result.Contact, readContact(From));
  BOOST_LEAF_ASSIGN(Result.Watchers,
                    readList<WatcherStatus>(From, "watchers", readWatcher));
  BOOST_LEAF_ASSIGN(Result.History,
                    readList<ChangeRecord>(From, "history", readChange));
  return Result;
}

} // namespace geraniumbay::control::wire
