//===- jobgateway.cpp - Client of the leading control VM ------------------===//
//
// Sends requests, follows redirections to the leader, and searches for it.
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
/// How long a request searches for the leader: the time of an election. After
/// that the caller is told to retry.
constexpr Duration SearchTime = std::chrono::milliseconds(1200);
constexpr Duration SearchPause = std::chrono::milliseconds(20);
/// The retry delay given to callers while there is no leader: an election takes
/// one to two seconds.
constexpr Duration RetryAfterNoLeader = std::chrono::seconds(1);
/// Concurrent probes: enough to find the leader while some VMs don't answer.
constexpr std::ptrdiff_t MaxProbes = 4;
/// A leader that has not confirmed itself for this long may have been replaced.
constexpr Duration LeaderReadyFor = std::chrono::milliseconds(2500);

} // namespace

/// A request that has not been answered.
struct JobGateway::PendingRequest {
  const char *Method;
  Json::Value Params;
  Callback Done;
  Time SearchUntil;
  Time Deadline;
  /// A control VM may have executed it.
  bool MaybeTaken = false;
};

JobGateway::JobGateway(std::vector<Endpoint> ControlVms, IRpcClient &Client,
                       const IClock &Clock, ITimers &Timers, Sync Exchange)
    : ControlVms_(std::move(ControlVms)), Client_(Client), Clock_(Clock),
      Timers_(Timers), Sync_(std::move(Exchange)) {
  assert(!ControlVms_.empty() && "the settings name a control VM");
}

void JobGateway::start() { probe(); }

bool JobGateway::ready() const {
  return LeaderReadyAt_ && Clock_.now() - *LeaderReadyAt_ < LeaderReadyFor;
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
  auto New = std::make_shared<PendingRequest>();
  New->Method = Method;
  New->Params = std::move(Params);
  New->Done = std::move(Done);
  New->SearchUntil = Now + SearchTime;
  New->Deadline = Now + Request.Timeout;
  sendAttempt(New);
}

Endpoint JobGateway::target() {
  if (Leader_)
    return *Leader_;
  NextVm_ = (NextVm_ + 1) % ControlVms_.size();
  return ControlVms_[NextVm_];
}

void JobGateway::sendAttempt(const std::shared_ptr<PendingRequest> &Request) {
  Endpoint To = target();
  Duration Left = std::max(Request->Deadline - Clock_.now(),
                           Duration(std::chrono::milliseconds(1)));
  Request->Params["left_us"] = Json::Int64(Left.count());
  Client_.call(To, Request->Method, Request->Params, Left,
               [this, Request, To](const Outcome<Json::Value> &Result) {
                 handleReply(Request, To, Result);
               });
}

void JobGateway::handleReply(const std::shared_ptr<PendingRequest> &Request,
                             const Endpoint &From,
                             const Outcome<Json::Value> &Result) {
  if (!Result) {
    noteLeaderLost(From, Result.error().Message.c_str());
    // Submissions and queries are idempotent, so they may be sent to another
    // leader even if this one has executed them.
    if (Result.error().Code != ErrorCode::Refused)
      Request->MaybeTaken = true;
    Request->SearchUntil = Clock_.now() + SearchTime;
    return retry(Request);
  }
  if (Result->isMember("leader")) {
    if (Result->isMember("maybe_taken"))
      Request->MaybeTaken = true;
    followLeader(*Result);
    return retry(Request);
  }
  auto Answer = attempt([&] { return wire::readAnswer(*Result); });
  if (Answer) {
    Leader_ = From;
    // The leader only knows its own part; an earlier one may have started
    // tasks.
    if (Answer->Outcome == JobOutcome::NotTaken && Request->MaybeTaken)
      Answer->Outcome = JobOutcome::Unknown;
    return Request->Done(*Answer);
  }
  Request->Done(outcome(JobOutcome::Unknown, Answer.error().Message));
}

void JobGateway::retry(const std::shared_ptr<PendingRequest> &Request) {
  if (Clock_.now() < std::min(Request->SearchUntil, Request->Deadline)) {
    Duration Pause = Leader_ ? Duration::zero() : SearchPause;
    Timers_.after(Pause, [this, Request] { sendAttempt(Request); });
    return;
  }
  JobAnswer Answer =
      outcome(Request->MaybeTaken ? JobOutcome::Unknown : JobOutcome::NotTaken);
  Answer.RetryAfter = RetryAfterNoLeader;
  Answer.Reason = "no leader was found";
  Request->Done(Answer);
}

void JobGateway::followLeader(const Json::Value &Result) {
  Leader_.reset();
  auto Named = attempt([&] { return wire::readEndpoint(Result, "leader"); });
  if (!Named)
    return;
  Leader_ = *Named;
  addControlVms({*Named});
}

void JobGateway::noteLeaderLost(const Endpoint &At, const char *Reason) {
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
  auto Found = Probes_.find(*Leader_);
  return Found == Probes_.end() ? 0 : Found->second.Unanswered;
}

std::optional<Endpoint> JobGateway::nextToProbe() {
  auto IsUnderWay = [](const auto &Entry) { return Entry.second.SentAt; };
  if (std::count_if(Probes_.begin(), Probes_.end(), IsUnderWay) >= MaxProbes)
    return std::nullopt;
  if (Leader_) {
    const std::optional<Time> &Sent = Probes_[*Leader_].SentAt;
    if (!Sent)
      return Leader_;
    if (Clock_.now() - *Sent < scheduling::replyTimeout(0))
      return std::nullopt;
    // The leader's answer is overdue: another VM may lead by now.
  }
  for (std::size_t I = 0; I < ControlVms_.size(); ++I) {
    NextVm_ = (NextVm_ + 1) % ControlVms_.size();
    if (!Probes_[ControlVms_[NextVm_]].SentAt)
      return ControlVms_[NextVm_];
  }
  return std::nullopt;
}

void JobGateway::probe() {
  if (std::optional<Endpoint> To = nextToProbe()) {
    Probe &Current = Probes_[*To];
    Current.SentAt = Clock_.now();
    Client_.call(*To, wire::method::Sync, Sync_.MakeRequest(),
                 scheduling::replyTimeout(Current.Unanswered),
                 [this, To = *To](const Outcome<Json::Value> &Result) {
                   handleProbeReply(To, Result);
                 });
  }
  bool Urgent = !ready() || Sync_.IsUrgent();
  Duration Pause =
      Urgent ? scheduling::urgentPollInterval(SyncPause_, unansweredByLeader())
             : SyncPause_;
  Timers_.after(Pause, [this] { probe(); });
}

void JobGateway::handleProbeReply(const Endpoint &From,
                                  const Outcome<Json::Value> &Result) {
  Probe &Current = Probes_[From];
  Time Sent = Current.SentAt.value_or(Clock_.now());
  Current.SentAt.reset();
  // Any failure after that time counts as a time-out: a VM that is too slow to
  // accept connections fails in another way.
  bool TimedOut = !Result && Clock_.now() - Sent >=
                                 scheduling::replyTimeout(Current.Unanswered);
  Current.Unanswered = TimedOut ? Current.Unanswered + 1 : 0;
  if (!Result)
    return noteLeaderLost(From, Result.error().Message.c_str());
  Sync_.HandleReply(*Result, From);
  auto Members = attempt([&] { return json::readArray(*Result, "members"); });
  if (Members)
    for (const Json::Value &Each : *Members) {
      auto At = attempt([&] { return parseEndpoint(Each.asString()); });
      if (At)
        addControlVms({*At});
    }
  if (!wire::isSet(*Result, "ready"))
    return followLeader(*Result);
  if (!ready())
    logEvent(LogLevel::Info, Module, "leader_found", {{"leader", From.text()}});
  Leader_ = From;
  LeaderReadyAt_ = Sent;
  Duration Pause(
      static_cast<Duration::rep>(wire::numberOf(*Result, "ask_after_us")));
  SyncPause_ = std::clamp(Pause, scheduling::MinPollInterval,
                          scheduling::MaxPollInterval);
}

} // namespace geraniumbay::jobs
