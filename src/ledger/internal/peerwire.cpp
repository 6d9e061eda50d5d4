//===- peerwire.cpp - Messages between ledgers ----------------------------===//
//
// Their form in JSON.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/peerwire.h"
#include "framework/json/json.h"
#include "ledger/internal/viewwire.h"

namespace geraniumbay::ledger {

namespace {

Json::Value positionToJson(const Position &Value) {
  Json::Value Out(Json::objectValue);
  Out["index"] = Json::UInt64(Value.Index);
  Out["view"] = Json::UInt64(Value.View.value());
  Out["run"] = Json::UInt64(Value.Run);
  return Out;
}

RetVal<Position> readPosition(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Value, json::readObject(From, Name));
  BOOST_LEAF_AUTO(Index, json::readUint(Value, "index"));
  BOOST_LEAF_AUTO(View, json::readUint(Value, "view"));
  BOOST_LEAF_AUTO(Run, json::readUint(Value, "run"));
  return Position{Index, ViewNumber(View), Run};
}

void writeHeader(const PeerHeader &Value, Json::Value &Out) {
  Out["data_centre"] = Value.DataCentre.value();
  Out["view"] = Json::UInt64(Value.View.value());
  Out["run"] = Json::UInt64(Value.Run);
  Out["from"] = Value.From.value();
  Out["to_disk"] = Json::UInt64(Value.To.value());
}

RetVal<PeerHeader> readHeader(const Json::Value &From) {
  BOOST_LEAF_AUTO(DataCentre, json::readString(From, "data_centre"));
  BOOST_LEAF_AUTO(View, json::readUint(From, "view"));
  BOOST_LEAF_AUTO(Sender, json::readString(From, "from"));
  BOOST_LEAF_AUTO(Disk, json::readUint(From, "to_disk"));
  BOOST_LEAF_AUTO(Run, json::readUint(From, "run"));
  return PeerHeader{DataCentreId(DataCentre), ViewNumber(View), Run,
                    VmId(Sender), DiskId(Disk)};
}

Json::Value recordsToJson(const std::vector<Record> &Records) {
  Json::Value Out(Json::arrayValue);
  for (const Record &Next : Records)
    Out.append(toJson(Next));
  return Out;
}

RetVal<std::vector<Record>> readRecords(const Json::Value &From,
                                        const char *Name) {
  BOOST_LEAF_AUTO(Items, json::readArray(From, Name));
  std::vector<Record> Records;
  Records.reserve(Items.size());
  for (const Json::Value &Item : Items) {
    BOOST_LEAF_AUTO(Next, recordFromJson(Item));
    Records.push_back(std::move(Next));
  }
  return Records;
}

} // namespace

Json::Value toJson(const ReplicateRequest &Value) {
  Json::Value Out(Json::objectValue);
  writeHeader(Value.Header, Out);
  Out["previous"] = positionToJson(Value.Previous);
  Out["records"] = recordsToJson(Value.Records);
  return Out;
}

Json::Value toJson(const CopyRequest &Value) {
  Json::Value Out(Json::objectValue);
  writeHeader(Value.Header, Out);
  Out["copy"] = Json::UInt64(Value.Copy);
  Out["part"] = Json::UInt64(Value.Part);
  Out["last"] = Value.IsLast;
  Out["head"] = toJson(Value.Head);
  Out["entries"] = recordsToJson(Value.Entries);
  return Out;
}

Json::Value toJson(const JoinRequest &Value) {
  Json::Value Out(Json::objectValue);
  Out["data_centre"] = Value.DataCentre.value();
  Out["view"] = Json::UInt64(Value.View.value());
  Out["by"] = toJson(Value.By);
  return Out;
}

Json::Value toJson(const PeerReply &Value) {
  Json::Value Out(Json::objectValue);
  Out["state"] = Json::UInt64(Value.State);
  Out["last"] = positionToJson(Value.Last);
  Out["synced"] = Json::UInt64(Value.Durable);
  return Out;
}

RetVal<ReplicateRequest> replicateFromJson(const Json::Value &Value) {
  ReplicateRequest Out;
  BOOST_LEAF_ASSIGN(Out.Header, readHeader(Value));
  BOOST_LEAF_ASSIGN(Out.Previous, readPosition(Value, "previous"));
  BOOST_LEAF_ASSIGN(Out.Records, readRecords(Value, "records"));
  return Out;
}

RetVal<CopyRequest> copyFromJson(const Json::Value &Value) {
  CopyRequest Out;
  BOOST_LEAF_ASSIGN(Out.Header, readHeader(Value));
  BOOST_LEAF_ASSIGN(Out.Copy, json::readUint(Value, "copy"));
  BOOST_LEAF_ASSIGN(Out.Part, json::readUint(Value, "part"));
  BOOST_LEAF_ASSIGN(Out.IsLast, json::readBoolOr(Value, "last", false));
  BOOST_LEAF_AUTO(Head, json::readObject(Value, "head"));
  BOOST_LEAF_ASSIGN(Out.Head, recordFromJson(Head));
  BOOST_LEAF_ASSIGN(Out.Entries, readRecords(Value, "entries"));
  return Out;
}

RetVal<JoinRequest> joinFromJson(const Json::Value &Value) {
  BOOST_LEAF_AUTO(DataCentre, json::readString(Value, "data_centre"));
  BOOST_LEAF_AUTO(View, json::readUint(Value, "view"));
  BOOST_LEAF_AUTO(By, json::readObject(Value, "by"));
  BOOST_LEAF_AUTO(Member, memberFromJson(By));
  return JoinRequest{DataCentreId(DataCentre), ViewNumber(View), Member};
}

RetVal<PeerReply> replyFromJson(const Json::Value &Value) {
  PeerReply Out;
  BOOST_LEAF_AUTO(State, json::readUint(Value, "state"));
  if (State > static_cast<std::uint64_t>(PeerState::Failed))
    return fail(ErrorCode::InvalidArgument, "unknown state of a member");
  Out.State = static_cast<PeerState>(State);
  BOOST_LEAF_ASSIGN(Out.Last, readPosition(Value, "last"));
  BOOST_LEAF_ASSIGN(Out.Durable, json::readUint(Value, "synced"));
  return Out;
}

} // namespace geraniumbay::ledger
