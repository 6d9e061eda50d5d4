//===- record.cpp - Records of the ledger ---------------------------------===//
//
// The JSON form of records, with short names as there are many of them.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/record.h"
#include "framework/json/json.h"

#include <array>

namespace geraniumbay::ledger {

namespace {

constexpr std::array<const char *, 6> KindNames = {"c", "a", "r",
                                                   "e", "s", "h"};

RetVal<RecordKind> readKind(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Name, json::readString(Value, "k"));
  for (std::size_t Index = 0; Index < KindNames.size(); ++Index)
    if (Name == KindNames[Index])
      return static_cast<RecordKind>(Index);
  return fail(ErrorCode::Corrupt, "unknown kind of record");
}

bool hasHolder(RecordKind Kind) {
  return Kind == RecordKind::Claim || Kind == RecordKind::Entry;
}

bool hasState(RecordKind Kind) {
  return Kind == RecordKind::Epoch || Kind == RecordKind::Head;
}

} // namespace

Json::Value toJson(const Record &Value) {
  Json::Value Out(Json::objectValue);
  Out["k"] = KindNames[static_cast<std::size_t>(Value.Kind)];
  Out["i"] = Json::UInt64(Value.At.Index);
  Out["v"] = Json::UInt64(Value.At.View.value());
  Out["r"] = Json::UInt64(Value.At.Run);
  Out["t"] = Json::UInt64(Value.Age);
  if (hasState(Value.Kind)) {
    Out["e"] = Json::UInt64(Value.NewEpoch.value());
    Out["u"] = Json::UInt64(Value.RefuseUntil);
    return Out;
  }
  Out["s"] = Value.Submission.value();
  if (hasHolder(Value.Kind)) {
    Out["d"] = Value.Digest;
    Out["b"] = Value.By.Entry.value();
    Out["n"] = Json::UInt64(Value.By.Start.value());
    Out["m"] = Json::UInt64(Value.Attempt);
  }
  if (Value.Answer)
    Out["a"] = *Value.Answer;
  return Out;
}

RetVal<Record> recordFromJson(const Json::Value &Value) {
  Record Out;
  BOOST_LEAF_ASSIGN(Out.Kind, readKind(Value));
  BOOST_LEAF_ASSIGN(Out.At.Index, json::readUint(Value, "i"));
  BOOST_LEAF_AUTO(View, json::readUint(Value, "v"));
  Out.At.View = ViewNumber(View);
  BOOST_LEAF_ASSIGN(Out.At.Run, json::readUint(Value, "r"));
  BOOST_LEAF_ASSIGN(Out.Age, json::readUint(Value, "t"));
  if (hasState(Out.Kind)) {
    BOOST_LEAF_AUTO(Number, json::readUint(Value, "e"));
    Out.NewEpoch = Epoch(Number);
    BOOST_LEAF_ASSIGN(Out.RefuseUntil, json::readUint(Value, "u"));
    return Out;
  }
  BOOST_LEAF_AUTO(Submission, json::readString(Value, "s"));
  Out.Submission = SubmissionId(Submission);
  if (hasHolder(Out.Kind)) {
    BOOST_LEAF_ASSIGN(Out.Digest, json::readString(Value, "d"));
    BOOST_LEAF_AUTO(Entry, json::readString(Value, "b"));
    BOOST_LEAF_AUTO(Start, json::readUint(Value, "n"));
    Out.By = Holder{VmId(Entry), Incarnation(Start)};
    BOOST_LEAF_ASSIGN(Out.Attempt, json::readUint(Value, "m"));
  }
  if (Value.isMember("a")) {
    BOOST_LEAF_ASSIGN(Out.Answer, json::readString(Value, "a"));
  }
  return Out;
}

std::string encode(const Record &Value) { return json::write(toJson(Value)); }

RetVal<Record> decode(std::string_view Payload) {
  BOOST_LEAF_AUTO(Value, json::parse(Payload));
  return recordFromJson(Value);
}

} // namespace geraniumbay::ledger
