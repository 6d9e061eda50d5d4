//===- workerlosses.cpp - Workers that are lost ---------------------------===//
//
// What becomes of the tasks of a worker that is lost, and which of them may
// have crashed it.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A worker is kept free for so long for a task that must run alone: some times
/// what tasks take.
constexpr Duration ReservedFor = std::chrono::seconds(2);

} // namespace

void Scheduler::loseRuns(WorkerSession &On, const char *Reason,
                         scheduling::WorkerLoss How) {
  Needs_.Measured.count("geraniumbay_worker_losses_total",
                        "Workers lost with tasks on them.",
                        {{"how", scheduling::workerLossName(How)}});
  std::vector<TaskLoss> Lost;
  for (const auto &[Task, Each] : On.Runs)
    Lost.push_back({Task, How, On.Runs.size() == 1});
  for (const TaskLoss &Each : Lost) {
    const TaskId &Task = Each.Task;
    logEvent(LogLevel::Warning, Module, "run_lost",
             {{"job", Task.Job},
              {"step", Task.Step},
              {"index", Task.Index},
              {"worker", On.Info.Worker},
              {"reason", Reason},
              {"loss", scheduling::workerLossName(How)},
              {"beside", Lost.size() - 1}});
    removeRun(On, Task);
    Places_.erase(Task);
  }
  // One that leaves as planned was not crashed.
  if (!On.Info.Draining)
    return blame(std::move(Lost));
  for (const TaskLoss &Each : Lost)
    enqueue(Each.Task);
}

void Scheduler::blame(std::vector<TaskLoss> Losses) {
  auto Middle = std::stable_partition(
      Losses.begin(), Losses.end(), [&](const TaskLoss &Each) {
        // A job may have been forgotten while a run of it was being stopped.
        return !findJob(Needs_.Store, Each.Task.Job);
      });
  std::vector<TaskLoss> Durable(Middle, Losses.end());
  Losses.erase(Middle, Losses.end());
  JobChanges Changes;
  Changes.Lost = std::move(Losses);
  apply(Transient_, Changes);
  lossesNoted(Changes.Lost);
  if (!Durable.empty())
    blameDurably(Durable);
}

void Scheduler::blameDurably(const std::vector<TaskLoss> &Losses) {
  // They must not start before the log holds what speaks against them.
  for (const TaskLoss &Each : Losses)
    Ending_.insert(Each.Task);
  JobChanges Changes;
  Changes.Lost = Losses;
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Losses](const Outcome<Done> &Was) {
                  // Without an answer from the log this leader is none any
                  // more.
                  if (!*Alive || !Was)
                    return;
                  for (const TaskLoss &Each : Losses)
                    Ending_.erase(Each.Task);
                  lossesNoted(Losses);
                  for (const TaskLoss &Each : Losses)
                    runRecorded(Each.Task.Job);
                });
}

void Scheduler::lossesNoted(const std::vector<TaskLoss> &Losses) {
  noteSuspects(Losses);
  for (const TaskLoss &Each : Losses) {
    const JobId &Id = Each.Task.Job;
    const Job *Of = jobOf(Id);
    if (!Of)
      continue;
    const TaskRecord *Record = taskOf(Each.Task);
    logEvent(LogLevel::Warning, Module, "task_lost_worker",
             {{"job", Id},
              {"step", Each.Task.Step},
              {"index", Each.Task.Index},
              {"loss", scheduling::workerLossName(Each.Cause)},
              {"alone", Each.Alone},
              {"suspected", !Record || Record->Suspicion.Suspected},
              {"given_up", Of->State == JobState::Failed}});
    if (Of->State == JobState::Active) {
      enqueue(Each.Task);
      continue;
    }
    Needs_.Measured.count("geraniumbay_crashing_tasks_total",
                          "Tasks given up since they crash their workers.", {});
    if (auto Waiting = Waiters_.find(Id); Waiting != Waiters_.end())
      Waiting->second.Reason = CrashReason;
    jobSettled(Id);
  }
  scheduleSoon();
}

void Scheduler::blameForOwner(const JobId &Id) {
  const Job *Of = findJob(Transient_, Id);
  if (!Of)
    return;
  JobChanges Changes;
  for (std::uint32_t Step = 0; Step < Of->Tasks.size(); ++Step)
    for (std::uint32_t Index = 0; Index < Of->Tasks[Step].size(); ++Index) {
      TaskId Task{Id, Step, Index};
      if (!Of->Tasks[Step][Index].Done && Places_.count(Task) == 0)
        Changes.Lost.push_back({Task, scheduling::WorkerLoss::Silent, false});
    }
  apply(Transient_, Changes);
  noteSuspects(Changes.Lost);
}

void Scheduler::noteSuspects(const std::vector<TaskLoss> &Losses) {
  for (const TaskLoss &Each : Losses)
    rememberSuspects(Each);
  if (!Losses.empty() && Needs_.SuspectsFound)
    Needs_.SuspectsFound();
}

void Scheduler::rememberSuspects(const TaskLoss &Loss) {
  const TaskId &Task = Loss.Task;
  const Job *Of = findJob(Transient_, Task.Job);
  if (!Of)
    return;
  RememberedSuspects &Kept = Suspects_[Task.Job];
  Kept.Since = Needs_.Clock.now();
  scheduling::Suspicion &Row =
      rowOf(Kept.Tasks, Task.Step, Task.Index).Suspicion;
  if (const TaskRecord *Record = taskOf(Task))
    scheduling::merge(Row, Record->Suspicion);
  else if (Of->State == JobState::Failed)
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
  for (const auto &[Worker, With] : Sessions_)
    Hosts += hostsSuspect(With) ? 1 : 0;
  return Hosts < scheduling::maxWorkersForSuspects(Sessions_.size());
}

void Scheduler::reserveFor(const WaitingTask &Task, Time Now) {
  if (!mayHostMoreSuspects())
    return;
  WorkerSession *Least = nullptr;
  for (auto &[Worker, With] : Sessions_) {
    if (With.ReservedUntil > Now)
      return;
    if (!acceptsWorkFor(With, Task.Service) || hostsSuspect(With) ||
        !isLargeEnough(With, Task.Needs))
      continue;
    if (!Least || With.Used.CpuMillis < Least->Used.CpuMillis)
      Least = &With;
  }
  if (Least)
    Least->ReservedUntil = Now + ReservedFor;
}

} // namespace geraniumbay::jobs
