//===- startorders.cpp - Orders to start a task ---------------------------===//
//
// What is sent, and what is made of the answer or of its absence. An order that
// was not answered may be carried out as long as it is valid. Where that is a
// whole lease, the worker is asked, and told to stop the run if it does not
// show it: after that the order can do nothing, and the task starts elsewhere.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
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

} // namespace

RunNumber Scheduler::nextRun(const Job &Of, const TaskId &Task) {
  bool Own = Of.Spec.Transient || Of.AcceptedUnder == Token_;
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
            {"pool", Needs_.Pool},
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
  Duration Usual = scheduling::orderValidity(Timing_, Lease_.MinOrderValidity,
                                             Lease_.LongestLease);
  if (Usual < Valid)
    Needs_.Timers.after(Usual, [this, Alive = Alive_, Worker = On.Info.Worker,
                                Task = Task.Id, Number = Order.Run] {
      if (*Alive)
        settleStart(Worker, Task, Number);
    });
  Needs_.Workers.start({On.Info.Worker, On.Info.At}, Order,
                       [this, Alive = Alive_, Worker = On.Info.Worker, Order,
                        Now](const StartAnswer &Answer) {
                         if (*Alive)
                           started(Worker, Order, Now, Answer);
                       });
}

bool Scheduler::isUnanswered(const WorkerId &Worker, const TaskId &Task,
                             RunNumber Number) {
  const WorkerSession *On = session(Worker);
  if (!On)
    return false;
  auto Found = On->Runs.find(Task);
  return Found != On->Runs.end() && Found->second.Number == Number &&
         !Found->second.Confirmed;
}

void Scheduler::noteUnanswered(const WorkerId &Worker, const TaskId &Task,
                               RunNumber Number) {
  logEvent(LogLevel::Info, Module, "start_unanswered",
           {{"job", Task.Job},
            {"step", Task.Step},
            {"index", Task.Index},
            {"run", Number.value()},
            {"worker", Worker}});
}

void Scheduler::checkStart(const WorkerId &Worker, const TaskId &Task,
                           RunNumber Number) {
  if (!isUnanswered(Worker, Task, Number))
    return;
  noteUnanswered(Worker, Task, Number);
  queryRuns(*session(Worker));
}

void Scheduler::settleStart(const WorkerId &Worker, const TaskId &Task,
                            RunNumber Number) {
  if (!isUnanswered(Worker, Task, Number))
    return;
  noteUnanswered(Worker, Task, Number);
  queryRuns(*session(Worker), [this, Worker, Task, Number] {
    if (isUnanswered(Worker, Task, Number))
      revokeStart(Worker, Task, Number);
  });
}

void Scheduler::revokeStart(const WorkerId &Worker, const TaskId &Task,
                            RunNumber Number) {
  auto Stopped = [this, Alive = Alive_, Worker, Task,
                  Number](std::optional<WorkerMillis> At) {
    if (!*Alive || !At || !isUnanswered(Worker, Task, Number))
      return;
    session(Worker)->Runs.at(Task).ListedAfter = *At;
    Needs_.Timers.after(SettleMargin, [this, Alive, Worker] {
      WorkerSession *On = *Alive ? session(Worker) : nullptr;
      if (On)
        queryRuns(*On);
    });
  };
  WorkerSession &On = *session(Worker);
  Needs_.Workers.stop({Worker, On.Info.At}, {Task, Number, Token_},
                      std::move(Stopped));
}

void Scheduler::noteTiming(const WorkerSession &On, Time Sent,
                           const StartAnswer &Answer) {
  Time Now = Needs_.Clock.now();
  if (Answer.Result != StartResult::Unknown)
    return scheduling::noteAnswered(Timing_, Now - Sent);
  if (On.LastAnsweredSentAt > Sent)
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
  if (Answer.Result == StartResult::Replaced)
    return dropWorker(Worker, "another incarnation answered",
                      scheduling::WorkerLoss::Crashed);
  // A worker that finds an order late shows how far its clock has come.
  if (Answer.Clock)
    noteClockReading(*On, *Answer.Clock, Needs_.Clock.now());
  if (Answer.Result == StartResult::Fenced)
    return Needs_.Fenced(Order.Token);
  auto Found = On->Runs.find(Task);
  if (Found == On->Runs.end() || Found->second.Number != Number)
    return;
  if (Answer.Result == StartResult::Started) {
    Found->second.Confirmed = true;
    if (Answer.Clock)
      Found->second.ListedAfter = *Answer.Clock;
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
    On->NoStartsUntil = Now + RestAfterRefusal;
  Resources Needs = Found->second.Needs;
  removeRun(*On, Task);
  if (Answer.Result == StartResult::NoCapacity)
    noteCapacityRefusal(*On, Needs, Now);
  Places_.erase(Task);
  enqueue(Task);
  scheduleSoon();
}

} // namespace geraniumbay::jobs
