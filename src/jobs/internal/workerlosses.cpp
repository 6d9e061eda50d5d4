//===- workerlosses.cpp - Lost workers and crashing tasks -----------------===//
//
// Requeues the tasks of a lost worker and keeps track of those that may have
// crashed it.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long a worker is reserved for a task that must run alone: a few times
/// the run time of a task.
constexpr Duration ReservationTime = std::chrono::seconds(2);

} // namespace

void Scheduler::loseRuns(WorkerSession &Session, const char *Reason,
                         scheduling::WorkerLoss Loss) {
  Deps_.Measured.count("geraniumbay_worker_losses_total",
                       "Workers lost with tasks on them.",
                       {{"how", scheduling::workerLossName(Loss)}});
  std::vector<TaskLoss> Lost;
  for (const auto &[Task, Each] : Session.Runs)
    Lost.push_back({Task, Loss, Session.Runs.size() == 1});
  for (const TaskLoss &Each : Lost) {
    const TaskId &Task = Each.Task;
    logEvent(LogLevel::Warning, Module, "run_lost",
             {{"job", Task.Job},
              {"step", Task.Step},
              {"index", Task.Index},
              {"worker", Session.Info.Worker},
              {"reason", Reason},
              {"loss", scheduling::workerLossName(Loss)},
              {"beside", Lost.size() - 1}});
    removeRun(Session, Task);
    Places_.erase(Task);
  }
  // A worker that is draining was not crashed by a task.
  if (!Session.Info.Draining)
    return countLosses(std::move(Lost));
  for (const TaskLoss &Each : Lost)
    enqueue(Each.Task);
}

void Scheduler::countLosses(std::vector<TaskLoss> Losses) {
  auto Middle = std::stable_partition(
      Losses.begin(), Losses.end(), [&](const TaskLoss &Each) {
        // A job may have been removed while a run of it was being stopped.
        return !findJob(Deps_.Store, Each.Task.Job);
      });
  std::vector<TaskLoss> Durable(Middle, Losses.end());
  Losses.erase(Middle, Losses.end());
  JobChanges Changes;
  Changes.Lost = std::move(Losses);
  apply(Transient_, Changes);
  onLossesCounted(Changes.Lost);
  if (!Durable.empty())
    countLossesDurably(Durable);
}

void Scheduler::countLossesDurably(const std::vector<TaskLoss> &Losses) {
  // They must not start before their losses are in the log.
  for (const TaskLoss &Each : Losses)
    Ending_.insert(Each.Task);
  JobChanges Changes;
  Changes.Lost = Losses;
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Losses](const Outcome<Done> &Result) {
                  // A failed append means that the leadership was lost.
                  if (!*Alive || !Result)
                    return;
                  for (const TaskLoss &Each : Losses)
                    Ending_.extract(Each.Task);
                  onLossesCounted(Losses);
                  for (const TaskLoss &Each : Losses)
                    runRecordingCallbacks(Each.Task.Job);
                });
}

void Scheduler::onLossesCounted(const std::vector<TaskLoss> &Losses) {
  noteSuspects(Losses);
  for (const TaskLoss &Each : Losses) {
    const JobId &Id = Each.Task.Job;
    const Job *JobRecord = jobOf(Id);
    if (!JobRecord)
      continue;
    const TaskRecord *Record = taskOf(Each.Task);
    logEvent(LogLevel::Warning, Module, "task_lost_worker",
             {{"job", Id},
              {"step", Each.Task.Step},
              {"index", Each.Task.Index},
              {"loss", scheduling::workerLossName(Each.Cause)},
              {"alone", Each.Alone},
              {"suspected", !Record || Record->Suspicion.Suspected},
              {"given_up", JobRecord->State == JobState::Failed}});
    if (JobRecord->State == JobState::Active) {
      enqueue(Each.Task);
      continue;
    }
    Deps_.Measured.count("geraniumbay_crashing_tasks_total",
                         "Tasks given up since they crash their workers.", {});
    if (auto Found = ActiveTransients_.find(Id);
        Found != ActiveTransients_.end())
      Found->second.Reason = CrashReason;
    onJobEnded(Id);
  }
  scheduleSoon();
}

void Scheduler::countPossibleLosses(const JobId &Id) {
  const Job *JobRecord = findJob(Transient_, Id);
  if (!JobRecord)
    return;
  JobChanges Changes;
  for (std::uint32_t Step = 0; Step < JobRecord->Tasks.size(); ++Step)
    for (std::uint32_t Index = 0; Index < JobRecord->Tasks[Step].size();
         ++Index) {
      TaskId Task{Id, Step, Index};
      if (!JobRecord->Tasks[Step][Index].Done && Places_.count(Task) == 0)
        Changes.Lost.push_back({Task, scheduling::WorkerLoss::Silent, false});
    }
  apply(Transient_, Changes);
  noteSuspects(Changes.Lost);
}

void Scheduler::noteSuspects(const std::vector<TaskLoss> &Losses) {
  for (const TaskLoss &Each : Losses)
    rememberSuspects(Each);
  if (!Losses.empty() && Deps_.SuspectsFound)
    Deps_.SuspectsFound();
}

void Scheduler::rememberSuspects(const TaskLoss &Loss) {
  const TaskId &Task = Loss.Task;
  const Job *JobRecord = findJob(Transient_, Task.Job);
  if (!JobRecord)
    return;
  RememberedSuspects &Kept = Suspects_[Task.Job];
  Kept.Since = Deps_.Clock.now();
  scheduling::Suspicion &Row =
      findOrAddRow(Kept.Tasks, Task.Step, Task.Index).Suspicion;
  if (const TaskRecord *Record = taskOf(Task))
    scheduling::merge(Row, Record->Suspicion);
  else if (JobRecord->State == JobState::Failed)
    Row.Quarantined = true;
  else
    scheduling::noteLoss(Row, Loss.Cause, Loss.Alone);
}

std::vector<SuspectTask> Scheduler::knownSuspects(const Job &New) const {
  std::vector<SuspectTask> Result = New.Suspects;
  auto Found = Suspects_.find(New.Id);
  if (Found != Suspects_.end())
    merge(Result, Found->second.Tasks);
  return Result;
}

bool Scheduler::isSuspected(const TaskId &Id) const {
  const TaskRecord *Record = taskOf(Id);
  return Record && Record->Suspicion.Suspected;
}

bool Scheduler::mayHostMoreSuspects() const {
  std::size_t Hosts = 0;
  for (const auto &[Worker, Session] : Sessions_)
    Hosts += hostsSuspect(Session) ? 1 : 0;
  return Hosts < scheduling::maxWorkersForSuspects(Sessions_.size());
}

void Scheduler::reserveWorkerFor(const WaitingTask &Task, Time Now) {
  if (!mayHostMoreSuspects())
    return;
  WorkerSession *Least = nullptr;
  for (auto &[Worker, Session] : Sessions_) {
    if (Session.ReservedUntil > Now)
      return;
    if (!acceptsWorkFor(Session, Task.Service) || hostsSuspect(Session) ||
        !isLargeEnough(Session, Task.Needs))
      continue;
    if (!Least || Session.Used.CpuMillis < Least->Used.CpuMillis)
      Least = &Session;
  }
  if (Least)
    Least->ReservedUntil = Now + ReservationTime;
}

} // namespace geraniumbay::jobs
