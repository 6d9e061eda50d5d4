//===- viewwire.cpp - Views in JSON ---------------------------------------===//
//
// Reads and writes views and members.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/viewwire.h"
#include "framework/json/json.h"

namespace geraniumbay::ledger {

namespace {

Json::Value toJson(const LedgerPeer &Value) {
  Json::Value Out(Json::objectValue);
  Out["vm"] = Value.Vm.value();
  Out["address"] = Value.At.Address;
  Out["port"] = Value.At.Port;
  return Out;
}

RetVal<LedgerPeer> peerFromJson(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Vm, json::readString(Value, "vm"));
  BOOST_LEAF_AUTO(Address, json::readString(Value, "address"));
  BOOST_LEAF_AUTO(Port, json::readUint(Value, "port"));
  return LedgerPeer{VmId(Vm), {Address, static_cast<std::uint16_t>(Port)}};
}

} // namespace

Json::Value toJson(const LedgerMember &Value) {
  Json::Value Out(Json::objectValue);
  Out["vm"] = Value.Vm.value();
  Out["disk"] = Json::UInt64(Value.Disk.value());
  return Out;
}

RetVal<LedgerMember> memberFromJson(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Vm, json::readString(Value, "vm"));
  BOOST_LEAF_AUTO(Disk, json::readUint(Value, "disk"));
  return LedgerMember{VmId(Vm), DiskId(Disk)};
}

Json::Value toJson(const LedgerView &Value) {
  Json::Value Out(Json::objectValue);
  Out["data_centre"] = Value.DataCentre.value();
  Out["number"] = Json::UInt64(Value.Number.value());
  Out["epoch"] = Json::UInt64(Value.LedgerEpoch.value());
  Out["primary"] = Value.Primary.value();
  Out["members"] = Json::Value(Json::arrayValue);
  for (const LedgerMember &Member : Value.Members)
    Out["members"].append(toJson(Member));
  Out["peers"] = Json::Value(Json::arrayValue);
  for (const LedgerPeer &Peer : Value.Peers)
    Out["peers"].append(toJson(Peer));
  Out["keys_refused_until"] = Json::Int64(Value.KeysRefusedUntil);
  return Out;
}

RetVal<LedgerView> viewFromJson(const Json::Value &Value) {
  LedgerView Out;
  BOOST_LEAF_AUTO(DataCentre, json::readString(Value, "data_centre"));
  Out.DataCentre = DataCentreId(DataCentre);
  BOOST_LEAF_AUTO(Number, json::readUint(Value, "number"));
  Out.Number = ViewNumber(Number);
  BOOST_LEAF_AUTO(Current, json::readUint(Value, "epoch"));
  Out.LedgerEpoch = Epoch(Current);
  BOOST_LEAF_AUTO(Primary, json::readString(Value, "primary"));
  Out.Primary = VmId(Primary);
  BOOST_LEAF_AUTO(Members, json::readArray(Value, "members"));
  for (const Json::Value &Member : Members) {
    BOOST_LEAF_AUTO(Read, memberFromJson(Member));
    Out.Members.push_back(Read);
  }
  BOOST_LEAF_AUTO(Peers, json::readArray(Value, "peers"));
  for (const Json::Value &Peer : Peers) {
    BOOST_LEAF_AUTO(Read, peerFromJson(Peer));
    Out.Peers.push_back(Read);
  }
  BOOST_LEAF_AUTO(Until, json::readUint(Value, "keys_refused_until"));
  Out.KeysRefusedUntil = static_cast<WallMillis>(Until);
  return Out;
}

} // namespace geraniumbay::ledger
