//===- placement.cpp - Which task starts where ----------------------------===//
//
// Takes waiting tasks in their order and gives each the worker that it fills
// best, so that large tasks find room later.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"
#include "scheduling/durations.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// Waiting tasks that are looked at in one pass after the first that found no
/// room: smaller ones may still fit.
constexpr std::size_t MaxSkipped = 64;

std::uint32_t runsOfStep(const WorkerSession &On, const TaskId &Like) {
  std::uint32_t Count = 0;
  for (const auto &[Task, Each] : On.Runs)
    if (Task.Job == Like.Job && Task.Step == Like.Step)
      ++Count;
  return Count;
}

/// Away from the rack that holds its data a task takes longer.
bool isNearData(const WorkerSession &On, const StepSpec &Step) {
  return Step.PreferredRack.empty() || On.Info.Rack == Step.PreferredRack;
}

bool suits(const WorkerSession &On, const StepSpec &Step, const TaskId &Id) {
  if (!hasLabel(On.Info, Step.RequiredLabel))
    return false;
  return Step.MaxPerWorker == 0 || runsOfStep(On, Id) < Step.MaxPerWorker;
}

} // namespace

PoolLoad Scheduler::load() const {
  PoolLoad Result;
  for (const auto &[Id, With] : Sessions_) {
    if (!With.RunsKnown || With.Silent || With.Info.Draining ||
        With.Evacuated || With.Unlisted)
      continue;
    Result.Capacity += With.Info.Capacity.CpuMillis;
    Result.Used += With.Used.CpuMillis;
  }
  if (Result.Capacity == 0)
    return Result;
  std::array<scheduling::CoreTime, scheduling::PriorityClasses> Waiting{};
  for (const auto &[Rank, Task] : Queue_)
    Waiting[scheduling::classOf(Rank.Priority)] +=
        scheduling::workOf(Task.Needs.CpuMillis, Task.Estimate);
  for (std::size_t Class = 0; Class < Waiting.size(); ++Class)
    Result.Backlog[Class] = scheduling::timeFor(
        Waiting[Class], static_cast<double>(Result.Capacity));
  return Result;
}

void Scheduler::scheduleSoon() {
  if (ScheduleDue_ || Queue_.empty())
    return;
  ScheduleDue_ = true;
  Needs_.Timers.after(Duration::zero(), [this, Alive = Alive_] {
    if (!*Alive)
      return;
    ScheduleDue_ = false;
    schedule();
  });
}

void Scheduler::schedule() {
  if (!Needs_.MayOrder())
    return;
  if (!Needs_.Evacuated.empty())
    moveShutOut();
  Time Now = Needs_.Clock.now();
  std::size_t Skipped = 0;
  for (auto It = Queue_.begin(); It != Queue_.end() && Skipped < MaxSkipped;) {
    if (!taskOf(It->second.Id)) {
      // Its job has just ended; committed() has yet to hear of it.
      Ranks_.erase(It->second.Id);
      It = Queue_.erase(It);
      continue;
    }
    WorkerSession *On = bestWorker(It->second, Now);
    if (!On) {
      if (isSuspected(It->second.Id))
        reserveFor(It->second, Now);
      ++Skipped;
      ++It;
      continue;
    }
    WaitingTask Task = std::move(It->second);
    It = Queue_.erase(It);
    Ranks_.erase(Task.Id);
    start(*On, Task);
  }
}

WorkerSession *Scheduler::bestWorker(const WaitingTask &Task, Time Now) {
  const StepSpec &Step = jobOf(Task.Id.Job)->Spec.Steps[Task.Id.Step];
  WorkerSession *Best = nullptr;
  WorkerSession *Again = nullptr;
  std::uint32_t LeastLeft = UINT32_MAX;
  bool BestIsNear = false;
  bool Suspected = isSuspected(Task.Id);
  if (Suspected && !mayHostMoreSuspects())
    return nullptr;
  auto FailedAt = FailedAt_.find(Task.Id);
  for (auto &[Id, Each] : Sessions_) {
    if (!acceptsWorkFor(Each, Task.Service) || Each.NoStartsUntil > Now ||
        !hasFreeCapacity(Each, Task.Needs, Now) ||
        !suits(Each, Step, Task.Id) || !isTrusted(Each) ||
        !mayRunThere(Each, Suspected, Now))
      continue;
    // Where a run of it has failed, takes long or may not arrive it goes only
    // if nobody else has room.
    bool Failed = FailedAt != FailedAt_.end() && FailedAt->second == Id;
    double Factor = paceFactorOf(Each, Now);
    bool Slow = Factor >= scheduling::SlowFactor;
    if (Slow && (!Each.Runs.empty() || !isWorthIt(Task, Factor, Now)))
      continue;
    if (Failed || Slow || hasUnansweredStart(Each, Now)) {
      Again = &Each;
      continue;
    }
    std::uint32_t Left = Each.Info.Capacity.CpuMillis - Each.Used.CpuMillis -
                         Task.Needs.CpuMillis;
    bool IsNear = isNearData(Each, Step);
    if (Best && (BestIsNear != IsNear ? BestIsNear : Left >= LeastLeft))
      continue;
    Best = &Each;
    BestIsNear = IsNear;
    LeastLeft = Left;
  }
  return Best ? Best : Again;
}

bool Scheduler::isWorthIt(const WaitingTask &Task, double Factor,
                          Time Now) const {
  auto Found = Waiters_.find(Task.Id.Job);
  if (Found == Waiters_.end())
    return true;
  const Waiters &Job = Found->second;
  Duration Run = scheduling::scaled(Task.Estimate, Factor);
  return Job.Late ? scheduling::canMeetHardDeadline(Job.Useful, Run, Now)
                  : scheduling::canMeetSoftDeadline(Job.Useful, Run, Now);
}

} // namespace geraniumbay::jobs
