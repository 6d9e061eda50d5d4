//===- submitter.cpp - Sends a job until it has its answer ----------------===//
//
// The loop of attempts.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/submitter.h"

#include "cli/internal/textoutput.h"
#include "framework/json/json.h"

#include <algorithm>

namespace geraniumbay::cli {
namespace {

constexpr const char *KeyHeader = "idempotency-key";
/// Pause after an entry that could not be reached.
constexpr Duration RetryPause = std::chrono::milliseconds(300);
/// How often the progress is shown.
constexpr Duration ProgressInterval = std::chrono::seconds(1);
/// The longest wait for one entry to issue an id.
constexpr Duration IssueTimeout = std::chrono::seconds(3);
/// A call answers within its timeout; this is for the loop to notice.
constexpr Duration Slack = std::chrono::seconds(1);

HttpRequest post(const char *Path, std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = Path;
  Request.Headers.push_back({"content-type", "application/json"});
  Request.Body = std::move(Body);
  return Request;
}

} // namespace

Submitter::Submitter(Dependencies &Deps, Target Entries, Duration Wait,
                     std::ostream &Err)
    : Deps_(Deps), Entries_(std::move(Entries)), Err_(Err),
      Begin_(Deps.Clock.now()), Until_(Begin_ + Wait) {}

void Submitter::wait(const std::function<bool()> &Done, Duration Limit) {
  const Time End = Deps_.Clock.now() + Limit;
  while (!Done() && Deps_.Clock.now() < End) {
    Deps_.Run(Done, std::min(ProgressInterval, End - Deps_.Clock.now()));
    if (!Deps_.Terminal)
      continue;
    auto Waited = std::chrono::duration_cast<std::chrono::seconds>(
        Deps_.Clock.now() - Begin_);
    Err_ << "\r" << Activity_ << ", " << Waited.count() << " s   "
         << std::flush;
  }
}

Outcome<HttpResponse> Submitter::send(const HttpRequest &Request) {
  const Endpoint &To = Entries_.Addresses[Turn_];
  const Duration Limit = Request.Path == "/v1/submissions"
                             ? std::min(left(), IssueTimeout)
                             : left();
  // Shared with the callback, which may outlive this call.
  auto Answer = std::make_shared<std::optional<Outcome<HttpResponse>>>();
  HttpCallId Call =
      Deps_.Http.call(To, Request, Limit, [Answer](Outcome<HttpResponse> Got) {
        Answer->emplace(std::move(Got));
      });
  wait([&Answer] { return Answer->has_value(); }, Limit + Slack);
  if (!Answer->has_value()) {
    Deps_.Http.cancel(Call);
    Answer->emplace(Error{ErrorCode::Timeout, "no answer in time"});
  }
  if (!**Answer)
    Turn_ = (Turn_ + 1) % Entries_.Addresses.size();
  return **Answer;
}

Outcome<std::string> Submitter::issueKey() {
  Activity_ = "asking for an id";
  Error Last{ErrorCode::Unavailable, "no entry answered"};
  while (left() > Duration::zero()) {
    Outcome<HttpResponse> Got = send(post("/v1/submissions", "{}"));
    if (Got) {
      auto Id = attempt([&]() -> RetVal<std::string> {
        BOOST_LEAF_AUTO(Body, json::parse(Got->Body));
        return json::readString(Body, "id");
      });
      if (Got->Status == 200 && Id)
        return *Id;
      Last.Message = "HTTP status " + std::to_string(Got->Status);
      Turn_ = (Turn_ + 1) % Entries_.Addresses.size();
    } else {
      Last.Message = Got.error().Message;
    }
    wait([] { return false; }, std::min(RetryPause, left()));
  }
  return Last;
}

Verdict Submitter::judge(const std::string &Key,
                         const Outcome<HttpResponse> &Got) {
  Verdict Result;
  if (Got) {
    Result = judgeResponse(*Got, Key);
  } else {
    bool Arrived = Got.error().Code != ErrorCode::Refused;
    Result.Code = Arrived ? ExitCode::Unknown : ExitCode::NotRun;
    Result.ComeBack = true;
    Result.After = RetryPause;
    Result.Body = failedBody("", Arrived, Got.error().Message);
  }
  MayHaveRun_ = MayHaveRun_ || Result.Code == ExitCode::Unknown;
  return Result;
}

Verdict Submitter::submit(const std::string &Key, Json::Value Body) {
  Verdict Last;
  Last.Code = ExitCode::NotRun;
  Last.Body = failedBody(Key, false, "no time left");
  Activity_ = "waiting for the answer";
  while (left() > Duration::zero()) {
    HttpRequest Request = post("/v1/jobs", json::write(Body));
    Request.Headers.push_back({KeyHeader, Key});
    Last = judge(Key, send(Request));
    if (!Last.ComeBack)
      break;
    Body["returning"] = true;
    auto Reason =
        attempt([&] { return json::readStringOr(Last.Body, "reason", ""); });
    Activity_ = "coming back" + (Reason ? ": " + terminalSafe(*Reason) : "");
    wait([] { return false; }, std::min(Last.After, left()));
    Activity_ = "waiting for the answer";
  }
  return lastVerdict(Key, std::move(Last));
}

/// "Not run" says nothing of an earlier attempt whose answer was lost: the
/// entry that says it may not know of that attempt.
Verdict Submitter::lastVerdict(const std::string &Key, Verdict Last) const {
  Last.Body["id"] = Key;
  bool SaysNotRun =
      Last.Code == ExitCode::NotRun || Last.Code == ExitCode::Refused;
  if (!MayHaveRun_ || !SaysNotRun)
    return Last;
  Last.Code = ExitCode::Unknown;
  Last.Body["ran"] = "maybe";
  return Last;
}

} // namespace geraniumbay::cli
