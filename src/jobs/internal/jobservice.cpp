//===- jobservice.cpp - Jobs on a control VM ------------------------------===//
//
// Leadership, and jobs submitted by entries. The reply to the entries' periodic
// sync request is in servicesync.cpp.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobservice.h"

#include "framework/log/log.h"
#include "jobs/internal/acknowledge.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Retry delay for callers while a new leader takes over.
constexpr Duration RetryAfterChange = std::chrono::milliseconds(500);

/// How long a transient job may wait to start if its entry names no limit.
constexpr Duration DefaultStartWait = std::chrono::seconds(1);
/// A leader shares its workers every second. A list older than two such
/// intervals may lack workers that have started since.
constexpr Duration SharedListValidity = std::chrono::seconds(2);

/// The host and path of an entry's request.
struct QueueRequest {
  std::string Host;
  std::string Path;
};

RetVal<QueueRequest> readQueueRequest(const Json::Value &Params) {
  QueueRequest Result;
  BOOST_LEAF_ASSIGN(Result.Host, json::readString(Params, "host"));
  BOOST_LEAF_ASSIGN(Result.Path, json::readString(Params, "path"));
  return Result;
}
JobAnswer unconfirmed(const Error &Cause) {
  if (Cause.Code != ErrorCode::Unavailable)
    return outcome(JobOutcome::Unknown, Cause.Message);
  JobAnswer Result = outcome(JobOutcome::NotTaken, Cause.Message);
  Result.RetryAfter = RetryAfterChange;
  return Result;
}

} // namespace

JobService::JobService(JobServiceDependencies Deps, RoutingReader Reader,
                       LeaseSettings Lease)
    : Deps_(std::move(Deps)), Reader_(std::move(Reader)), Lease_(Lease) {}

void JobService::start() {
  registerMethods();
  Deps_.Log.onChanged([this] { handleLogChange(); });
  handleLogChange();
  tick();
  shareWorkers();
  reportHeardWorkers();
}

void JobService::registerMethods() {
  auto Register = [this](const char *Name, auto Member) {
    Deps_.Server.method(
        Name, [this, Member](const Json::Value &Params, const Reply &Answer) {
          (this->*Member)(Params, Answer);
        });
  };
  Register(wire::method::Submit, &JobService::submit);
  Register(wire::method::State, &JobService::state);
  Register(wire::method::Cancel, &JobService::cancel);
  Register(wire::method::Pending, &JobService::pending);
  Register(wire::method::Share, &JobService::applySharedWorkers);
  Register(wire::method::Announce, &JobService::handleAnnouncements);
  Register(wire::method::Heard, &JobService::handleHeardWorkers);
  Register(wire::method::Sync, &JobService::sync);
  Register(wire::method::Document, &JobService::document);
  Register(wire::method::Workers, &JobService::workers);
  registerEvacuationMethods();
  Deps_.Server.method(wire::method::Leave, [this](const Json::Value &Params,
                                                  const Reply &Answer) {
    auto Worker = attempt([&] { return json::readString(Params, "worker"); });
    if (!Worker)
      return Answer(Worker.error());
    handleLeave(WorkerId(*Worker), true, acknowledgeBy(Answer));
  });
  Deps_.Server.method(wire::method::PutRouting,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        auto Document = attempt([&] {
                          return json::readString(Params, "document");
                        });
                        if (!Document)
                          return Answer(Document.error());
                        handleRouting(*Document, true, acknowledgeBy(Answer));
                      });
  Deps_.Server.method(
      wire::method::GetRouting,
      [this](const Json::Value & /*Params*/, const Reply &Answer) {
        if (!serves())
          return Answer(Error{ErrorCode::Unavailable, "not the leader"});
        Json::Value Result(Json::objectValue);
        Result["document"] = Deps_.Log.configuration().Document;
        Answer(std::move(Result));
      });
}

void JobService::handleLogChange() {
  applyEvacuations();
  const control::ConfigSnapshot &Now = Deps_.Log.configuration();
  if (Now.Version != RoutingConfigVersion_) {
    RoutingConfigVersion_ = Now.Version;
    auto Read = attempt([&] { return Reader_(Now.Document); });
    if (Read)
      Routing_ = std::move(*Read);
    logEvent(Read ? LogLevel::Info : LogLevel::Error, Module,
             "routing_in_force",
             {{"configuration", Now.Version},
              {"document", Routing_.Version.value()},
              {"queues", Routing_.Queues.size()},
              {"reason", Read ? "" : Read.error().Message.c_str()}});
  }
  auto Term = Deps_.Log.leadsIn();
  if (Term == Term_)
    return;
  if (Term_)
    logEvent(LogLevel::Warning, Module, "leads_no_more",
             {{"term", Term_->value()}});
  Scheduler_.reset();
  Term_ = Term;
  Shared_.clear();
  LeadsSince_ = Deps_.Clock.now();
  InheritsAllWorkers_ =
      AllSharedAt_ && LeadsSince_ - *AllSharedAt_ < SharedListValidity;
  if (!Term)
    return;
  logEvent(LogLevel::Info, Module, "leads",
           {{"term", Term->value()}, {"workers", Directory_.Workers.size()}});
  if (!Deps_.Store.Jobs.empty())
    startScheduler();
}

void JobService::startScheduler() {
  if (Scheduler_)
    return;
  SchedulerDependencies Deps{poolOfAll(),
                             [this] { return Deps_.Log.holdsLease(); },
                             [](FencingToken /*Token*/) {
                               // A token of a later leader; this one learns of
                               // that leader from the log.
                             },
                             [this] { return knowsAllWorkers(); },
                             &Deps_.Log,
                             Deps_.Store,
                             Evacuated_,
                             Deps_.Workers,
                             Deps_.Clock,
                             Deps_.Timers,
                             Deps_.Measured};
  Scheduler_ =
      std::make_unique<Scheduler>(std::move(Deps), tokenOf(*Term_), Lease_);
  Scheduler_->applyWorkers(Directory_);
}

void JobService::tick() {
  dropSilentWorkers(Directory_, Deps_.Clock.now());
  applyEvacuations();
  if (Scheduler_)
    Scheduler_->applyWorkers(Directory_);
  divideIfLarge();
  Deps_.Timers.after(TickInterval, [this] { tick(); });
}

Json::Value JobService::redirection() const {
  Json::Value Result(Json::objectValue);
  auto Leader = Term_ ? std::nullopt : Deps_.Log.leaderAddress();
  Result["leader"] = Leader ? Leader->text() : "";
  return Result;
}

std::optional<QueueMatch>
JobService::findRequestedQueue(const Json::Value &Params,
                               const Reply &Answer) const {
  auto Request = attempt([&] { return readQueueRequest(Params); });
  QueueMatch Match = Request ? findQueue(Routing_, Request->Host, Request->Path)
                             : QueueMatch();
  if (Match.Found)
    return Match;
  Answer(wire::write(Request
                         ? outcome(JobOutcome::NoQueue)
                         : outcome(JobOutcome::Invalid, "malformed message")));
  return std::nullopt;
}

void JobService::submit(const Json::Value &Params, const Reply &Answer) {
  if (!serves() || Stopping_)
    return Answer(redirection());
  auto Spec = attempt([&] { return wire::readSpec(Params["job"]); });
  if (!Spec)
    return Answer(
        wire::write(outcome(JobOutcome::Invalid, "malformed message")));
  auto Requested = findRequestedQueue(Params, Answer);
  if (!Requested)
    return;
  const QueueMatch &Match = *Requested;
  startScheduler();
  if (Spec->Transient)
    return runTransient(newJob(Match, std::move(*Spec)), Params, Answer);
  if (findJob(Deps_.Store, JobId(Match.Rest)))
    return Answer(wire::write(outcome(JobOutcome::Accepted)));
  Time StartedAt = Deps_.Clock.now();
  JobId Id(Match.Rest);
  Scheduler_->accept(
      newJob(Match, std::move(*Spec)),
      [this, Answer, Id, StartedAt](const Outcome<Done> &Committed) {
        Deps_.Measured.observe("geraniumbay_job_accept_seconds",
                               "From a submission to its commit.", {},
                               Deps_.Clock.now() - StartedAt);
        logEvent(
            LogLevel::Info, Module, "job_submitted",
            {{"job", Id},
             {"outcome",
              Committed ? "accepted" : errorCodeName(Committed.error().Code)},
             {"commit_us", (Deps_.Clock.now() - StartedAt).count()}});
        Answer(wire::write(Committed ? outcome(JobOutcome::Accepted)
                                     : unconfirmed(Committed.error())));
      });
}

void JobService::runTransient(Job New, const Json::Value &Params,
                              const Reply &Answer) {
  auto TimeLeft =
      attempt([&] { return json::readUintOr(Params, "left_us", 0); });
  Duration MaxStartWait = TimeLeft && *TimeLeft != 0
                              ? Duration(static_cast<Duration::rep>(*TimeLeft))
                              : DefaultStartWait;
  Time StartedAt = Deps_.Clock.now();
  JobId Id = New.Id;
  Scheduler_->run(
      std::move(New),
      TransientRequest{WaiterId(), Duration(0), MaxStartWait, true},
      [this, Answer, Id, StartedAt](const Outcome<TransientEnd> &Ended) {
        Duration Elapsed = Deps_.Clock.now() - StartedAt;
        Deps_.Measured.observe("geraniumbay_transient_job_seconds",
                               "From a submission to its end.", {}, Elapsed);
        logEvent(
            LogLevel::Info, Module, "job_answered",
            {{"job", Id}, {"ok", Ended.ok()}, {"took_us", Elapsed.count()}});
        if (Ended)
          return Answer(wire::write(answerOfEnd(*Ended)));
        // Tasks of the job may have started under this leader.
        Json::Value Redirect = redirection();
        Redirect["maybe_taken"] = true;
        Answer(std::move(Redirect));
      });
}

void JobService::state(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(redirection());
  auto Match = findRequestedQueue(Params, Answer);
  if (!Match)
    return;
  JobId Id(Match->Rest);
  if (!Scheduler_)
    return answerState(Id, Answer);
  Scheduler_->whenRecorded(Id, [this, Id, Answer] { answerState(Id, Answer); });
}

void JobService::answerState(const JobId &Id, const Reply &Answer) {
  // The leadership may have been lost while the end of a task was being
  // recorded.
  if (!serves())
    return Answer(redirection());
  const Job *Found = findJob(Deps_.Store, Id);
  JobAnswer Result = outcome(Found ? JobOutcome::Known : JobOutcome::NoJob);
  if (Found) {
    Result.State = Found->State;
    Result.Begun = Scheduler_ && Scheduler_->hasBegun(Found->Id);
  }
  Answer(wire::write(Result));
}

void JobService::cancel(const Json::Value &Params, const Reply &Answer) {
  if (!serves() || Stopping_)
    return Answer(redirection());
  auto Match = findRequestedQueue(Params, Answer);
  if (!Match)
    return;
  const Job *Found = findJob(Deps_.Store, JobId(Match->Rest));
  if (!Found)
    return Answer(wire::write(outcome(JobOutcome::NoJob)));
  if (Found->State != JobState::Active)
    return Answer(wire::write(outcome(JobOutcome::Cancelled)));
  startScheduler();
  Scheduler_->cancel(Found->Id, [Answer](const Outcome<Done> &Committed) {
    Answer(wire::write(Committed ? outcome(JobOutcome::Cancelled)
                                 : unconfirmed(Committed.error())));
  });
}

void JobService::pending(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(redirection());
  auto Match = findRequestedQueue(Params, Answer);
  if (!Match)
    return;
  JobAnswer Result = outcome(JobOutcome::Known);
  if (Scheduler_)
    Result.Pending = Scheduler_->pending(Match->Found->Name);
  Answer(wire::write(Result));
}

void JobService::prepareStop(std::function<void()> Done) {
  if (!Term_)
    return Deps_.Log.giveUpVote(std::move(Done));
  if (!Stopping_)
    logEvent(LogLevel::Info, Module, "leadership_handover",
             {{"term", Term_->value()}});
  Stopping_ = true;
  Deps_.Log.handOver();
  // Pending entries of the log are committed first, so the handover may take a
  // few tries.
  constexpr Duration RetryInterval = std::chrono::milliseconds(10);
  Deps_.Timers.after(RetryInterval,
                     [this, Done = std::move(Done)] { prepareStop(Done); });
}

} // namespace geraniumbay::jobs
