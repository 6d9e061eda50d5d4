//===- evacuationmoves.cpp - Work that leaves evacuated data centres ------===//
//
// A pool whose workers are all in an evacuated data centre sends its waiting
// jobs back to their entries at once, which try other pools. A job that has
// begun is stopped first: its entry hears of it when its last run has ended, so
// that no task of it runs twice at a time.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

} // namespace

void Scheduler::evacuationsChanged() {
  for (auto &[Id, With] : Sessions_)
    With.Evacuated = Needs_.Evacuated.count(With.Info.DataCentre) != 0;
  for (const DataCentreId &Each : Needs_.Evacuated)
    if (runningIn(Each) != 0)
      Emptying_.insert(Each);
  scheduleSoon();
}

std::size_t Scheduler::runningIn(const DataCentreId &DataCentre) const {
  std::size_t Count = 0;
  for (const auto &[Id, With] : Sessions_)
    if (With.Info.DataCentre == DataCentre)
      Count += With.Runs.size();
  return Count;
}

void Scheduler::noteEmptied() {
  std::erase_if(Emptying_, [&](const DataCentreId &Each) {
    bool Ended = runningIn(Each) == 0;
    if (!Ended && Needs_.Evacuated.count(Each) != 0)
      return false;
    logEvent(LogLevel::Info, Module, "evacuation_obeyed",
             {{"data_centre", Each},
              {"token", Token_.value()},
              {"outcome", Ended ? "no task runs there" : "taken back"}});
    return true;
  });
}

bool Scheduler::isShutOut(const Job &Of, const StepSpec &Step) const {
  bool Any = false;
  for (const auto &[Id, With] : Sessions_) {
    const WorkerInfo &Info = With.Info;
    if (Info.Service != Of.Service || Info.Draining ||
        !hasLabel(Info, Step.RequiredLabel) || !isLargeEnough(With, Step.Needs))
      continue;
    if (!With.Evacuated)
      return false;
    Any = true;
  }
  return Any;
}

bool Scheduler::isShutOut(const Job &Of) const {
  return !Needs_.Evacuated.empty() &&
         std::any_of(Of.Spec.Steps.begin(), Of.Spec.Steps.end(),
                     [&](const StepSpec &Step) { return isShutOut(Of, Step); });
}

void Scheduler::moveShutOut() {
  std::set<JobId> ShutOut;
  for (const auto &[Rank, Task] : Queue_) {
    const Job *Of = findJob(Transient_, Task.Id.Job);
    if (!Of || Of->State != JobState::Active || ShutOut.count(Of->Id) != 0)
      continue;
    if (isShutOut(*Of, Of->Spec.Steps[Task.Id.Step]))
      ShutOut.insert(Of->Id);
  }
  for (const JobId &Id : ShutOut)
    moveAway(Id);
}

TransientEnd Scheduler::noteShutOut(const JobId &Id, bool HasRun) {
  TransientEnd Refusal = refusalOf(EvacuationReason, RetryAfterEvacuation);
  Refusal.Evacuated = true;
  Refusal.HasRun = HasRun;
  logEvent(LogLevel::Info, Module, "job_shut_out",
           {{"job", Id}, {"has_run", HasRun}, {"token", Token_.value()}});
  Needs_.Measured.count("geraniumbay_jobs_shut_out_total",
                        "Jobs that left an evacuated data centre.",
                        {{"has_run", HasRun ? "yes" : "no"}});
  return noteRefusal(Id, Refusal);
}

void Scheduler::moveAway(const JobId &Id) {
  if (auto Found = Waiters_.find(Id); Found != Waiters_.end())
    Found->second.Evacuated = true;
  Leaving_.insert(Id);
  forgetWaiting(Id);
  stopRunsOf(Id);
  finishMoves();
}

void Scheduler::finishMoves() {
  std::vector<JobId> Gone;
  for (const JobId &Id : Leaving_)
    if (std::none_of(Places_.begin(), Places_.end(),
                     [&](const auto &Entry) { return Entry.first.Job == Id; }))
      Gone.push_back(Id);
  for (const JobId &Id : Gone) {
    noteShutOut(Id, hasBegun(Id));
    cancelTransient(Id, EvacuationReason, RetryAfterEvacuation);
  }
}

} // namespace geraniumbay::jobs
