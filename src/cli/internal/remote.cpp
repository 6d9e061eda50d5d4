//===- remote.cpp - Calls that a command waits for ------------------------===//
//
// One round over the processes after the other until the time is over.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/remote.h"

#include <algorithm>

namespace geraniumbay::cli {
namespace {

/// The longest wait for one process, so that a silent one leaves time for the
/// others.
constexpr Duration MaxTry = std::chrono::seconds(5);
/// Pause between two rounds, for instance while a leader is elected.
constexpr Duration RoundPause = std::chrono::milliseconds(200);
/// A call answers within its timeout; this is for the loop to notice.
constexpr Duration Slack = std::chrono::seconds(1);

bool mayAnotherAnswer(ErrorCode Code) {
  return Code == ErrorCode::Refused || Code == ErrorCode::Unavailable ||
         Code == ErrorCode::Timeout;
}

} // namespace

Remote::Remote(Dependencies &Deps, Target To, Duration Timeout)
    : Deps_(Deps), To_(std::move(To)), Timeout_(Timeout),
      Rpc_(Deps.MakeRpc(To_.Secret)) {}

Outcome<Json::Value> Remote::call(const std::string &Method,
                                  const Json::Value &Params) {
  const Time Until = Deps_.Clock.now() + Timeout_;
  while (Deps_.Clock.now() < Until) {
    if (auto Answer = tryAll(Method, Params, Until))
      return *Answer;
    Deps_.Run([] { return false; },
              std::min(RoundPause, Until - Deps_.Clock.now()));
  }
  return LastFailure_;
}

std::optional<Outcome<Json::Value>> Remote::tryAll(const std::string &Method,
                                                   const Json::Value &Params,
                                                   Time Until) {
  for (const Endpoint &Address : To_.Addresses) {
    Duration Left = Until - Deps_.Clock.now();
    if (Left <= Duration::zero())
      break;
    Outcome<Json::Value> Answer =
        callOne(Address, Method, Params, std::min(Left, MaxTry));
    if (Answer || !mayAnotherAnswer(Answer.error().Code))
      return Answer;
    MayHaveRun_ = MayHaveRun_ || Answer.error().Code != ErrorCode::Refused;
    LastFailure_ = Answer.error();
    LastFailure_.Message = Address.text() + ": " + LastFailure_.Message;
  }
  return std::nullopt;
}

Outcome<Json::Value> Remote::callOne(const Endpoint &To,
                                     const std::string &Method,
                                     const Json::Value &Params,
                                     Duration Timeout) {
  // Shared with the callback, which may outlive this call.
  auto Answer = std::make_shared<std::optional<Outcome<Json::Value>>>();
  Rpc_->call(To, Method, Params, Timeout, [Answer](Outcome<Json::Value> Got) {
    Answer->emplace(std::move(Got));
  });
  Deps_.Run([&Answer] { return Answer->has_value(); }, Timeout + Slack);
  if (!Answer->has_value())
    return Error{ErrorCode::Timeout, "no answer"};
  return **Answer;
}

ExitCode exitCodeOf(const Error &Why, bool MayHaveRun) {
  switch (Why.Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::NotFound:
  case ErrorCode::Conflict:
    return ExitCode::Refused;
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
  case ErrorCode::Refused:
    return MayHaveRun ? ExitCode::Unknown : ExitCode::NotRun;
  case ErrorCode::Corrupt:
  case ErrorCode::Io:
  case ErrorCode::Internal:
    break;
  }
  return MayHaveRun ? ExitCode::Unknown : ExitCode::Failure;
}

} // namespace geraniumbay::cli
