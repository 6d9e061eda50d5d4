//===- entryjobs.cpp - Jobs on an entry -----------------------------------===//
//
// Callers' requests, and transient jobs on their way to the owner of the pool.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/entryjobs.h"

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/internal/submission.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long a job may look for an owner: the time in which one is replaced.
/// After it the caller is told to come back instead.
constexpr Duration SearchTime = std::chrono::milliseconds(1300);
/// What the caller is told to wait then.
constexpr Duration RetryAfterNoOwner = std::chrono::seconds(1);
/// Left to the owner's answer for its way back.
constexpr Duration AnswerMargin = std::chrono::milliseconds(10);

JobAnswer outcome(JobOutcome What, std::string Reason = "") {
  JobAnswer Result;
  Result.Outcome = What;
  Result.Reason = std::move(Reason);
  return Result;
}

JobAnswer notTaken(std::string Reason) {
  JobAnswer Result = outcome(JobOutcome::NotTaken, std::move(Reason));
  Result.RetryAfter = RetryAfterNoOwner;
  return Result;
}

} // namespace

EntryJobs::EntryJobs(EntryNeeds Needs, Endpoint Self,
                     std::vector<Endpoint> ControlVms, RoutingReader Reader,
                     LeaseSettings Lease)
    : Needs_(Needs), Self_(std::move(Self)), Reader_(std::move(Reader)),
      Lease_(Lease),
      Control_(std::move(ControlVms), Needs.Client, Needs.Clock, Needs.Timers,
               {[this] { return askControl(); },
                [this](const Json::Value &Result) { takeControl(Result); }}) {
  View_.Self = Self_;
  takeEntries(View_, {}, Needs_.Clock.now());
}

void EntryJobs::start() {
  Needs_.Server.method(wire::method::Ping,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerPing(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Run,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerRun(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Drop,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerDrop(Params, Answer);
                       });
  Control_.start();
  tick();
  pingAll();
}

bool EntryJobs::ready() const {
  if (RoutingFrom_ == ConfigVersion(0) || View_.Stopping)
    return false;
  if (ControlSchedules_)
    return Control_.ready();
  return View_.Owner.Token != FencingToken(0) &&
         isAlive(View_, View_.Owner.At, Needs_.Clock.now());
}

std::function<void()> EntryJobs::submit(const JobRequest &Request,
                                        const JobSpec &Spec, Callback Done) {
  auto Nothing = [] {
    // It is answered, or a durable job, which goes on without its caller.
  };
  if (RoutingFrom_ == ConfigVersion(0)) {
    Done(notTaken("this entry has no configuration yet"));
    return Nothing;
  }
  QueueMatch Where = findQueue(Routing_, Request.Host, Request.Path);
  if (!Where.Found) {
    Done(outcome(JobOutcome::NoQueue));
    return Nothing;
  }
  if (!Spec.Transient || ControlSchedules_) {
    Control_.submit(Request, Spec, std::move(Done));
    return Nothing;
  }
  Time Now = Needs_.Clock.now();
  auto What = std::make_shared<Ask>();
  What->Wanted = newJob(Where, Spec);
  What->Done = std::move(Done);
  What->Own = {Self_, ++LastSerial_};
  What->GiveUp = Now + Request.Timeout;
  What->SearchUntil = Now + SearchTime;
  Asks_.insert(What);
  dispatch(What);
  return [this, What] { abandon(What); };
}

void EntryJobs::abandon(const AskPtr &What) {
  if (Asks_.erase(What) == 0)
    return;
  ++What->Attempt;
  logEvent(LogLevel::Info, Module, "caller_gone", {{"job", What->Wanted.Id}});
  if (!What->SentTo)
    return;
  if (What->SentTo->At == Self_) {
    if (Scheduler_)
      Scheduler_->dropWaiter(What->Wanted.Id, What->Own);
    return;
  }
  Json::Value Params(Json::objectValue);
  Params["job"] = What->Wanted.Id.value();
  Params["origin"] = Self_.text();
  Params["serial"] = Json::UInt64(What->Own.Serial);
  Needs_.Client.call(What->SentTo->At, wire::method::Drop, std::move(Params),
                     SearchTime, [](const Outcome<Json::Value> & /*Result*/) {
                       // At worst the job runs for nobody.
                     });
}

void EntryJobs::state(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.state(Request, std::move(Done));
}

void EntryJobs::cancel(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.cancel(Request, std::move(Done));
}

void EntryJobs::pending(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ == ConfigVersion(0))
    return Done(notTaken("this entry has no configuration yet"));
  if (!findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  if (ControlSchedules_)
    return Control_.pending(Request, std::move(Done));
  // Transient jobs are not accepted before they end, so none is pending.
  Done(outcome(JobOutcome::Known));
}

void EntryJobs::dispatch(const AskPtr &What) {
  Time Now = Needs_.Clock.now();
  ++What->Attempt;
  What->SentTo.reset();
  bool Owned = View_.Owner.Token != FencingToken(0) &&
               isAlive(View_, View_.Owner.At, Now);
  if (!Owned)
    return park(What);
  // An owner stops the jobs of entries that do not show that they hear it.
  if (View_.Owner.At != Self_ && !hasFreshEcho(View_.Owner.At)) {
    ping(View_.Owner.At);
    return park(What);
  }
  What->SentTo = View_.Owner;
  What->TakenBy = View_.Owner.At;
  if (!Scheduler_ || !ownsPool(View_))
    return View_.Owner.At == Self_ ? park(What) : sendToOwner(What);
  Scheduler_->run(
      What->Wanted, What->GiveUp - Now, What->Own, What->MaybeTaken,
      [this, What, Attempt = What->Attempt](const Outcome<JobState> &Ended) {
        if (Attempt != What->Attempt)
          return;
        if (Ended)
          return finish(What, answerOfEnd(*Ended));
        What->MaybeTaken = true;
        park(What);
      });
}

void EntryJobs::sendToOwner(const AskPtr &What) {
  Duration Left = What->GiveUp - Needs_.Clock.now();
  Json::Value Params(Json::objectValue);
  Params["job"] = wire::write(What->Wanted);
  Params["left_us"] = Json::Int64(std::max(Left, Duration(1)).count());
  Params["origin"] = Self_.text();
  Params["serial"] = Json::UInt64(What->Own.Serial);
  Params["echo_us"] = Json::UInt64(Echoes_[View_.Owner.At].Stamp);
  if (What->MaybeTaken)
    Params["maybe_taken"] = true;
  Endpoint To = What->SentTo->At;
  Needs_.Client.call(To, wire::method::Run, std::move(Params),
                     std::max(Left, Duration(0)) + AnswerMargin,
                     [this, What, To, Attempt = What->Attempt](
                         const Outcome<Json::Value> &Result) {
                       answered(What, Attempt, To, Result);
                     });
}

void EntryJobs::answered(const AskPtr &What, std::uint64_t Attempt,
                         const Endpoint &From,
                         const Outcome<Json::Value> &Result) {
  if (Result && !Result->isMember("not_owner")) {
    // The answer to an earlier sending is as good as any.
    auto Answer = attempt([&] { return wire::readAnswer(*Result); });
    if (Answer &&
        (Attempt == What->Attempt || Answer->Outcome == JobOutcome::Known))
      return finish(What, *Answer);
  }
  if (Attempt != What->Attempt)
    return;
  bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
  if (Refused)
    noteRefused(View_, From, Needs_.Clock.now());
  if (!Result && !Refused)
    What->MaybeTaken = true;
  if (Result) {
    takeClaim(*Result, From);
    if (Result->isMember("maybe_taken"))
      What->MaybeTaken = true;
  }
  What->SearchUntil = Needs_.Clock.now() + SearchTime;
  park(What);
}

void EntryJobs::park(const AskPtr &What) {
  // The tick sends it once there is an owner, or gives it up.
  What->SentTo.reset();
}

void EntryJobs::redispatchParked() {
  Time Now = Needs_.Clock.now();
  std::vector<AskPtr> Due;
  for (const AskPtr &What : Asks_)
    // One that waits for an owner who is no more is sent to the next.
    if (!What->SentTo || What->SentTo->At != View_.Owner.At)
      Due.push_back(What);
  for (const AskPtr &What : Due) {
    if (What->SentTo) {
      What->MaybeTaken = true;
      What->SearchUntil = Now + SearchTime;
      park(What);
    }
    bool Elsewhere = What->MaybeTaken && What->TakenBy != View_.Owner.At;
    if (Now >= std::min(What->SearchUntil, What->GiveUp))
      finish(What, What->MaybeTaken
                       ? outcome(JobOutcome::Unknown, "the owner was lost")
                       : notTaken("no owner of the workers was found"));
    else if (!Elsewhere || Now >= givenUpBy(View_, What->TakenBy))
      dispatch(What);
  }
}

void EntryJobs::finish(const AskPtr &Asked, const JobAnswer &Answer) {
  // Keeps the request: the caller may hold the last other reference to it.
  auto Kept = Asks_.extract(Asked);
  if (!Kept)
    return;
  const AskPtr &What = Kept.value();
  ++What->Attempt;
  bool Served = Answer.Outcome == JobOutcome::Known;
  if (!Served)
    logEvent(LogLevel::Info, Module, "job_not_served",
             {{"job", What->Wanted.Id},
              {"outcome", static_cast<int>(Answer.Outcome)},
              {"reason", Answer.Reason}});
  // "Not run" must be true of every owner that had the job.
  if (Answer.Outcome == JobOutcome::NotTaken && What->MaybeTaken)
    return What->Done(outcome(JobOutcome::Unknown, Answer.Reason));
  What->Done(Answer);
}

void EntryJobs::prepareStop() {
  View_.Stopping = true;
  followOwner();
  for (const Endpoint &To : pingTargets(View_, Needs_.Clock.now()))
    ping(To);
}

} // namespace geraniumbay::jobs
