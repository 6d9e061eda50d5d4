//===- jobstore.cpp - The replicated job store ----------------------------===//
//
// Applying committed changes.
//
//===----------------------------------------------------------------------===//

#include "jobs/jobstore.h"

#include "framework/log/log.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

/// Ends a job and frees what only an active job needs.
void endJob(Job &Ended, JobState State) {
  Ended.State = State;
  Ended.Tasks.clear();
  Ended.Spec = JobSpec();
}

bool isDone(const std::vector<TaskRecord> &Step) {
  return std::all_of(Step.begin(), Step.end(),
                     [](const TaskRecord &Task) { return Task.Done; });
}

void accept(JobStore &Store, const Job &New) {
  auto [Position, Inserted] = Store.Jobs.try_emplace(New.Id, New);
  if (!Inserted)
    return;
  Job &Added = Position->second;
  Added.State = JobState::Active;
  Added.Tasks.clear();
  for (const StepSpec &Step : Added.Spec.Steps)
    Added.Tasks.emplace_back(Step.Count);
  for (const SuspectTask &Each : New.Suspects)
    if (Each.Step < Added.Tasks.size() &&
        Each.Index < Added.Tasks[Each.Step].size())
      Added.Tasks[Each.Step][Each.Index].Suspicion = Each.Suspicion;
  Added.Suspects.clear();
}

TaskRecord *findRecord(Job &Stored, const TaskId &Id) {
  if (Stored.State != JobState::Active || Id.Step >= Stored.Tasks.size() ||
      Id.Index >= Stored.Tasks[Id.Step].size())
    return nullptr;
  return &Stored.Tasks[Id.Step][Id.Index];
}

void recordEnd(JobStore &Store, const TaskEnd &End) {
  auto Found = Store.Jobs.find(End.Task.Job);
  if (Found == Store.Jobs.end())
    return;
  Job &Stored = Found->second;
  TaskRecord *Task = findRecord(Stored, End.Task);
  if (!Task || Task->Done || End.Run <= Task->LastEnded)
    return;
  Task->LastEnded = End.Run;
  if (End.Succeeded) {
    Task->Done = true;
    Task->Suspicion = scheduling::Suspicion();
    if (std::all_of(Stored.Tasks.begin(), Stored.Tasks.end(), isDone))
      endJob(Stored, JobState::Completed);
    return;
  }
  ++Task->Failures;
  if (Task->Failures >= Stored.MaxFailures)
    endJob(Stored, JobState::Failed);
}

void recordLoss(JobStore &Store, const TaskLoss &Loss) {
  auto Found = Store.Jobs.find(Loss.Task.Job);
  if (Found == Store.Jobs.end())
    return;
  TaskRecord *Task = findRecord(Found->second, Loss.Task);
  if (!Task || Task->Done)
    return;
  scheduling::noteLoss(Task->Suspicion, Loss.Cause, Loss.Alone);
  if (Task->Suspicion.Quarantined)
    endJob(Found->second, JobState::Failed);
}

void cancel(JobStore &Store, const JobId &Id) {
  auto Found = Store.Jobs.find(Id);
  if (Found != Store.Jobs.end() && Found->second.State == JobState::Active)
    endJob(Found->second, JobState::Cancelled);
}

} // namespace

void apply(JobStore &Store, const JobChanges &Changes) {
  for (const Job &New : Changes.Accepted)
    accept(Store, New);
  for (const TaskEnd &End : Changes.Ended)
    recordEnd(Store, End);
  for (const TaskLoss &Loss : Changes.Lost)
    recordLoss(Store, Loss);
  for (const JobId &Id : Changes.Cancelled)
    cancel(Store, Id);
  for (const JobId &Id : Changes.Forgotten)
    Store.Jobs.erase(Id);
  for (const EvacuationOrder &Each : Changes.Evacuations)
    apply(Store.Evacuated, Each);
  if (Changes.SplitByRack && Store.Plan != PoolPlan::ByRack) {
    Store.Plan = PoolPlan::ByRack;
    Store.Groups = Changes.Groups;
  }
}

const Job *findJob(const JobStore &Store, const JobId &Id) {
  auto Found = Store.Jobs.find(Id);
  return Found == Store.Jobs.end() ? nullptr : &Found->second;
}

const TaskRecord *findTask(const JobStore &Store, const TaskId &Id) {
  const Job *Stored = findJob(Store, Id.Job);
  if (!Stored || Stored->State != JobState::Active ||
      Id.Step >= Stored->Tasks.size() ||
      Id.Index >= Stored->Tasks[Id.Step].size())
    return nullptr;
  return &Stored->Tasks[Id.Step][Id.Index];
}

std::size_t initialTaskCount(const JobSpec &Spec) {
  std::size_t Count = 0;
  for (const StepSpec &Step : Spec.Steps)
    if (Step.DependsOn.empty())
      Count += Step.Count;
  return Count;
}

bool dependenciesDone(const Job &Stored, std::uint32_t Step) {
  const std::vector<std::uint32_t> &Needed = Stored.Spec.Steps[Step].DependsOn;
  return std::all_of(Needed.begin(), Needed.end(), [&](std::uint32_t Earlier) {
    return isDone(Stored.Tasks[Earlier]);
  });
}

void ReplicatedJobs::apply(const std::string &Batch) {
  auto Changes = attempt([&] { return wire::readChanges(Batch); });
  if (!Changes) {
    logEvent(LogLevel::Error, Module, "batch_unreadable",
             {{"reason", Changes.error().Message}});
    return;
  }
  jobs::apply(Store_, *Changes);
}

std::string ReplicatedJobs::snapshot() const {
  return wire::writeStore(Store_);
}

Ret ReplicatedJobs::restore(const std::string &Snapshot) {
  if (Snapshot.empty()) {
    Store_ = JobStore();
    return {};
  }
  BOOST_LEAF_ASSIGN(Store_, wire::readStore(Snapshot));
  return {};
}

} // namespace geraniumbay::jobs
