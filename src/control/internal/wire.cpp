//===- wire.cpp - JSON forms of the types that others see -----------------===//
//
// Configuration, its changes and ledger views.
//
//===----------------------------------------------------------------------===//

#include "control/internal/wire.h"

#include <algorithm>
#include <array>

namespace geraniumbay::control::wire {

namespace {

struct ActionName {
  LedgerAction Action;
  const char *Name;
};

constexpr std::array<ActionName, 5> ActionNames = {{
    {LedgerAction::Open, "open"},
    {LedgerAction::Remove, "remove"},
    {LedgerAction::Add, "add"},
    {LedgerAction::Promote, "promote"},
    {LedgerAction::ReportLost, "report_lost"},
}};

const char *nameOf(LedgerAction Action) {
  for (const ActionName &Entry : ActionNames)
    if (Entry.Action == Action)
      return Entry.Name;
  return "";
}

RetVal<LedgerAction> readAction(const Json::Value &From) {
  BOOST_LEAF_AUTO(Name, json::readString(From, "action"));
  for (const ActionName &Entry : ActionNames)
    if (Name == Entry.Name)
      return Entry.Action;
  return fail(ErrorCode::InvalidArgument, "unknown ledger action");
}

constexpr std::array<ErrorCode, 3> AnswerCodes = {
    ErrorCode::Conflict, ErrorCode::InvalidArgument, ErrorCode::Refused};

void writeFailure(Json::Value &To, const std::optional<ErrorCode> &Failure) {
  if (Failure)
    To["failure"] = errorCodeName(*Failure);
}

RetVal<std::optional<ErrorCode>> readFailure(const Json::Value &From) {
  BOOST_LEAF_AUTO(Name, json::readStringOr(From, "failure", ""));
  if (Name.empty())
    return std::optional<ErrorCode>();
  for (ErrorCode Code : AnswerCodes)
    if (Name == errorCodeName(Code))
      return std::optional<ErrorCode>(Code);
  return fail(ErrorCode::InvalidArgument, "unknown failure");
}

} // namespace

Json::Value write(const LedgerMember &Value) {
  Json::Value Result(Json::objectValue);
  Result["vm"] = Value.Vm.value();
  Result["disk"] = Json::UInt64(Value.Disk.value());
  return Result;
}

RetVal<LedgerMember> readLedgerMember(const Json::Value &From) {
  LedgerMember Result;
  BOOST_LEAF_ASSIGN(Result.Vm, readName<VmId>(From, "vm"));
  BOOST_LEAF_ASSIGN(Result.Disk, readNumber<DiskId>(From, "disk"));
  return Result;
}

Json::Value write(const LedgerView &Value) {
  Json::Value Result(Json::objectValue);
  Result["view"] = Json::UInt64(Value.Number.value());
  Result["epoch"] = Json::UInt64(Value.LedgerEpoch.value());
  Result["primary"] = Value.Primary.value();
  Result["members"] = writeList(Value.Members);
  Result["lost"] = writeList(Value.Lost);
  Result["keys_refused_until_ms"] = Json::Int64(Value.KeysRefusedUntil);
  return Result;
}

RetVal<LedgerView> readLedgerView(const Json::Value &From) {
  LedgerView Result;
  BOOST_LEAF_ASSIGN(Result.Number, readNumber<ViewNumber>(From, "view"));
  BOOST_LEAF_ASSIGN(Result.LedgerEpoch, readNumber<Epoch>(From, "epoch"));
  BOOST_LEAF_ASSIGN(Result.Primary, readName<VmId>(From, "primary"));
  BOOST_LEAF_ASSIGN(Result.Members,
                    readList<LedgerMember>(From, "members", readLedgerMember));
  BOOST_LEAF_ASSIGN(Result.Lost,
                    readList<LedgerMember>(From, "lost", readLedgerMember));
  BOOST_LEAF_AUTO(Until, json::readUint(From, "keys_refused_until_ms"));
  Result.KeysRefusedUntil = static_cast<WallMillis>(Until);
  return Result;
}

Json::Value write(const LedgerViews &Value) {
  Json::Value Result(Json::arrayValue);
  for (const auto &[DataCentre, View] : Value) {
    Json::Value Element = write(View);
    Element["data_centre"] = DataCentre.value();
    Result.append(std::move(Element));
  }
  return Result;
}

RetVal<LedgerViews> readLedgerViews(const Json::Value &From) {
  BOOST_LEAF_AUTO(Array, json::readArray(From, "ledgers"));
  LedgerViews Result;
  for (const Json::Value &Element : Array) {
    BOOST_LEAF_AUTO(DataCentre, readName<DataCentreId>(Element, "data_centre"));
    BOOST_LEAF_ASSIGN(Result[DataCentre], readLedgerView(Element));
  }
  return Result;
}

Json::Value write(const LedgerChange &Value) {
  Json::Value Result(Json::objectValue);
  Result["data_centre"] = Value.DataCentre.value();
  Result["base"] = Json::UInt64(Value.Base.value());
  Result["action"] = nameOf(Value.Action);
  Result["by"] = write(Value.By);
  Result["subject"] = write(Value.Subject);
  Result["refuse_keys_until_ms"] = Json::Int64(Value.RefuseKeysUntil);
  return Result;
}

RetVal<LedgerChange> readLedgerChange(const Json::Value &From) {
  LedgerChange Result;
  BOOST_LEAF_ASSIGN(Result.DataCentre,
                    readName<DataCentreId>(From, "data_centre"));
  BOOST_LEAF_ASSIGN(Result.Base, readNumber<ViewNumber>(From, "base"));
  BOOST_LEAF_ASSIGN(Result.Action, readAction(From));
  BOOST_LEAF_AUTO(By, json::readObject(From, "by"));
  BOOST_LEAF_ASSIGN(Result.By, readLedgerMember(By));
  BOOST_LEAF_AUTO(Subject, json::readObject(From, "subject"));
  BOOST_LEAF_ASSIGN(Result.Subject, readLedgerMember(Subject));
  BOOST_LEAF_AUTO(Until, json::readUint(From, "refuse_keys_until_ms"));
  Result.RefuseKeysUntil = static_cast<WallMillis>(Until);
  return Result;
}

Json::Value write(const ConfigChange &Value) {
  Json::Value Result(Json::objectValue);
  Result["operation"] = Value.Operation.value();
  Result["base"] = Json::UInt64(Value.Base.value());
  Result["document"] = Value.Document;
  return Result;
}

RetVal<ConfigChange> readConfigChange(const Json::Value &From) {
  ConfigChange Result;
  BOOST_LEAF_ASSIGN(Result.Operation, readName<OperationId>(From, "operation"));
  BOOST_LEAF_ASSIGN(Result.Base, readNumber<ConfigVersion>(From, "base"));
  BOOST_LEAF_ASSIGN(Result.Document, json::readString(From, "document"));
  return Result;
}

Json::Value write(const ConfigSnapshot &Value) {
  Json::Value Result(Json::objectValue);
  Result["version"] = Json::UInt64(Value.Version.value());
  Result["document"] = Value.Document;
  Result["revision"] = Json::UInt64(Value.Seen.value());
  Result["ledgers"] = write(Value.Ledgers);
  return Result;
}

RetVal<ConfigSnapshot> readConfigSnapshot(const Json::Value &From) {
  ConfigSnapshot Result;
  BOOST_LEAF_ASSIGN(Result.Version, readNumber<ConfigVersion>(From, "version"));
  BOOST_LEAF_ASSIGN(Result.Document, json::readString(From, "document"));
  BOOST_LEAF_ASSIGN(Result.Seen, readNumber<Revision>(From, "revision"));
  BOOST_LEAF_ASSIGN(Result.Ledgers, readLedgerViews(From));
  return Result;
}

Json::Value write(const ConfigAnswer &Value) {
  Json::Value Result(Json::objectValue);
  Result["version"] = Json::UInt64(Value.Version.value());
  writeFailure(Result, Value.Failure);
  return Result;
}

RetVal<ConfigAnswer> readConfigAnswer(const Json::Value &From) {
  ConfigAnswer Result;
  BOOST_LEAF_ASSIGN(Result.Version, readNumber<ConfigVersion>(From, "version"));
  BOOST_LEAF_ASSIGN(Result.Failure, readFailure(From));
  return Result;
}

Json::Value write(const LedgerAnswer &Value) {
  Json::Value Result(Json::objectValue);
  if (Value.View)
    Result["view"] = write(*Value.View);
  writeFailure(Result, Value.Failure);
  return Result;
}

RetVal<LedgerAnswer> readLedgerAnswer(const Json::Value &From) {
  LedgerAnswer Result;
  BOOST_LEAF_ASSIGN(Result.Failure, readFailure(From));
  if (!Result.Failure && !hasField(From, "view"))
    return fail(ErrorCode::InvalidArgument, "an answer without a view");
  if (!hasField(From, "view"))
    return Result;
  BOOST_LEAF_AUTO(View, json::readObject(From, "view"));
  BOOST_LEAF_ASSIGN(Result.View, readLedgerView(View));
  return Result;
}

} // namespace geraniumbay::control::wire
