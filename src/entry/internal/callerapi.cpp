//===- callerapi.cpp - The callers' HTTP interface ------------------------===//
//
// Requests in, answers out.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/callerapi.h"

#include "entry/internal/entrymetrics.h"
#include "framework/json/json.h"
#include "ledger/submissionkey.h"

namespace geraniumbay::entry {

namespace {

constexpr const char *JobPath = "/v1/jobs";
constexpr const char *JobFolder = "/v1/jobs/";
constexpr const char *KeyHeader = "idempotency-key";
constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
/// When a caller comes back for an id that could not be issued.
constexpr Duration IssueRetry = std::chrono::seconds(1);

std::string headerOr(const HttpRequest &Request, const char *Name) {
  const std::string *Value = findHeader(Request.Headers, Name);
  return Value != nullptr ? *Value : std::string();
}

/// The caller named by a query "caller=NAME".
CallerId callerInQuery(std::string_view Query) {
  constexpr std::string_view Prefix = "caller=";
  if (Query.substr(0, Prefix.size()) != Prefix)
    return CallerId();
  return CallerId(std::string(Query.substr(Prefix.size())));
}

/// Whole seconds, rounded up: the unit of Retry-After.
std::string retrySeconds(Duration RetryAfter) {
  constexpr Duration Second = std::chrono::seconds(1);
  return std::to_string((RetryAfter + Second - Duration(1)) / Second);
}

void sendJson(IHttpExchange &Exchange, int Status, const Json::Value &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.push_back({"content-type", "application/json"});
  Response.Body = json::write(Body) + "\n";
  Exchange.reply(std::move(Response));
}

void sendResult(IHttpExchange &Exchange, const SubmissionId &Key,
                const Result &Answer) {
  Json::Value Body = resultJson(Answer);
  if (!Key.value().empty())
    Body["id"] = Key.value();
  HttpResponse Response;
  Response.Status = httpStatus(Answer);
  Response.Headers.push_back({"content-type", "application/json"});
  if (Answer.RetryAfter > Duration::zero())
    Response.Headers.push_back(
        {"retry-after", retrySeconds(Answer.RetryAfter)});
  Response.Body = json::write(Body) + "\n";
  Exchange.reply(std::move(Response));
}

} // namespace

CallerApi::CallerApi(IHttpServer &Http, Coordinator &Submissions,
                     CancelRelay &Cancels, const IClock &Clock,
                     const EntryConfig &Config, KeySource Keys,
                     Metrics &Measured, Tracer &Spans)
    : Submissions_(Submissions), Cancels_(Cancels), Clock_(Clock),
      Config_(Config), Keys_(std::move(Keys)), Measured_(Measured),
      Spans_(Spans) {
  using Exchange = std::shared_ptr<IHttpExchange>;
  Http.route("POST", JobPath,
             [this](const Exchange &Ex) { submit(Ex, false); });
  Http.route("POST", "/v1/tasks",
             [this](const Exchange &Ex) { submit(Ex, true); });
  Http.route("POST", "/v1/submissions",
             [this](const Exchange &Ex) { issueKey(*Ex); });
  Http.route("DELETE", JobFolder,
             [this](const Exchange &Ex) { cancelJob(Ex); });
  Http.route("GET", "/healthz", [](const Exchange &Ex) {
    Ex->reply({StatusOk, {}, "ok\n"});
  });
  Http.route("GET", "/readyz", [this](const Exchange &Ex) { checkReady(*Ex); });
}

void CallerApi::submit(const std::shared_ptr<IHttpExchange> &Exchange,
                       bool SingleTask) {
  RawRequest Raw;
  Raw.Body = Exchange->request().Body;
  Raw.Key = headerOr(Exchange->request(), KeyHeader);
  Raw.SingleTask = SingleTask;
  const char *Kind = SingleTask ? "task" : "job";
  Span Root = Spans_.beginServer(
      Kind, headerOr(Exchange->request(), TraceParentHeader));
  // The caller knows its submission by the key that it sent.
  auto Answer = [this, Exchange, Kind, Root,
                 Shown = SubmissionId(Raw.Key)](const Result &Given) {
    noteAnswer(Measured_, Kind, Given, Clock_.now() - Root.Start);
    endRoot(Root, Given);
    sendResult(*Exchange, Shown, Given);
  };
  if (Draining_)
    return Answer(
        notTaken(Raw, FailureReason::Draining, "this entry is stopping"));
  Admission Admitted = admit(Raw, Config_, Keys_.Private(), Clock_.now());
  if (const auto *Failure = std::get_if<Result>(&Admitted))
    return Answer(*Failure);
  WaiterHandle Who =
      Submissions_.submit(std::get<Submission>(Admitted), Root, Answer);
  Exchange->onGone([this, Who] { Submissions_.abandon(Who); });
}

void CallerApi::endRoot(Span Root, const Result &Given) {
  Root.Tags["reason"] = failureReasonName(Given.Reason);
  Spans_.end(Root);
}

void CallerApi::issueKey(IHttpExchange &Exchange) {
  Outcome<SubmissionId> Key = Keys_.Issue();
  if (!Key.ok()) {
    sendResult(Exchange, SubmissionId(),
               notRun(FailureReason::LedgerUnavailable, Key.error().Message,
                      IssueRetry));
    return;
  }
  Json::Value Body(Json::objectValue);
  Body["id"] = Key->value();
  sendJson(Exchange, StatusOk, Body);
}

void CallerApi::cancelJob(const std::shared_ptr<IHttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string Key = Request.Path.substr(std::string_view(JobFolder).size());
  SubmissionId Id(Key);
  if (!ledger::parseIssuedKey(Key))
    Id = ledger::callerKey(callerInQuery(Request.Query), Key);
  Cancels_.cancel(Id, [Exchange, Key](bool Found) {
    Json::Value Body(Json::objectValue);
    Body["id"] = Key;
    Body["status"] = Found ? "cancelling" : "not_running";
    sendJson(*Exchange, Found ? StatusAccepted : StatusNotFound, Body);
  });
}

void CallerApi::checkReady(IHttpExchange &Exchange) {
  bool Ready = !Draining_ && Config_.Document != nullptr;
  Exchange.reply({Ready ? StatusOk : StatusUnavailable,
                  {},
                  Ready ? "ready\n" : "not ready\n"});
}

} // namespace geraniumbay::entry
