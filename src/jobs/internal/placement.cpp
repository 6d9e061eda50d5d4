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
/// A worker that refused a task is left alone for this long: about the time in
/// which it ends a task.
constexpr Duration RestAfterRefusal = std::chrono::milliseconds(100);
/// An answer is asked for so long after an order has become invalid; clocks are
/// read in whole milliseconds.
constexpr Duration SettleMargin = std::chrono::milliseconds(2);
/// The first run of a durable job's task that another leader may have started
/// is numbered from its term, so that it is above all numbers of earlier
/// leaders.
constexpr std::uint64_t RunsPerTerm = 1000;

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
  if (!carries(On.Info, Step.RequiredLabel))
    return false;
  return Step.MaxPerWorker == 0 || runsOfStep(On, Id) < Step.MaxPerWorker;
}

} // namespace

PoolLoad Scheduler::load() const {
  PoolLoad Result;
  for (const auto &[Id, With] : Sessions_) {
    if (!With.Known || With.Silent || With.Info.Draining || With.Evacuated)
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
    if (!takesWorkOf(Each, Task.Service) || Each.RestUntil > Now ||
        !hasRoom(Each, Task.Needs, Now) || !suits(Each, Step, Task.Id) ||
        !isTrusted(Each) || !mayRunThere(Each, Suspected, Now))
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
  return Job.Late ? scheduling::canBeOfUse(Job.Useful, Run, Now)
                  : scheduling::canBeInTime(Job.Useful, Run, Now);
}

RunNumber Scheduler::nextRun(const Job &Of, const TaskId &Task) {
  bool Own = Of.Spec.Transient || Of.AcceptedIn == Token_;
  std::uint64_t First = Own ? 1 : termOf(Token_).value() * RunsPerTerm + 1;
  std::uint64_t Recorded = taskOf(Task)->LastEnded.value();
  RunNumber &Last = LastRuns_[Task];
  Last = RunNumber(std::max({Last.value() + 1, First, Recorded + 1}));
  return Last;
}

void Scheduler::start(WorkerSession &On, const WaitingTask &Task) {
  const Job &Of = *jobOf(Task.Id.Job);
  Time Now = Needs_.Clock.now();
  StartOrder Order;
  Order.Task = Task.Id;
  Order.Run = nextRun(Of, Task.Id);
  Order.Payload = Of.Spec.Payload;
  Duration Valid = orderValidity(On, Lease_, Timing_, Now);
  Order.LeaseUntil = leaseUntil(On, Lease_, Valid, Now);
  Order.Token = Token_;
  noteLease(On, Lease_, Valid, Now);
  addRun(On, Task.Id,
         Run{Order.Run, Task.Needs, Now, false, false, Order.LeaseUntil,
             Task.Estimate, false, isSuspected(Task.Id)});
  On.ReservedUntil = Time();
  Places_[Task.Id] = On.Info.Worker;
  Begun_.insert(Task.Id.Job);
  if (Order.Run == RunNumber(1))
    noteFirstStart(Task.Id.Job, Now);
  logEvent(LogLevel::Info, Module, "task_ordered",
           {{"job", Task.Id.Job},
            {"step", Task.Id.Step},
            {"index", Task.Id.Index},
            {"run", Order.Run.value()},
            {"worker", On.Info.Worker},
            {"token", Token_.value()}});
  // By then the worker's clock has passed the order's time, so that its answer
  // to a question tells.
  Needs_.Timers.after(leaseBound(Lease_, Valid) - Lease_.KillTime +
                          SettleMargin,
                      [this, Alive = Alive_, Worker = On.Info.Worker,
                       Task = Task.Id, Number = Order.Run] {
                        if (*Alive)
                          checkStart(Worker, Task, Number);
                      });
  Needs_.Workers.start({On.Info.Worker, On.Info.At}, Order,
                       [this, Alive = Alive_, Worker = On.Info.Worker, Order,
                        Now](const StartAnswer &Answer) {
                         if (*Alive)
                           started(Worker, Order, Now, Answer);
                       });
}

void Scheduler::checkStart(const WorkerId &Worker, const TaskId &Task,
                           RunNumber Number) {
  WorkerSession *On = session(Worker);
  if (!On)
    return;
  auto Found = On->Runs.find(Task);
  bool Open = Found != On->Runs.end() && Found->second.Number == Number &&
              !Found->second.Confirmed;
  if (!Open)
    return;
  logEvent(LogLevel::Info, Module, "start_unanswered",
           {{"job", Task.Job},
            {"step", Task.Step},
            {"index", Task.Index},
            {"run", Number.value()},
            {"worker", Worker}});
  look(*On);
}

void Scheduler::noteTiming(const WorkerSession &On, Time Sent,
                           const StartAnswer &Answer) {
  Time Now = Needs_.Clock.now();
  if (Answer.Result != StartResult::Unknown)
    return scheduling::noteAnswered(Timing_, Now - Sent);
  if (On.LookedAt > Sent)
    scheduling::noteAnswerLost(Timing_, Now);
}

void Scheduler::started(const WorkerId &Worker, const StartOrder &Order,
                        Time Sent, const StartAnswer &Answer) {
  const TaskId &Task = Order.Task;
  RunNumber Number = Order.Run;
  Needs_.Measured.count("geraniumbay_starts_total",
                        "Orders to start a task, by what came of them.",
                        {{"result", startResultName(Answer.Result)}});
  WorkerSession *On = session(Worker);
  if (!On)
    return;
  noteTiming(*On, Sent, Answer);
  if (Answer.Result == StartResult::Gone)
    return dropWorker(Worker, "another incarnation answered",
                      scheduling::WorkerLoss::Crashed);
  // A worker that finds an order late shows how far its clock has come.
  if (Answer.Clock)
    noteMoment(*On, *Answer.Clock, Needs_.Clock.now());
  if (Answer.Result == StartResult::Fenced)
    return Needs_.Fenced(Order.Token);
  auto Found = On->Runs.find(Task);
  if (Found == On->Runs.end() || Found->second.Number != Number)
    return;
  if (Answer.Result == StartResult::Started) {
    Found->second.Confirmed = true;
    if (Answer.Clock)
      Found->second.ShownAfter = *Answer.Clock;
    return;
  }
  logEvent(LogLevel::Warning, Module, "start_failed",
           {{"job", Task.Job},
            {"step", Task.Step},
            {"index", Task.Index},
            {"run", Number.value()},
            {"worker", Worker},
            {"result", startResultName(Answer.Result)}});
  if (Answer.Result == StartResult::Unknown) {
    // A stop that arrives first makes the worker refuse the start later.
    Needs_.Workers.stop({Worker, On->Info.At}, {Task, Number, Token_});
    return;
  }
  Time Now = Needs_.Clock.now();
  if (Answer.Result != StartResult::Late &&
      Answer.Result != StartResult::OutOfOrder)
    On->RestUntil = Now + RestAfterRefusal;
  Resources Needs = Found->second.Needs;
  removeRun(*On, Task);
  if (Answer.Result == StartResult::NoRoom)
    noteNoRoom(*On, Needs, Now);
  Places_.erase(Task);
  enqueue(Task);
  scheduleSoon();
}

} // namespace geraniumbay::jobs
