//===- submission.cpp - The messages of a submitted job -------------------===//
//
// Reading and writing of the bodies.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/submission.h"

#include "framework/json/json.h"

#include <algorithm>
#include <sstream>

namespace geraniumbay::cli {
namespace {

constexpr int StatusOk = 200;
constexpr int FirstServerError = 500;
/// When to come back if the answer does not say.
constexpr Duration DefaultReturn = std::chrono::seconds(1);
/// The longest pause that an answer can ask for.
constexpr std::uint64_t MaxReturnMillis = 60'000;

RetVal<Json::Value> bodyFromLines(const Options &Values,
                                  const std::string &Input) {
  if (Values.Caller.empty() || Values.Service.empty())
    return fail(ErrorCode::InvalidArgument,
                "--lines wants --caller and --service");
  Json::Value Body(Json::objectValue);
  Body["caller"] = Values.Caller;
  Body["service"] = Values.Service;
  if (!Values.Request.empty())
    Body["request"] = Values.Request;
  if (Values.DeadlineMillis > 0)
    Body["deadline_ms"] = Json::UInt64(Values.DeadlineMillis);
  Body["tasks"] = Json::Value(Json::arrayValue);
  std::istringstream Lines(Input);
  for (std::string Line; std::getline(Lines, Line);) {
    Json::Value Task(Json::objectValue);
    Task["payload"] = Line;
    Body["tasks"].append(std::move(Task));
  }
  if (Body["tasks"].empty())
    return fail(ErrorCode::InvalidArgument, "the input has no lines");
  return Body;
}

/// Returns the body of \p Response, or nothing if it is no answer to the
/// submission \p Key.
std::optional<Json::Value> readAnswer(const HttpResponse &Response,
                                      const std::string &Key) {
  auto Body = attempt([&] { return json::parse(Response.Body); });
  if (!Body || !Body->isObject())
    return std::nullopt;
  auto Id = attempt([&] { return json::readStringOr(*Body, "id", Key); });
  if (!Id || *Id != Key)
    return std::nullopt;
  auto Status = attempt([&] { return json::readString(*Body, "status"); });
  bool Complete = Status && *Status == "complete";
  bool Failed = Status && *Status == "failed";
  if (Complete != (Response.Status == StatusOk) || (!Complete && !Failed))
    return std::nullopt;
  return *Body;
}

/// Judges an answer that did not come from an entry, such as one of a proxy
/// between, or a refusal of the listener itself.
Verdict judgeForeign(const HttpResponse &Response) {
  std::string Reason = "HTTP status " + std::to_string(Response.Status);
  // The listener refuses a request with 4xx before anything has read it.
  if (Response.Status >= 400 && Response.Status < FirstServerError)
    return {ExitCode::Refused, false, Duration(0),
            failedBody("", false, Reason)};
  return {ExitCode::Unknown, true, DefaultReturn, failedBody("", true, Reason)};
}

/// How the command ends if it does not come back.
ExitCode failureCode(int Status, bool Ran, bool ComeBack) {
  if (Ran)
    return ComeBack ? ExitCode::Unknown : ExitCode::Failure;
  return Status >= FirstServerError ? ExitCode::NotRun : ExitCode::Refused;
}

} // namespace

RetVal<Json::Value> submissionBody(const Options &Values,
                                   const std::string &Input) {
  if (Values.Lines)
    return bodyFromLines(Values, Input);
  auto Body = attempt([&] { return json::parse(Input); });
  if (!Body)
    return fail(ErrorCode::InvalidArgument,
                "the input is not JSON: " + Body.error().Message);
  if (!Body->isObject())
    return fail(ErrorCode::InvalidArgument, "the input is not a JSON object");
  return *Body;
}

Verdict judgeResponse(const HttpResponse &Response, const std::string &Key) {
  auto Body = readAnswer(Response, Key);
  if (!Body)
    return judgeForeign(Response);
  Verdict Result;
  Result.Body = *Body;
  if (Response.Status == StatusOk)
    return Result;
  auto Ran = attempt([&] { return json::readString(*Body, "ran"); });
  auto After =
      attempt([&] { return json::readUintOr(*Body, "retry_after_ms", 0); });
  bool MayHaveRun = !Ran || *Ran != "no";
  Result.ComeBack = After && *After > 0;
  if (Result.ComeBack)
    Result.After = std::chrono::milliseconds(std::min(*After, MaxReturnMillis));
  Result.Code = failureCode(Response.Status, MayHaveRun, Result.ComeBack);
  return Result;
}

Json::Value failedBody(const std::string &Key, bool MayHaveRun,
                       const std::string &Reason) {
  Json::Value Body(Json::objectValue);
  if (!Key.empty())
    Body["id"] = Key;
  Body["status"] = "failed";
  Body["ran"] = MayHaveRun ? "maybe" : "no";
  Body["reason"] = Reason;
  return Body;
}

} // namespace geraniumbay::cli
