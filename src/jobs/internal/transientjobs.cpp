//===- transientjobs.cpp - Jobs that only the leader knows ----------------===//
//
// A transient job lives in the leader's memory; its callers wait for its end.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long the end of a job is remembered for callers that send it again
/// because its answer was lost; they do so within seconds.
constexpr Duration KeepAnswered = std::chrono::seconds(10);

} // namespace

void Scheduler::run(Job New, Duration Patience, EndCallback Ended) {
  JobId Id = New.Id;
  if (const Job *Known = findJob(Transient_, Id)) {
    if (Known->State != JobState::Active)
      return Ended(Known->State);
    Waiters_[Id].Callbacks.push_back(std::move(Ended));
    return;
  }
  Time Now = Needs_.Clock.now();
  New.AcceptedIn = Term_;
  JobChanges Changes;
  Changes.Accepted.push_back(std::move(New));
  apply(Transient_, Changes);
  Waiters_[Id] = {{std::move(Ended)}, Now + Patience};
  Orders_[Id] = ++LastOrder_;
  enqueueReady(*findJob(Transient_, Id));
  scheduleSoon();
}

void Scheduler::giveUpLate(Time Now) {
  std::vector<JobId> Late;
  for (const auto &[Id, Waiting] : Waiters_)
    if (Now >= Waiting.GiveUpAt && !hasBegun(Id))
      Late.push_back(Id);
  for (const JobId &Id : Late) {
    logEvent(LogLevel::Info, Module, "job_given_up",
             {{"job", Id}, {"reason", "not begun in time"}});
    JobChanges Changes;
    Changes.Cancelled.push_back(Id);
    apply(Transient_, Changes);
    jobSettled(Id);
  }
}

void Scheduler::answerWaiters(const JobId &Id, const Outcome<JobState> &Ended) {
  auto Found = Waiters_.extract(Id);
  if (!Found)
    return;
  for (const EndCallback &Run : Found.mapped().Callbacks)
    Run(Ended);
}

void Scheduler::forgetTransient(Time Now) {
  while (!Answered_.empty() && Now - Answered_.front().first >= KeepAnswered) {
    Transient_.Jobs.erase(Answered_.front().second);
    Answered_.pop_front();
  }
}

} // namespace geraniumbay::jobs
