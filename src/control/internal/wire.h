//===- wire.h - JSON forms of the control module's types --------*- C++ -*-===//
//
// The one place where typed values become JSON (for messages and files) and
// back. Reading fails with InvalidArgument on anything malformed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_WIRE_H
#define GERANIUMBAY_CONTROL_INTERNAL_WIRE_H

#include "control/controlstatus.h"
#include "control/internal/rafttypes.h"
#include "framework/json/json.h"

namespace geraniumbay::control::wire {

// Types that other processes see (wire.cpp).
Json::Value write(const LedgerMember &Value);
RetVal<LedgerMember> readLedgerMember(const Json::Value &From);
Json::Value write(const LedgerView &Value);
RetVal<LedgerView> readLedgerView(const Json::Value &From);
Json::Value write(const LedgerViews &Value);
/// Reads the array "ledgers" of \p From.
RetVal<LedgerViews> readLedgerViews(const Json::Value &From);
Json::Value write(const LedgerChange &Value);
RetVal<LedgerChange> readLedgerChange(const Json::Value &From);
Json::Value write(const ConfigChange &Value);
RetVal<ConfigChange> readConfigChange(const Json::Value &From);
Json::Value write(const ConfigSnapshot &Value);
RetVal<ConfigSnapshot> readConfigSnapshot(const Json::Value &From);
Json::Value write(const ConfigAnswer &Value);
RetVal<ConfigAnswer> readConfigAnswer(const Json::Value &From);
Json::Value write(const LedgerAnswer &Value);
RetVal<LedgerAnswer> readLedgerAnswer(const Json::Value &From);

// Reports (statuswire.cpp).
Json::Value write(const ControlStatus &Value);
RetVal<ControlStatus> readStatus(const Json::Value &From);

// The replicated state (machinewire.cpp).
Json::Value write(const ChangeRecord &Value);
RetVal<ChangeRecord> readChange(const Json::Value &From);
Json::Value write(const MachineState &Value);
RetVal<MachineState> readMachine(const Json::Value &From);

// The consensus (raftwire.cpp).
Json::Value write(const MemberId &Value);
RetVal<MemberId> readMember(const Json::Value &From);
Json::Value write(const Membership &Value);
RetVal<Membership> readMembership(const Json::Value &From);
Json::Value write(const LogEntry &Value);
RetVal<LogEntry> readEntry(const Json::Value &From);
Json::Value write(const Snapshot &Value);
RetVal<Snapshot> readSnapshot(const Json::Value &From);
Json::Value write(const HardState &Value);
RetVal<HardState> readHardState(const Json::Value &From);
Json::Value write(const Message &Value);
RetVal<Message> readMessage(const Json::Value &From);

/// Reads each element of the array \p Name of \p From with \p Read.
template <typename T, typename ReadT>
RetVal<std::vector<T>> readList(const Json::Value &From, const char *Name,
                                ReadT Read) {
  BOOST_LEAF_AUTO(Array, json::readArray(From, Name));
  std::vector<T> Result;
  Result.reserve(Array.size());
  for (const Json::Value &Element : Array) {
    BOOST_LEAF_AUTO(Value, Read(Element));
    Result.push_back(std::move(Value));
  }
  return Result;
}

template <typename T> Json::Value writeList(const T &Values) {
  Json::Value Result(Json::arrayValue);
  for (const auto &Value : Values)
    Result.append(write(Value));
  return Result;
}

/// Whether \p From is an object with the field \p Name; safe on any value.
inline bool hasField(const Json::Value &From, const char *Name) {
  return From.isObject() && From.isMember(Name);
}

/// Reads a strong id over a whole number.
template <typename IdT>
RetVal<IdT> readNumber(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Value, json::readUint(From, Name));
  return IdT(Value);
}

/// Reads a strong id over a string.
template <typename IdT>
RetVal<IdT> readName(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Value, json::readString(From, Name));
  return IdT(std::move(Value));
}

} // namespace geraniumbay::control::wire

#endif // GERANIUMBAY_CONTROL_INTERNAL_WIRE_H
