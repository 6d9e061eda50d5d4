//===- jobmessages.cpp - Messages between entries and control -------------===//
//
// Reading and writing the messages' JSON forms.
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

Json::Value write(const JobId &Id, const Claimant &By) {
  Json::Value Result(Json::objectValue);
  Result["job"] = Id.value();
  Result["pool"] = By.Pool.value();
  Result["token"] = Json::UInt64(By.Token.value());
  Result["question"] = Json::UInt64(By.Question);
  return Result;
}

RetVal<std::vector<std::pair<JobId, Claimant>>>
readClaims(const Json::Value &From) {
  std::vector<std::pair<JobId, Claimant>> Result;
  for (const Json::Value &Each : From) {
    BOOST_LEAF_AUTO(Job, json::readString(Each, "job"));
    BOOST_LEAF_AUTO(Pool, json::readString(Each, "pool"));
    BOOST_LEAF_AUTO(Token, json::readUint(Each, "token"));
    BOOST_LEAF_AUTO(Question, json::readUint(Each, "question"));
    Result.emplace_back(
        JobId(Job), Claimant{PoolName(Pool), FencingToken(Token), Question});
  }
  return Result;
}

Json::Value write(const RegistrarReply &Value) {
  Json::Value Result(Json::objectValue);
  Result["token"] = Json::UInt64(Value.Token.value());
  for (const ClaimAnswer &Each : Value.Answers) {
    Json::Value Answer(Json::objectValue);
    Answer["pool"] = Each.Pool.value();
    if (Each.HadOtherOwner)
      Answer["had_by_other"] = true;
    Result["answers"].append(std::move(Answer));
  }
  return Result;
}

RetVal<RegistrarReply> readRegistrarWord(const Json::Value &From) {
  RegistrarReply Result;
  BOOST_LEAF_AUTO(Token, json::readUint(From, "token"));
  Result.Token = FencingToken(Token);
  for (const Json::Value &Each : From["answers"]) {
    BOOST_LEAF_AUTO(Pool, json::readString(Each, "pool"));
    BOOST_LEAF_AUTO(ByOther, json::readBoolOr(Each, "had_by_other", false));
    Result.Answers.push_back({PoolName(Pool), ByOther});
  }
  return Result;
}

RetVal<Endpoint> readEndpoint(const Json::Value &From, const char *Name) {
  BOOST_LEAF_AUTO(Text, json::readString(From, Name));
  return parseEndpoint(Text);
}

} // namespace geraniumbay::jobs::wire
