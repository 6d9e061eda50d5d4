//===- entrywire.cpp - Messages between entries and ledgers ---------------===//
//
// Their form in JSON.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/entrywire.h"
#include "framework/json/json.h"

#include <array>

namespace geraniumbay::ledger {

namespace {

constexpr std::array<const char *, 5> StateNames = {
    "granted", "answered", "held", "mismatch", "unknown_epoch"};

RetVal<ClaimState> stateNamed(const std::string &Name) {
  for (std::size_t Index = 0; Index < StateNames.size(); ++Index)
    if (Name == StateNames[Index])
      return static_cast<ClaimState>(Index);
  return fail(ErrorCode::InvalidArgument, "unknown state of a claim");
}

std::int64_t toMillis(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

Json::Value toJson(const Holder &Value) {
  Json::Value Out(Json::objectValue);
  Out["entry"] = Value.Entry.value();
  Out["incarnation"] = Json::UInt64(Value.Start.value());
  return Out;
}

Json::Value toJson(const ClaimRequest &Value) {
  Json::Value Out = toJson(Value.By);
  Out["submission"] = Value.Submission.value();
  Out["digest"] = Value.Digest;
  Out["attempt"] = Json::UInt64(Value.Attempt);
  Out["wait_ms"] =
      Json::UInt64(std::max<std::int64_t>(0, toMillis(Value.Wait)));
  return Out;
}

Json::Value toJson(const AnswerRequest &Value) {
  Json::Value Out = toJson(Value.By);
  Out["submission"] = Value.Submission.value();
  Out["answer"] = Value.Answer;
  return Out;
}

Json::Value toJson(const ReleaseRequest &Value) {
  Json::Value Out = toJson(Value.By);
  Out["submission"] = Value.Submission.value();
  Out["attempt"] = Json::UInt64(Value.Attempt);
  return Out;
}

Json::Value toJson(const ClaimReply &Value) {
  Json::Value Out(Json::objectValue);
  Out["state"] = StateNames[static_cast<std::size_t>(Value.State)];
  if (Value.State == ClaimState::Answered)
    Out["answer"] = Value.Answer;
  return Out;
}

RetVal<Holder> holderFromJson(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Entry, json::readString(Value, "entry"));
  BOOST_LEAF_AUTO(Start, json::readUint(Value, "incarnation"));
  return Holder{VmId(Entry), Incarnation(Start)};
}

RetVal<ClaimRequest> claimFromJson(const Json::Value &Value) {
  ClaimRequest Out;
  BOOST_LEAF_ASSIGN(Out.By, holderFromJson(Value));
  BOOST_LEAF_AUTO(Submission, json::readString(Value, "submission"));
  Out.Submission = SubmissionId(Submission);
  BOOST_LEAF_ASSIGN(Out.Digest, json::readString(Value, "digest"));
  BOOST_LEAF_ASSIGN(Out.Attempt, json::readUintOr(Value, "attempt", 0));
  BOOST_LEAF_AUTO(Wait, json::readUintOr(Value, "wait_ms", 0));
  constexpr std::uint64_t LongestWait = 3'600'000;
  Out.Wait = std::chrono::milliseconds(std::min(Wait, LongestWait));
  return Out;
}

RetVal<AnswerRequest> answerFromJson(const Json::Value &Value) {
  AnswerRequest Out;
  BOOST_LEAF_ASSIGN(Out.By, holderFromJson(Value));
  BOOST_LEAF_AUTO(Submission, json::readString(Value, "submission"));
  Out.Submission = SubmissionId(Submission);
  BOOST_LEAF_ASSIGN(Out.Answer, json::readString(Value, "answer"));
  return Out;
}

RetVal<ReleaseRequest> releaseFromJson(const Json::Value &Value) {
  ReleaseRequest Out;
  BOOST_LEAF_ASSIGN(Out.By, holderFromJson(Value));
  BOOST_LEAF_AUTO(Submission, json::readString(Value, "submission"));
  Out.Submission = SubmissionId(Submission);
  BOOST_LEAF_ASSIGN(Out.Attempt, json::readUintOr(Value, "attempt", 0));
  return Out;
}

RetVal<ClaimReply> claimReplyFromJson(const Json::Value &Value) {
  ClaimReply Out;
  BOOST_LEAF_AUTO(Name, json::readString(Value, "state"));
  BOOST_LEAF_ASSIGN(Out.State, stateNamed(Name));
  if (Out.State == ClaimState::Answered) {
    BOOST_LEAF_ASSIGN(Out.Answer, json::readString(Value, "answer"));
  }
  return Out;
}

} // namespace geraniumbay::ledger
