//===- evacuationmoves.cpp - Work that leaves evacuated data centres ------===//
//
// A pool whose workers are all in an evacuated data centre sends its waiting
// jobs back to their entries at once, which try other pools. If a job has
// begun, its runs are stopped first, and the entry is answered when the last
// one has ended, so that no task runs twice at a time.
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
  for (auto &[Id, Session] : Sessions_)
    Session.Evacuated = Deps_.Evacuated.count(Session.Info.DataCentre) != 0;
  for (const DataCentreId &Each : Deps_.Evacuated)
    if (runningIn(Each) != 0)
      EmptyingDataCentres_.insert(Each);
  scheduleSoon();
}

std::size_t Scheduler::runningIn(const DataCentreId &DataCentre) const {
  std::size_t Count = 0;
  for (const auto &[Id, Session] : Sessions_)
    if (Session.Info.DataCentre == DataCentre)
      Count += Session.Runs.size();
  return Count;
}

void Scheduler::reportEmptied() {
  std::erase_if(EmptyingDataCentres_, [&](const DataCentreId &Each) {
    bool Ended = runningIn(Each) == 0;
    if (!Ended && Deps_.Evacuated.count(Each) != 0)
      return false;
    logEvent(LogLevel::Info, Module, "evacuation_obeyed",
             {{"data_centre", Each},
              {"token", Token_.value()},
              {"outcome", Ended ? "no task runs there" : "withdrawn"}});
    return true;
  });
}

bool Scheduler::isShutOut(const Job &JobRecord, const StepSpec &Step) const {
  bool Any = false;
  for (const auto &[Id, Session] : Sessions_) {
    const WorkerInfo &Info = Session.Info;
    if (Info.Service != JobRecord.Service || Info.Draining ||
        !hasLabel(Info, Step.RequiredLabel) ||
        !isLargeEnough(Session, Step.Needs))
      continue;
    if (!Session.Evacuated)
      return false;
    Any = true;
  }
  return Any;
}

bool Scheduler::isShutOut(const Job &JobRecord) const {
  return !Deps_.Evacuated.empty() &&
         std::any_of(
             JobRecord.Spec.Steps.begin(), JobRecord.Spec.Steps.end(),
             [&](const StepSpec &Step) { return isShutOut(JobRecord, Step); });
}

void Scheduler::moveShutOut() {
  std::set<JobId> ShutOut;
  for (const auto &[Rank, Task] : Queue_) {
    const Job *JobRecord = findJob(Transient_, Task.Id.Job);
    if (!JobRecord || JobRecord->State != JobState::Active ||
        ShutOut.count(JobRecord->Id) != 0)
      continue;
    if (isShutOut(*JobRecord, JobRecord->Spec.Steps[Task.Id.Step]))
      ShutOut.insert(JobRecord->Id);
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
  Deps_.Measured.count("geraniumbay_jobs_shut_out_total",
                       "Jobs that left an evacuated data centre.",
                       {{"has_run", HasRun ? "yes" : "no"}});
  return noteRefusal(Id, Refusal);
}

void Scheduler::moveAway(const JobId &Id) {
  if (auto Found = ActiveTransients_.find(Id); Found != ActiveTransients_.end())
    Found->second.Evacuated = true;
  Leaving_.insert(Id);
  forgetWaiting(Id);
  stopRunsOf(Id);
  finishMoves();
}

void Scheduler::finishMoves() {
  std::vector<JobId> Stopped;
  for (const JobId &Id : Leaving_)
    if (std::none_of(Places_.begin(), Places_.end(),
                     [&](const auto &Entry) { return Entry.first.Job == Id; }))
      Stopped.push_back(Id);
  for (const JobId &Id : Stopped) {
    noteShutOut(Id, hasBegun(Id));
    cancelTransient(Id, EvacuationReason, RetryAfterEvacuation);
  }
}

} // namespace geraniumbay::jobs
