//===- evacuationwire.cpp - Evacuations as JSON ---------------------------===//
//
// Writing and strict reading.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/evacuationwire.h"

namespace geraniumbay::jobs::wire {

namespace {

constexpr const char *DataCentreField = "data_centre";
constexpr const char *EvacuateField = "evacuate";
constexpr const char *BaseField = "base";
constexpr const char *NumberField = "number";
constexpr const char *AtField = "at_ms";
constexpr const char *LastField = "last";
constexpr const char *RecordsField = "records";

RetVal<bool> readEvacuate(const Json::Value &From) {
  if (!From.isObject() || !From[EvacuateField].isBool())
    return fail(ErrorCode::InvalidArgument, "evacuate is no boolean");
  return From[EvacuateField].asBool();
}

RetVal<EvacuationNumber> readNumber(const Json::Value &From,
                                    const char *Field) {
  BOOST_LEAF_AUTO(Number, json::readUint(From, Field));
  return EvacuationNumber(Number);
}

RetVal<WallMillis> readTime(const Json::Value &From) {
  BOOST_LEAF_AUTO(At, json::readUintOr(From, AtField, 0));
  return static_cast<WallMillis>(At);
}

Json::UInt64 writeTime(WallMillis At) {
  return static_cast<Json::UInt64>(std::max<WallMillis>(At, 0));
}

} // namespace

Json::Value write(const EvacuationOrder &Value) {
  Json::Value Result(Json::objectValue);
  Result[DataCentreField] = Value.DataCentre.value();
  Result[EvacuateField] = Value.Evacuate;
  Result[BaseField] = Json::UInt64(Value.Base.value());
  Result[AtField] = writeTime(Value.OrderedAt);
  return Result;
}

RetVal<EvacuationOrder> readEvacuationOrder(const Json::Value &From) {
  EvacuationOrder Result;
  BOOST_LEAF_AUTO(DataCentre, json::readString(From, DataCentreField));
  Result.DataCentre = DataCentreId(std::move(DataCentre));
  BOOST_LEAF_ASSIGN(Result.Evacuate, readEvacuate(From));
  BOOST_LEAF_ASSIGN(Result.Base, readNumber(From, BaseField));
  BOOST_LEAF_ASSIGN(Result.OrderedAt, readTime(From));
  return Result;
}

Json::Value write(const Evacuations &Value) {
  Json::Value Result(Json::objectValue);
  Result[LastField] = Json::UInt64(Value.Last.value());
  Result[RecordsField] = Json::Value(Json::arrayValue);
  for (const auto &[DataCentre, Record] : Value.Records) {
    Json::Value Each(Json::objectValue);
    Each[DataCentreField] = DataCentre.value();
    Each[EvacuateField] = Record.Evacuated;
    Each[NumberField] = Json::UInt64(Record.Number.value());
    Each[AtField] = writeTime(Record.OrderedAt);
    Result[RecordsField].append(std::move(Each));
  }
  return Result;
}

RetVal<Evacuations> readEvacuations(const Json::Value &From) {
  Evacuations Result;
  BOOST_LEAF_ASSIGN(Result.Last, readNumber(From, LastField));
  BOOST_LEAF_AUTO(Records, json::readArray(From, RecordsField));
  for (const Json::Value &Each : Records) {
    BOOST_LEAF_AUTO(DataCentre, json::readString(Each, DataCentreField));
    EvacuationRecord &Record = Result.Records[DataCentreId(DataCentre)];
    BOOST_LEAF_ASSIGN(Record.Evacuated, readEvacuate(Each));
    BOOST_LEAF_ASSIGN(Record.Number, readNumber(Each, NumberField));
    BOOST_LEAF_ASSIGN(Record.OrderedAt, readTime(Each));
  }
  return Result;
}

} // namespace geraniumbay::jobs::wire
