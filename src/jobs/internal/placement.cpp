//===- placement.cpp - Placement of tasks on workers ----------------------===//
//
// Assigns waiting tasks in order, each to the worker that it leaves with the
// least free capacity (best fit), so that room remains for large tasks.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"
#include "scheduling/durations.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// Waiting tasks that may be skipped in one pass because they fit no worker:
/// smaller ones behind them may still fit.
constexpr std::size_t MaxSkipped = 64;

std::uint32_t runsOfStep(const WorkerSession &Session, const TaskId &Like) {
  std::uint32_t Count = 0;
  for (const auto &[Task, Each] : Session.Runs)
    if (Task.Job == Like.Job && Task.Step == Like.Step)
      ++Count;
  return Count;
}

/// A task takes longer away from the rack that holds its data.
bool isNearData(const WorkerSession &Session, const StepSpec &Step) {
  return Step.PreferredRack.empty() || Session.Info.Rack == Step.PreferredRack;
}

bool suits(const WorkerSession &Session, const StepSpec &Step,
           const TaskId &Id) {
  if (!hasLabel(Session.Info, Step.RequiredLabel))
    return false;
  return Step.MaxPerWorker == 0 || runsOfStep(Session, Id) < Step.MaxPerWorker;
}

} // namespace

PoolLoad Scheduler::load() const {
  PoolLoad Result;
  for (const auto &[Id, Session] : Sessions_) {
    if (!Session.RunsKnown || Session.Silent || Session.Info.Draining ||
        Session.Evacuated || Session.Unlisted)
      continue;
    Result.Capacity += Session.Info.Capacity.CpuMillis;
    Result.Used += Session.Used.CpuMillis;
  }
  if (Result.Capacity == 0)
    return Result;
  std::array<scheduling::CoreTime, scheduling::PriorityClasses> Waiting{};
  std::array<std::size_t, scheduling::PriorityClasses> Orders{};
  for (const auto &[Rank, Task] : Queue_) {
    std::size_t Class = scheduling::classOf(Rank.Priority);
    Waiting[Class] += scheduling::workOf(Task.Needs.CpuMillis, Task.Estimate);
    ++Orders[Class];
  }
  Time Now = Deps_.Clock.now();
  for (std::size_t Class = 0; Class < Waiting.size(); ++Class)
    Result.Backlog[Class] =
        std::max(scheduling::timeFor(Waiting[Class],
                                     static_cast<double>(Result.Capacity)),
                 scheduling::timeToOrder(Orders_, Orders[Class], Now));
  return Result;
}

void Scheduler::scheduleSoon() {
  if (ScheduleDue_ || Queue_.empty())
    return;
  ScheduleDue_ = true;
  Deps_.Timers.after(Duration::zero(), [this, Alive = Alive_] {
    if (!*Alive)
      return;
    ScheduleDue_ = false;
    schedule();
  });
}

void Scheduler::schedule() {
  if (!Deps_.OwnsPool())
    return;
  if (!Deps_.Evacuated.empty())
    moveShutOut();
  Time Now = Deps_.Clock.now();
  std::size_t Skipped = 0;
  for (auto It = Queue_.begin(); It != Queue_.end() && Skipped < MaxSkipped &&
                                 scheduling::hasRoom(Orders_, Now);) {
    if (!taskOf(It->second.Id)) {
      // Its job has just ended, and onCommitted() has not been called yet.
      Ranks_.erase(It->second.Id);
      It = Queue_.erase(It);
      continue;
    }
    WorkerSession *Session = bestWorker(It->second, Now);
    if (!Session) {
      if (isSuspected(It->second.Id))
        reserveWorkerFor(It->second, Now);
      ++Skipped;
      ++It;
      continue;
    }
    WaitingTask Task = std::move(It->second);
    It = Queue_.erase(It);
    Ranks_.erase(Task.Id);
    start(*Session, Task);
  }
}

WorkerSession *Scheduler::bestWorker(const WaitingTask &Task, Time Now) {
  const StepSpec &Step = jobOf(Task.Id.Job)->Spec.Steps[Task.Id.Step];
  WorkerSession *Best = nullptr;
  WorkerSession *Fallback = nullptr;
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
    // The worker on which it failed last, slow workers and those with an
    // unanswered order are used only if no other one has room.
    bool Failed = FailedAt != FailedAt_.end() && FailedAt->second == Id;
    double Factor = paceFactorOf(Each, Now);
    bool Slow = Factor >= scheduling::SlowFactor;
    if (Slow && (!Each.Runs.empty() || !isUsefulAtPace(Task, Factor, Now)))
      continue;
    if (Failed || Slow || hasUnansweredStart(Each, Now)) {
      Fallback = &Each;
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
  return Best ? Best : Fallback;
}

bool Scheduler::isUsefulAtPace(const WaitingTask &Task, double Factor,
                               Time Now) const {
  auto Found = ActiveTransients_.find(Task.Id.Job);
  if (Found == ActiveTransients_.end())
    return true;
  const ActiveTransient &Job = Found->second;
  Duration Run = scheduling::scaled(Task.Estimate, Factor);
  return Job.Late ? scheduling::canMeetHardDeadline(Job.Useful, Run, Now)
                  : scheduling::canMeetSoftDeadline(Job.Useful, Run, Now);
}

} // namespace geraniumbay::jobs
