//===- jobmessages.cpp - Messages between entries and control -------------===//
//
// The JSON form of an answer.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"

namespace geraniumbay::jobs::wire {

bool isSet(const Json::Value &From, const char *Name) {
  return From.isObject() && From[Name].isBool() && From[Name].asBool();
}

std::uint64_t numberOf(const Json::Value &From, const char *Name) {
  return From.isObject() && From[Name].isUInt64() ? From[Name].asUInt64() : 0;
}

Json::Value write(const JobAnswer &Value) {
  Json::Value Result(Json::objectValue);
  Result["outcome"] = static_cast<int>(Value.Outcome);
  if (Value.State != JobState::Active)
    Result["state"] = static_cast<int>(Value.State);
  if (Value.Begun)
    Result["begun"] = true;
  if (Value.Pending != 0)
    Result["pending"] = Json::UInt64(Value.Pending);
  if (Value.RetryAfter.count() != 0)
    Result["retry_us"] = Json::Int64(Value.RetryAfter.count());
  if (!Value.Reason.empty())
    Result["reason"] = Value.Reason;
  if (Value.Evacuated)
    Result["evacuated"] = true;
  if (Value.HasRun)
    Result["has_run"] = true;
  return Result;
}

RetVal<JobAnswer> readAnswer(const Json::Value &From) {
  JobAnswer Result;
  BOOST_LEAF_AUTO(Outcome, json::readUint(From, "outcome"));
  if (Outcome > static_cast<std::uint64_t>(JobOutcome::Unknown))
    return fail(ErrorCode::InvalidArgument, "unknown outcome");
  Result.Outcome = static_cast<JobOutcome>(Outcome);
  BOOST_LEAF_AUTO(State, json::readUintOr(From, "state", 0));
  if (State > static_cast<std::uint64_t>(JobState::Cancelled))
    return fail(ErrorCode::InvalidArgument, "unknown state");
  Result.State = static_cast<JobState>(State);
  BOOST_LEAF_ASSIGN(Result.Begun, json::readBoolOr(From, "begun", false));
  BOOST_LEAF_ASSIGN(Result.Pending, json::readUintOr(From, "pending", 0));
  BOOST_LEAF_AUTO(Retry, json::readUintOr(From, "retry_us", 0));
  Result.RetryAfter = Duration(static_cast<Duration::rep>(Retry));
  BOOST_LEAF_ASSIGN(Result.Reason, json::readStringOr(From, "reason", ""));
  BOOST_LEAF_ASSIGN(Result.Evacuated,
                    json::readBoolOr(From, "evacuated", false));
  BOOST_LEAF_ASSIGN(Result.HasRun, json::readBoolOr(From, "has_run", false));
  return Result;
}

Json::Value write(const RegistrarWord &Value) {
  Json::Value Result(Json::objectValue);
  Result["token"] = Json::UInt64(Value.Token.value());
  Result["pool"] = Value.Answer.Pool.value();
  if (Value.Answer.HadByOther)
    Result["had_by_other"] = true;
  return Result;
}

RetVal<RegistrarWord> readRegistrarWord(const Json::Value &From) {
  RegistrarWord Result;
  BOOST_LEAF_AUTO(Token, json::readUint(From, "token"));
  Result.Token = FencingToken(Token);
  BOOST_LEAF_AUTO(Pool, json::readString(From, "pool"));
  Result.Answer.Pool = PoolName(Pool);
  BOOST_LEAF_ASSIGN(Result.Answer.HadByOther,
                    json::readBoolOr(From, "had_by_other", false));
  return Result;
}

RetVal<Endpoint> readEndpoint(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Text, json::readString(From, Name));
  return parseEndpoint(Text);
}

} // namespace geraniumbay::jobs::wire
