//===- entryanswers.cpp - Answers to an entry's requests ------------------===//
//
// Owners' answers, jobs that wait for another owner, and the answers to
// callers.
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

void EntryJobs::handleOwnerReply(const PendingRequestPtr &Request,
                                 std::uint64_t Attempt, const Endpoint &From,
                                 const Outcome<Json::Value> &Result) {
  if (Result && !Result->isMember("not_owner") &&
      !Result->isMember("registered")) {
    // A result is valid even if it answers an earlier attempt.
    auto Answer = attempt([&] { return wire::readAnswer(*Result); });
    if (Answer && Attempt == Request->Attempt)
      return handleOwnerAnswer(Request, *Answer);
    if (Answer && Answer->Outcome == JobOutcome::Known)
      return finish(Request, *Answer);
  }
  if (Attempt != Request->Attempt)
    return;
  if (Result && (*Result)["registered"].isString())
    return redirect(Request, PoolName((*Result)["registered"].asString()));
  bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
  if (Refused)
    noteRefused(Peers_, From, Deps_.Clock.now());
  if (!Result && !Refused)
    Request->MaybeTaken = true;
  if (Result) {
    if (PoolMember *Pool = findPool(Request->Pool))
      Pool->applyClaim(*Result, From);
    if (Result->isMember("maybe_taken"))
      Request->MaybeTaken = true;
  }
  Request->SearchUntil = Deps_.Clock.now() + SearchTime;
  park(Request);
}

void EntryJobs::park(const PendingRequestPtr &Request) {
  // The tick sends it once the pool has an owner, or gives it up.
  Request->SentTo.reset();
}

void EntryJobs::redispatchParked() {
  std::vector<PendingRequestPtr> Due;
  for (const PendingRequestPtr &Request : PendingRequests_) {
    PoolMember *Pool = findPool(Request->Pool);
    // A job that was sent to a former owner is sent to the present one.
    if (!Request->SentTo || !Pool ||
        Request->SentTo->At != Pool->view().Owner.At)
      Due.push_back(Request);
  }
  for (const PendingRequestPtr &Request : Due)
    redispatch(Request);
}

void EntryJobs::redispatch(const PendingRequestPtr &Request) {
  Time Now = Deps_.Clock.now();
  if (Request->SentTo) {
    Request->MaybeTaken = true;
    Request->SearchUntil = Now + SearchTime;
    park(Request);
  }
  PoolMember *Pool = findPool(Request->Pool);
  if (Request->MaybeTaken && !Pool)
    // The workers have been divided into other pools in the meantime.
    return finish(Request, outcome(JobOutcome::Unknown, "its pool is no more"));
  if (Now >= std::min(Request->SearchUntil, Request->Deadline))
    return finish(Request,
                  Request->MaybeTaken
                      ? outcome(JobOutcome::Unknown, "the owner was lost")
                      : notTaken("no owner of the workers was found"));
  bool SentElsewhere =
      Request->MaybeTaken && Request->LastOwner != Pool->view().Owner.At;
  if (!SentElsewhere ||
      Now >= jobsStoppedBy(Pool->view(), Request->LastOwner, Now))
    dispatch(Request);
}

void EntryJobs::finish(const PendingRequestPtr &Request,
                       const JobAnswer &Answer) {
  // Keeps the request alive: the calling function may hold the only other
  // reference to it.
  auto Node = PendingRequests_.extract(Request);
  if (!Node)
    return;
  const PendingRequestPtr &Kept = Node.value();
  ++Kept->Attempt;
  // "Not run" may only be answered if it holds for every owner that had the
  // job.
  bool Doubtful = Answer.Outcome == JobOutcome::NotTaken &&
                  (Kept->MaybeTaken || Kept->HasRun);
  JobAnswer Final =
      Doubtful ? outcome(JobOutcome::Unknown, Answer.Reason) : Answer;
  logAnswer(*Kept, Final);
  Kept->Done(Final);
}

void EntryJobs::logAnswer(const PendingRequest &Request,
                          const JobAnswer &Answer) const {
  bool Served = Answer.Outcome == JobOutcome::Known;
  Time Now = Deps_.Clock.now();
  logEvent(Served ? LogLevel::Info : LogLevel::Warning, Module, "job_answered",
           {{"job", Request.Wanted.Id},
            {"outcome", outcomeName(Answer.Outcome)},
            {"state", Served ? jobStateName(Answer.State) : ""},
            {"reason", Answer.Reason},
            {"queue", Request.Wanted.Queue},
            {"configuration", RoutingVersion_},
            {"pool", Request.Pool},
            {"owner", Request.LastOwner.text()},
            {"sendings", Request.Attempt},
            {"took_us", (Now - Request.ReceivedAt).count()},
            {"left_us", (Request.Deadline - Now).count()}});
}

} // namespace geraniumbay::jobs
