//===- result.cpp - The one answer to a submission ------------------------===//
//
// Names, statuses and the stored form of answers.
//
//===----------------------------------------------------------------------===//

#include "entry/result.h"

#include "framework/json/json.h"

#include <algorithm>
#include <array>

namespace geraniumbay::entry {

namespace {

struct ReasonRow {
  FailureReason Reason;
  const char *Name;
  int Status;
};

constexpr int StatusOk = 200;

/// Every reason with its name and its HTTP status.
constexpr std::array Reasons = {
    ReasonRow{FailureReason::None, "none", StatusOk},
    ReasonRow{FailureReason::BadRequest, "bad_request", 400},
    ReasonRow{FailureReason::UnknownService, "unknown_service", 404},
    ReasonRow{FailureReason::UnknownCaller, "unknown_caller", 403},
    ReasonRow{FailureReason::TooManyTasks, "too_many_tasks", 413},
    ReasonRow{FailureReason::TooLarge, "too_large", 413},
    ReasonRow{FailureReason::NeverFits, "never_fits", 422},
    ReasonRow{FailureReason::Overloaded, "overloaded", 503},
    ReasonRow{FailureReason::NoWorkers, "no_workers", 503},
    ReasonRow{FailureReason::Draining, "draining", 503},
    ReasonRow{FailureReason::NotReady, "not_ready", 503},
    ReasonRow{FailureReason::LedgerUnavailable, "ledger_unavailable", 503},
    ReasonRow{FailureReason::KeyReused, "key_reused", 409},
    ReasonRow{FailureReason::UnknownEpoch, "unknown_epoch", 410},
    ReasonRow{FailureReason::HeldElsewhere, "held_elsewhere", 503},
    ReasonRow{FailureReason::DeadlineExceeded, "deadline_exceeded", 504},
    ReasonRow{FailureReason::TaskFailed, "task_failed", 502},
    ReasonRow{FailureReason::WorkerLost, "worker_lost", 502},
    ReasonRow{FailureReason::Cancelled, "cancelled", 409},
    ReasonRow{FailureReason::CoordinatorLost, "coordinator_lost", 502},
    ReasonRow{FailureReason::AnswerNotRecorded, "answer_not_recorded", 503},
};

const ReasonRow &rowOf(FailureReason Reason) {
  return *std::find_if(
      Reasons.begin(), Reasons.end(),
      [Reason](const ReasonRow &Row) { return Row.Reason == Reason; });
}

RetVal<FailureReason> parseReason(const std::string &Name) {
  const auto *Found =
      std::find_if(Reasons.begin(), Reasons.end(),
                   [&](const ReasonRow &Row) { return Name == Row.Name; });
  if (Found == Reasons.end())
    return fail(ErrorCode::Corrupt, "unknown failure reason");
  return Found->Reason;
}

RetVal<std::vector<std::string>> readAnswers(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Array, json::readArray(Value, "answers"));
  std::vector<std::string> Answers;
  for (const Json::Value &Answer : Array) {
    if (!Answer.isString())
      return fail(ErrorCode::Corrupt, "an answer is not a string");
    Answers.push_back(Answer.asString());
  }
  return Answers;
}

} // namespace

const char *failureReasonName(FailureReason Reason) {
  return rowOf(Reason).Name;
}

int httpStatus(const Result &Answer) { return rowOf(Answer.Reason).Status; }

Result notRun(FailureReason Reason, std::string Detail, Duration RetryAfter) {
  Result Answer;
  Answer.Reason = Reason;
  Answer.DidRun = Ran::No;
  Answer.RetryAfter = RetryAfter;
  Answer.Detail = std::move(Detail);
  return Answer;
}

Result mayHaveRun(FailureReason Reason, std::string Detail) {
  Result Answer;
  Answer.Reason = Reason;
  Answer.DidRun = Ran::Maybe;
  Answer.Detail = std::move(Detail);
  return Answer;
}

Json::Value resultJson(const Result &Answer) {
  Json::Value Value(Json::objectValue);
  if (Answer.complete()) {
    Value["status"] = "complete";
    Value["answers"] = Json::Value(Json::arrayValue);
    for (const std::string &Text : Answer.Answers)
      Value["answers"].append(Text);
    return Value;
  }
  Value["status"] = "failed";
  Value["ran"] = Answer.DidRun == Ran::No ? "no" : "maybe";
  Value["reason"] = failureReasonName(Answer.Reason);
  Value["detail"] = Answer.Detail;
  if (Answer.RetryAfter > Duration::zero())
    Value["retry_after_ms"] = static_cast<Json::UInt64>(
        Answer.RetryAfter / std::chrono::milliseconds(1));
  return Value;
}

RetVal<Result> readResult(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Status, json::readString(Value, "status"));
  Result Answer;
  if (Status == "complete") {
    BOOST_LEAF_ASSIGN(Answer.Answers, readAnswers(Value));
    return Answer;
  }
  BOOST_LEAF_AUTO(Name, json::readString(Value, "reason"));
  BOOST_LEAF_ASSIGN(Answer.Reason, parseReason(Name));
  BOOST_LEAF_AUTO(DidRun, json::readString(Value, "ran"));
  Answer.DidRun = DidRun == "no" ? Ran::No : Ran::Maybe;
  BOOST_LEAF_ASSIGN(Answer.Detail, json::readStringOr(Value, "detail", ""));
  return Answer;
}

} // namespace geraniumbay::entry
