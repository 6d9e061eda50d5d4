//===- machinewire.cpp - JSON form of the replicated state ----------------===//
//
// The state machine in snapshots.
//
//===----------------------------------------------------------------------===//

#include "control/internal/wire.h"

namespace geraniumbay::control::wire {

namespace {

/// One remembered operation with its id.
struct NamedOperation {
  OperationId Operation;
  RememberedOperation Remembered;
};

Json::Value writeOperation(const NamedOperation &Value) {
  Json::Value Result(Json::objectValue);
  Result["operation"] = Value.Operation.value();
  Result["digest"] = Json::UInt64(Value.Remembered.Digest);
  Result["answer"] = write(Value.Remembered.Answer);
  return Result;
}

RetVal<NamedOperation> readOperation(const Json::Value &From) {
  NamedOperation Result;
  BOOST_LEAF_ASSIGN(Result.Operation, readName<OperationId>(From, "operation"));
  BOOST_LEAF_ASSIGN(Result.Remembered.Digest, json::readUint(From, "digest"));
  BOOST_LEAF_AUTO(Answer, json::readObject(From, "answer"));
  BOOST_LEAF_ASSIGN(Result.Remembered.Answer, readConfigAnswer(Answer));
  return Result;
}

} // namespace

Json::Value write(const ChangeRecord &Value) {
  Json::Value Result(Json::objectValue);
  Result["version"] = Json::UInt64(Value.Version.value());
  Result["operation"] = Value.Operation.value();
  return Result;
}

RetVal<ChangeRecord> readChange(const Json::Value &From) {
  ChangeRecord Result;
  BOOST_LEAF_ASSIGN(Result.Version, readNumber<ConfigVersion>(From, "version"));
  BOOST_LEAF_ASSIGN(Result.Operation, readName<OperationId>(From, "operation"));
  return Result;
}

Json::Value write(const MachineState &Value) {
  Json::Value Result = write(viewOf(Value));
  Json::Value Operations(Json::arrayValue);
  for (const OperationId &Id : Value.OperationOrder)
    Operations.append(
        writeOperation(NamedOperation{Id, Value.Operations.at(Id)}));
  Result["operations"] = std::move(Operations);
  Json::Value History(Json::arrayValue);
  for (const ChangeRecord &Record : Value.History)
    History.append(write(Record));
  Result["history"] = std::move(History);
  if (!Value.ModuleState.empty())
    Result["module"] = Value.ModuleState;
  return Result;
}

RetVal<MachineState> readMachine(const Json::Value &From) {
  BOOST_LEAF_AUTO(Seen, readConfigSnapshot(From));
  MachineState Result;
  Result.Version = Seen.Version;
  Result.Document = std::move(Seen.Document);
  Result.Seen = Seen.Seen;
  Result.Ledgers = std::move(Seen.Ledgers);
  BOOST_LEAF_AUTO(Operations,
                  readList<NamedOperation>(From, "operations", readOperation));
  for (NamedOperation &Entry : Operations) {
    Result.OperationOrder.push_back(Entry.Operation);
    Result.Operations[Entry.Operation] = Entry.Remembered;
  }
  BOOST_LEAF_AUTO(History, readList<ChangeRecord>(From, "history", readChange));
  Result.History.assign(History.begin(), History.end());
  BOOST_LEAF_ASSIGN(Result.ModuleState, json::readStringOr(From, "module", ""));
  return Result;
}

} // namespace geraniumbay::control::wire
