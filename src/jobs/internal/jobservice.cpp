//===- jobservice.cpp - Jobs on a control VM ------------------------------===//
//
// Leadership, and the jobs that entries bring. What entries are told in return
// for their frequent question is in servicesync.cpp.
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
/// What callers wait when a leader is just taking over.
constexpr Duration RetryAfterChange = std::chrono::milliseconds(500);

/// How long a transient job may wait for its start if its entry does not say.
constexpr Duration UsualPatience = std::chrono::seconds(1);
/// A leader shares its workers every second. A list that is older than two of
/// these may lack workers that have come since.
constexpr Duration SharedListLasts = std::chrono::seconds(2);

/// A request of an entry.
struct Place {
  std::string Host;
  std::string Path;
};

RetVal<Place> readPlace(const Json::Value &Params) {
  Place Result;
  BOOST_LEAF_ASSIGN(Result.Host, json::readString(Params, "host"));
  BOOST_LEAF_ASSIGN(Result.Path, json::readString(Params, "path"));
  return Result;
}

/// The answer to a change that the log did not confirm.
JobAnswer unconfirmed(const Error &Why) {
  if (Why.Code != ErrorCode::Unavailable)
    return outcome(JobOutcome::Unknown, Why.Message);
  JobAnswer Result = outcome(JobOutcome::NotTaken, Why.Message);
  Result.RetryAfter = RetryAfterChange;
  return Result;
}

} // namespace

JobService::JobService(JobServiceNeeds Needs, RoutingReader Reader,
                       LeaseSettings Lease)
    : Needs_(std::move(Needs)), Reader_(std::move(Reader)), Lease_(Lease) {}

void JobService::start() {
  offerMethods();
  Needs_.Log.onChanged([this] { follow(); });
  follow();
  tick();
  shareWorkers();
  tellHeard();
}

void JobService::offerMethods() {
  auto Offer = [this](const char *Name, auto Member) {
    Needs_.Server.method(
        Name, [this, Member](const Json::Value &Params, const Reply &Answer) {
          (this->*Member)(Params, Answer);
        });
  };
  Offer(wire::method::Submit, &JobService::submit);
  Offer(wire::method::State, &JobService::state);
  Offer(wire::method::Cancel, &JobService::cancel);
  Offer(wire::method::Pending, &JobService::pending);
  Offer(wire::method::Share, &JobService::takeShared);
  Offer(wire::method::Announce, &JobService::takeNews);
  Offer(wire::method::Heard, &JobService::takeHeard);
  Offer(wire::method::Sync, &JobService::sync);
  Offer(wire::method::Document, &JobService::document);
  Offer(wire::method::Workers, &JobService::workers);
  offerEvacuations();
  Needs_.Server.method(wire::method::Leave, [this](const Json::Value &Params,
                                                   const Reply &Answer) {
    auto Worker = attempt([&] { return json::readString(Params, "worker"); });
    if (!Worker)
      return Answer(Worker.error());
    takeLeave(WorkerId(*Worker), true, acknowledgeBy(Answer));
  });
  Needs_.Server.method(wire::method::PutRouting,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         auto Document = attempt([&] {
                           return json::readString(Params, "document");
                         });
                         if (!Document)
                           return Answer(Document.error());
                         takeRouting(*Document, true, acknowledgeBy(Answer));
                       });
  Needs_.Server.method(
      wire::method::GetRouting,
      [this](const Json::Value & /*Params*/, const Reply &Answer) {
        if (!serves())
          return Answer(Error{ErrorCode::Unavailable, "not the leader"});
        Json::Value Result(Json::objectValue);
        Result["document"] = Needs_.Log.configuration().Document;
        Answer(std::move(Result));
      });
}

void JobService::follow() {
  followEvacuations();
  const control::ConfigSnapshot &Now = Needs_.Log.configuration();
  if (Now.Version != RoutingFrom_) {
    RoutingFrom_ = Now.Version;
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
  auto Term = Needs_.Log.leadsIn();
  if (Term == Term_)
    return;
  if (Term_)
    logEvent(LogLevel::Warning, Module, "leads_no_more",
             {{"term", Term_->value()}});
  Scheduler_.reset();
  Term_ = Term;
  Shared_.clear();
  LeadsSince_ = Needs_.Clock.now();
  InheritsAllWorkers_ =
      AllSharedAt_ && LeadsSince_ - *AllSharedAt_ < SharedListLasts;
  if (!Term)
    return;
  logEvent(LogLevel::Info, Module, "leads",
           {{"term", Term->value()}, {"workers", Directory_.Workers.size()}});
  if (!Needs_.Store.Jobs.empty())
    engage();
}

void JobService::engage() {
  if (Scheduler_)
    return;
  SchedulerDependencies Needs{poolOfAll(),
                              [this] { return Needs_.Log.holdsLease(); },
                              [](FencingToken /*Token*/) {
                                // A later leader; this one hears of it by the
                                // log.
                              },
                              [this] { return knowsAllWorkers(); },
                              &Needs_.Log,
                              Needs_.Store,
                              Evacuated_,
                              Needs_.Workers,
                              Needs_.Clock,
                              Needs_.Timers,
                              Needs_.Measured};
  Scheduler_ =
      std::make_unique<Scheduler>(std::move(Needs), tokenOf(*Term_), Lease_);
  Scheduler_->applyWorkers(Directory_);
}

void JobService::tick() {
  dropSilent(Directory_, Needs_.Clock.now());
  followEvacuations();
  if (Scheduler_)
    Scheduler_->applyWorkers(Directory_);
  divideIfLarge();
  Needs_.Timers.after(TickInterval, [this] { tick(); });
}

Json::Value JobService::redirection() const {
  Json::Value Result(Json::objectValue);
  auto Leader = Term_ ? std::nullopt : Needs_.Log.leaderAddress();
  Result["leader"] = Leader ? Leader->text() : "";
  return Result;
}

std::optional<QueueMatch> JobService::findPlace(const Json::Value &Params,
                                                const Reply &Answer) const {
  auto At = attempt([&] { return readPlace(Params); });
  QueueMatch Where =
      At ? findQueue(Routing_, At->Host, At->Path) : QueueMatch();
  if (Where.Found)
    return Where;
  Answer(wire::write(At ? outcome(JobOutcome::NoQueue)
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
  auto Place = findPlace(Params, Answer);
  if (!Place)
    return;
  const QueueMatch &Where = *Place;
  engage();
  if (Spec->Transient)
    return runTransient(newJob(Where, std::move(*Spec)), Params, Answer);
  if (findJob(Needs_.Store, JobId(Where.Rest)))
    return Answer(wire::write(outcome(JobOutcome::Accepted)));
  Time Began = Needs_.Clock.now();
  JobId Id(Where.Rest);
  Scheduler_->accept(
      newJob(Where, std::move(*Spec)),
      [this, Answer, Id, Began](const Outcome<Done> &Was) {
        Needs_.Measured.observe("geraniumbay_job_accept_seconds",
                                "From a submission to its commit.", {},
                                Needs_.Clock.now() - Began);
        logEvent(
            LogLevel::Info, Module, "job_submitted",
            {{"job", Id},
             {"outcome", Was ? "accepted" : errorCodeName(Was.error().Code)},
             {"commit_us", (Needs_.Clock.now() - Began).count()}});
        Answer(wire::write(Was ? outcome(JobOutcome::Accepted)
                               : unconfirmed(Was.error())));
      });
}

void JobService::runTransient(Job New, const Json::Value &Params,
                              const Reply &Answer) {
  auto Left = attempt([&] { return json::readUintOr(Params, "left_us", 0); });
  Duration Patience = Left && *Left != 0
                          ? Duration(static_cast<Duration::rep>(*Left))
                          : UsualPatience;
  Time Began = Needs_.Clock.now();
  JobId Id = New.Id;
  Scheduler_->run(
      std::move(New), TransientRequest{WaiterId(), Duration(0), Patience, true},
      [this, Answer, Id, Began](const Outcome<TransientEnd> &Ended) {
        Duration Took = Needs_.Clock.now() - Began;
        Needs_.Measured.observe("geraniumbay_transient_job_seconds",
                                "From a submission to its end.", {}, Took);
        logEvent(LogLevel::Info, Module, "job_answered",
                 {{"job", Id}, {"ok", Ended.ok()}, {"took_us", Took.count()}});
        if (Ended)
          return Answer(wire::write(answerOfEnd(*Ended)));
        // Tasks of it may have started here.
        Json::Value Elsewhere = redirection();
        Elsewhere["maybe_taken"] = true;
        Answer(std::move(Elsewhere));
      });
}

void JobService::state(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(redirection());
  auto Where = findPlace(Params, Answer);
  if (!Where)
    return;
  JobId Id(Where->Rest);
  if (!Scheduler_)
    return tellState(Id, Answer);
  Scheduler_->whenRecorded(Id, [this, Id, Answer] { tellState(Id, Answer); });
}

void JobService::tellState(const JobId &Id, const Reply &Answer) {
  // The leadership may have been lost while an end was on its way into the log.
  if (!serves())
    return Answer(redirection());
  const Job *Found = findJob(Needs_.Store, Id);
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
  auto Where = findPlace(Params, Answer);
  if (!Where)
    return;
  const Job *Found = findJob(Needs_.Store, JobId(Where->Rest));
  if (!Found)
    return Answer(wire::write(outcome(JobOutcome::NoJob)));
  if (Found->State != JobState::Active)
    return Answer(wire::write(outcome(JobOutcome::Cancelled)));
  engage();
  Scheduler_->cancel(Found->Id, [Answer](const Outcome<Done> &Was) {
    Answer(wire::write(Was ? outcome(JobOutcome::Cancelled)
                           : unconfirmed(Was.error())));
  });
}

void JobService::pending(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(redirection());
  auto Where = findPlace(Params, Answer);
  if (!Where)
    return;
  JobAnswer Result = outcome(JobOutcome::Known);
  if (Scheduler_)
    Result.Pending = Scheduler_->pending(Where->Found->Name);
  Answer(wire::write(Result));
}

void JobService::prepareStop(std::function<void()> Done) {
  if (!Term_)
    return Needs_.Log.giveUpVote(std::move(Done));
  if (!Stopping_)
    logEvent(LogLevel::Info, Module, "hands_over", {{"term", Term_->value()}});
  Stopping_ = true;
  Needs_.Log.handOver();
  // What is under way is committed first, so it may take a few tries.
  constexpr Duration TryAgain = std::chrono::milliseconds(10);
  Needs_.Timers.after(TryAgain,
                      [this, Done = std::move(Done)] { prepareStop(Done); });
}

} // namespace geraniumbay::jobs
