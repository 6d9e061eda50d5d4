//===- entryanswers.cpp - How an entry's requests end ---------------------===//
//
// An owner's answers, jobs that wait for another owner, and what callers are
// told.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

} // namespace

void EntryJobs::answered(const AskPtr &What, std::uint64_t Attempt,
                         const Endpoint &From,
                         const Outcome<Json::Value> &Result) {
  if (Result && !Result->isMember("not_owner") &&
      !Result->isMember("registered")) {
    // The answer to an earlier sending is as good as any.
    auto Answer = attempt([&] { return wire::readAnswer(*Result); });
    if (Answer && Attempt == What->Attempt)
      return settle(What, *Answer);
    if (Answer && Answer->Outcome == JobOutcome::Known)
      return finish(What, *Answer);
  }
  if (Attempt != What->Attempt)
    return;
  if (Result && (*Result)["registered"].isString())
    return registered(What, PoolName((*Result)["registered"].asString()));
  bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
  if (Refused)
    noteRefused(Peers_, From, Needs_.Clock.now());
  if (!Result && !Refused)
    What->MaybeTaken = true;
  if (Result) {
    if (PoolMember *In = findPool(What->Pool))
      In->applyClaim(*Result, From);
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
  std::vector<AskPtr> Due;
  for (const AskPtr &What : Asks_) {
    PoolMember *In = findPool(What->Pool);
    // One that waits for an owner who is no more is sent to the next.
    if (!What->SentTo || !In || What->SentTo->At != In->view().Owner.At)
      Due.push_back(What);
  }
  for (const AskPtr &What : Due)
    redispatch(What);
}

void EntryJobs::redispatch(const AskPtr &What) {
  Time Now = Needs_.Clock.now();
  if (What->SentTo) {
    What->MaybeTaken = true;
    What->SearchUntil = Now + SearchTime;
    park(What);
  }
  PoolMember *In = findPool(What->Pool);
  if (What->MaybeTaken && !In)
    // The workers have been divided anew meanwhile.
    return finish(What, outcome(JobOutcome::Unknown, "its pool is no more"));
  if (Now >= std::min(What->SearchUntil, What->GiveUp))
    return finish(What, What->MaybeTaken
                            ? outcome(JobOutcome::Unknown, "the owner was lost")
                            : notTaken("no owner of the workers was found"));
  bool Elsewhere = What->MaybeTaken && What->TakenBy != In->view().Owner.At;
  if (!Elsewhere || Now >= jobsStoppedBy(In->view(), What->TakenBy, Now))
    dispatch(What);
}

void EntryJobs::finish(const AskPtr &Asked, const JobAnswer &Answer) {
  // Keeps the request: the caller may hold the last other reference to it.
  auto Kept = Asks_.extract(Asked);
  if (!Kept)
    return;
  const AskPtr &What = Kept.value();
  ++What->Attempt;
  // "Not run" must be true of every owner that had the job.
  bool Doubtful = Answer.Outcome == JobOutcome::NotTaken &&
                  (What->MaybeTaken || What->HasRun);
  JobAnswer Told =
      Doubtful ? outcome(JobOutcome::Unknown, Answer.Reason) : Answer;
  logAnswer(*What, Told);
  What->Done(Told);
}

void EntryJobs::logAnswer(const Ask &Of, const JobAnswer &Told) const {
  bool Served = Told.Outcome == JobOutcome::Known;
  Time Now = Needs_.Clock.now();
  logEvent(Served ? LogLevel::Info : LogLevel::Warning, Module, "job_answered",
           {{"job", Of.Wanted.Id},
            {"outcome", outcomeName(Told.Outcome)},
            {"state", Served ? jobStateName(Told.State) : ""},
            {"reason", Told.Reason},
            {"queue", Of.Wanted.Queue},
            {"configuration", RoutingFrom_},
            {"pool", Of.Pool},
            {"owner", Of.TakenBy.text()},
            {"sendings", Of.Attempt},
            {"took_us", (Now - Of.Since).count()},
            {"left_us", (Of.GiveUp - Now).count()}});
}

} // namespace geraniumbay::jobs
