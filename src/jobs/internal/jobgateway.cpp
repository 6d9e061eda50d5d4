//===- jobgateway.cpp - Asking the leader about jobs ----------------------===//
//
// Sending, following a redirection, and looking for the leader.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobgateway.h"

#include "framework/log/log.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long a request may look for the leader: the time in which one is
/// elected. After it the caller is told to come back instead.
constexpr Duration SearchTime = std::chrono::milliseconds(1200);
constexpr Duration SearchPause = std::chrono::milliseconds(20);
/// What callers are told to wait while there is no leader: an election takes
/// one to two seconds.
constexpr Duration RetryAfterNoLeader = std::chrono::seconds(1);
/// VMs that are asked at a time: enough to find the leader among such as do not
/// answer.
constexpr std::ptrdiff_t MaxProbes = 4;
/// A leader that has not confirmed itself for this long may be none any more.
constexpr Duration ReadyFor = std::chrono::milliseconds(2500);

} // namespace

/// One request on its way.
struct JobGateway::Ask {
  const char *Method;
  Json::Value Params;
  Callback Done;
  Time SearchUntil;
  Time GiveUp;
  /// A control VM may have acted on it.
  bool MaybeTaken = false;
};

JobGateway::JobGateway(std::vector<Endpoint> ControlVms, IRpcClient &Client,
                       const IClock &Clock, ITimers &Timers, Sync Exchange)
    : ControlVms_(std::move(ControlVms)), Client_(Client), Clock_(Clock),
      Timers_(Timers), Exchange_(std::move(Exchange)) {
  assert(!ControlVms_.empty() && "the settings name a control VM");
}

void JobGateway::start() { probe(); }

bool JobGateway::ready() const {
  return ReadyAt_ && Clock_.now() - *ReadyAt_ < ReadyFor;
}

void JobGateway::addControlVms(const std::vector<Endpoint> &Found) {
  for (const Endpoint &Each : Found)
    if (std::find(ControlVms_.begin(), ControlVms_.end(), Each) ==
        ControlVms_.end())
      ControlVms_.push_back(Each);
}

void JobGateway::submit(const JobRequest &Request, const JobSpec &Spec,
                        Callback Done) {
  Json::Value Params(Json::objectValue);
  Params["job"] = wire::write(Spec);
  send(wire::method::Submit, Request, std::move(Params), std::move(Done));
}

void JobGateway::state(const JobRequest &Request, Callback Done) {
  send(wire::method::State, Request, Json::Value(Json::objectValue),
       std::move(Done));
}

void JobGateway::cancel(const JobRequest &Request, Callback Done) {
  send(wire::method::Cancel, Request, Json::Value(Json::objectValue),
       std::move(Done));
}

void JobGateway::pending(const JobRequest &Request, Callback Done) {
  send(wire::method::Pending, Request, Json::Value(Json::objectValue),
       std::move(Done));
}

void JobGateway::send(const char *Method, const JobRequest &Request,
                      Json::Value Params, Callback Done) {
  Params["host"] = Request.Host;
  Params["path"] = Request.Path;
  Time Now = Clock_.now();
  auto What = std::make_shared<Ask>();
  What->Method = Method;
  What->Params = std::move(Params);
  What->Done = std::move(Done);
  What->SearchUntil = Now + SearchTime;
  What->GiveUp = Now + Request.Timeout;
  attemptAsk(What);
}

Endpoint JobGateway::target() {
  if (Leader_)
    return *Leader_;
  NextVm_ = (NextVm_ + 1) % ControlVms_.size();
  return ControlVms_[NextVm_];
}

void JobGateway::attemptAsk(const std::shared_ptr<Ask> &What) {
  Endpoint To = target();
  Duration Left = std::max(What->GiveUp - Clock_.now(),
                           Duration(std::chrono::milliseconds(1)));
  What->Params["left_us"] = Json::Int64(Left.count());
  Client_.call(To, What->Method, What->Params, Left,
               [this, What, To](const Outcome<Json::Value> &Result) {
                 answered(What, To, Result);
               });
}

void JobGateway::answered(const std::shared_ptr<Ask> &What,
                          const Endpoint &From,
                          const Outcome<Json::Value> &Result) {
  if (!Result) {
    lost(From, Result.error().Message.c_str());
    // Submissions and questions are idempotent, so they may go to another
    // leader even if this one took them.
    if (Result.error().Code != ErrorCode::Refused)
      What->MaybeTaken = true;
    What->SearchUntil = Clock_.now() + SearchTime;
    return tryAgain(What);
  }
  if (Result->isMember("leader")) {
    if (Result->isMember("maybe_taken"))
      What->MaybeTaken = true;
    follow(*Result);
    return tryAgain(What);
  }
  auto Answer = attempt([&] { return wire::readAnswer(*Result); });
  if (Answer) {
    Leader_ = From;
    // The leader speaks for itself; one before it may have started tasks.
    if (Answer->Outcome == JobOutcome::NotTaken && What->MaybeTaken)
      Answer->Outcome = JobOutcome::Unknown;
    return What->Done(*Answer);
  }
  What->Done(outcome(JobOutcome::Unknown, Answer.error().Message));
}

void JobGateway::tryAgain(const std::shared_ptr<Ask> &What) {
  if (Clock_.now() < std::min(What->SearchUntil, What->GiveUp)) {
    Duration Pause = Leader_ ? Duration::zero() : SearchPause;
    Timers_.after(Pause, [this, What] { attemptAsk(What); });
    return;
  }
  JobAnswer Answer =
      outcome(What->MaybeTaken ? JobOutcome::Unknown : JobOutcome::NotTaken);
  Answer.RetryAfter = RetryAfterNoLeader;
  Answer.Reason = "no leader was found";
  What->Done(Answer);
}

void JobGateway::follow(const Json::Value &Result) {
  Leader_.reset();
  auto Named = attempt([&] { return wire::readEndpoint(Result, "leader"); });
  if (!Named)
    return;
  Leader_ = *Named;
  addControlVms({*Named});
}

void JobGateway::lost(const Endpoint &At, const char *Reason) {
  if (Leader_ != At)
    return;
  Leader_.reset();
  logEvent(LogLevel::Warning, Module, "leader_lost",
           {{"leader", At.text()}, {"reason", Reason}});
}

void JobGateway::fetch(const Endpoint &From, const char *Method,
                       Json::Value Params, Duration Timeout,
                       FetchCallback Done) {
  Client_.call(From, Method, std::move(Params), Timeout, std::move(Done));
}

std::size_t JobGateway::unansweredByLeader() const {
  if (!Leader_)
    return 0;
  auto Found = Questions_.find(*Leader_);
  return Found == Questions_.end() ? 0 : Found->second.Unanswered;
}

std::optional<Endpoint> JobGateway::nextToProbe() {
  auto IsUnderWay = [](const auto &Entry) { return Entry.second.Sent; };
  if (std::count_if(Questions_.begin(), Questions_.end(), IsUnderWay) >=
      MaxProbes)
    return std::nullopt;
  if (Leader_) {
    const std::optional<Time> &Sent = Questions_[*Leader_].Sent;
    if (!Sent)
      return Leader_;
    if (Clock_.now() - *Sent < scheduling::replyTimeout(0))
      return std::nullopt;
    // Another one may lead by now.
  }
  for (std::size_t I = 0; I < ControlVms_.size(); ++I) {
    NextVm_ = (NextVm_ + 1) % ControlVms_.size();
    if (!Questions_[ControlVms_[NextVm_]].Sent)
      return ControlVms_[NextVm_];
  }
  return std::nullopt;
}

void JobGateway::probe() {
  if (std::optional<Endpoint> To = nextToProbe()) {
    Question &Of = Questions_[*To];
    Of.Sent = Clock_.now();
    Client_.call(*To, wire::method::Sync, Exchange_.Ask(),
                 scheduling::replyTimeout(Of.Unanswered),
                 [this, To = *To](const Outcome<Json::Value> &Result) {
                   probed(To, Result);
                 });
  }
  bool Urgent = !ready() || Exchange_.IsUrgent();
  Duration Pause =
      Urgent ? scheduling::urgentPollInterval(AskPause_, unansweredByLeader())
             : AskPause_;
  Timers_.after(Pause, [this] { probe(); });
}

void JobGateway::probed(const Endpoint &From,
                        const Outcome<Json::Value> &Result) {
  Question &Of = Questions_[From];
  Time Sent = Of.Sent.value_or(Clock_.now());
  Of.Sent.reset();
  // A VM that has no turn for new connections is slow too.
  bool TimedOut =
      !Result && Clock_.now() - Sent >= scheduling::replyTimeout(Of.Unanswered);
  Of.Unanswered = TimedOut ? Of.Unanswered + 1 : 0;
  if (!Result)
    return lost(From, Result.error().Message.c_str());
  Exchange_.Take(*Result, From);
  auto Members = attempt([&] { return json::readArray(*Result, "members"); });
  if (Members)
    for (const Json::Value &Each : *Members) {
      auto At = attempt([&] { return parseEndpoint(Each.asString()); });
      if (At)
        addControlVms({*At});
    }
  if (!wire::isSet(*Result, "ready"))
    return follow(*Result);
  if (!ready())
    logEvent(LogLevel::Info, Module, "leader_found", {{"leader", From.text()}});
  Leader_ = From;
  ReadyAt_ = Sent;
  Duration Pause(
      static_cast<Duration::rep>(wire::numberOf(*Result, "ask_after_us")));
  AskPause_ = std::clamp(Pause, scheduling::MinPollInterval,
                         scheduling::MaxPollInterval);
}

} // namespace geraniumbay::jobs
