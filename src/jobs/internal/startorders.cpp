//===- startorders.cpp - Orders to start a task ---------------------------===//
//
// Sends start orders and handles the answer or its absence. An unanswered order
// may still be carried out as long as it is valid. If that is a whole lease,
// the worker's runs are queried, and the run is revoked if it is not among
// them: after that the order has no effect, and the task can start elsewhere.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long a worker that refused a task gets no orders: about the time in
/// which it ends a task.
constexpr Duration RestAfterRefusal = std::chrono::milliseconds(100);
/// Added to the end of an order's validity before the worker is queried, since
/// clocks are read in whole milliseconds.
constexpr Duration ClockMargin = std::chrono::milliseconds(2);
/// Run numbers reserved for each term. The first run of a durable job's task
/// that an earlier leader may have started is numbered from the current term,
/// so that it is above all numbers of earlier leaders.
constexpr std::uint64_t RunsPerTerm = 1000;

} // namespace

RunNumber Scheduler::nextRun(const Job &JobRecord, const TaskId &Task) {
  bool Own = JobRecord.Spec.Transient || JobRecord.AcceptedUnder == Token_;
  std::uint64_t First = Own ? 1 : termOf(Token_).value() * RunsPerTerm + 1;
  std::uint64_t Recorded = taskOf(Task)->LastEnded.value();
  RunNumber &Last = LastRuns_[Task];
  Last = RunNumber(std::max({Last.value() + 1, First, Recorded + 1}));
  return Last;
}

void Scheduler::start(WorkerSession &Session, const WaitingTask &Task) {
  const Job &JobRecord = *jobOf(Task.Id.Job);
  Time Now = Deps_.Clock.now();
  StartOrder Order;
  Order.Task = Task.Id;
  Order.Run = nextRun(JobRecord, Task.Id);
  Order.Payload = JobRecord.Spec.Payload;
  Duration Valid = orderValidity(Session, Lease_, Timing_, Now);
  Order.LeaseUntil = leaseUntil(Session, Lease_, Valid, Now);
  Order.Token = Token_;
  noteLease(Session, Lease_, Valid, Now);
  addRun(Session, Task.Id,
         Run{Order.Run, Task.Needs, Now, false, false, Order.LeaseUntil,
             Task.Estimate, false, isSuspected(Task.Id)});
  Session.ReservedUntil = Time();
  Places_[Task.Id] = Session.Info.Worker;
  Begun_.insert(Task.Id.Job);
  if (Order.Run == RunNumber(1))
    noteFirstStart(Task.Id.Job, Now);
  logEvent(LogLevel::Info, Module, "task_ordered",
           {{"job", Task.Id.Job},
            {"step", Task.Id.Step},
            {"index", Task.Id.Index},
            {"run", Order.Run.value()},
            {"worker", Session.Info.Worker},
            {"pool", Deps_.Pool},
            {"token", Token_.value()}});
  // By then the order has expired by the worker's clock, so that its answer to
  // the query is conclusive.
  Deps_.Timers.after(leaseBound(Lease_, Valid) - Lease_.KillTime + ClockMargin,
                     [this, Alive = Alive_, Worker = Session.Info.Worker,
                      Task = Task.Id, Number = Order.Run] {
                       if (*Alive)
                         checkStart(Worker, Task, Number);
                     });
  Duration Usual = scheduling::orderValidity(Timing_, Lease_.MinOrderValidity,
                                             Lease_.LongestLease);
  if (Usual < Valid)
    Deps_.Timers.after(Usual,
                       [this, Alive = Alive_, Worker = Session.Info.Worker,
                        Task = Task.Id, Number = Order.Run] {
                         if (*Alive)
                           resolveStart(Worker, Task, Number);
                       });
  scheduling::OrderNumber InWindow = scheduling::noteOrder(Orders_, Now);
  Deps_.Workers.start(
      {Session.Info.Worker, Session.Info.At}, Order,
      [this, Alive = Alive_,
       To = WorkerIncarnation{Session.Info.Worker, Session.Info.StartedAt},
       Order, Now, InWindow](const StartAnswer &Answer) {
        if (!*Alive)
          return;
        noteOrderEnded(InWindow, Answer);
        started(To, Order, Now, Answer);
      });
}

void Scheduler::reportOverload(Time Now) {
  bool Overloaded = scheduling::isOverloaded(Orders_, Now);
  if (Overloaded == OverloadReported_)
    return;
  OverloadReported_ = Overloaded;
  if (Overloaded)
    Deps_.Measured.count("geraniumbay_owner_overloads_total",
                         "Times that a pool's owner could not order tasks as "
                         "fast as they came.",
                         {});
  logEvent(LogLevel::Warning, Module,
           Overloaded ? "owner_overloaded" : "owner_keeps_up",
           {{"pool", Deps_.Pool},
            {"waiting_tasks", Queue_.size()},
            {"unanswered", Orders_.Unanswered.size()},
            {"window", static_cast<std::uint64_t>(Orders_.Size)},
            {"per_order_us", Orders_.PerOrder.count()}});
}

void Scheduler::noteOrderEnded(scheduling::OrderNumber Number,
                               const StartAnswer &Answer) {
  if (Answer.Result == StartResult::Unknown ||
      Answer.Result == StartResult::NotReceived)
    scheduling::noteOrderLost(Orders_, Number);
  else
    scheduling::noteOrderAnswered(Orders_, Number, Deps_.Clock.now());
  // Without a task that waited for the window an answer makes no room.
  if (Orders_.WasFull)
    scheduleSoon();
}

bool Scheduler::isUnanswered(const WorkerId &Worker, const TaskId &Task,
                             RunNumber Number) {
  const WorkerSession *Session = session(Worker);
  if (!Session)
    return false;
  auto Found = Session->Runs.find(Task);
  return Found != Session->Runs.end() && Found->second.Number == Number &&
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

void Scheduler::resolveStart(const WorkerId &Worker, const TaskId &Task,
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
  auto Stopped =
      [this, Alive = Alive_, Worker, Task, Number,
       To = session(Worker)->Info.StartedAt](std::optional<WorkerMillis> At) {
        if (!*Alive || !At || !isUnanswered(Worker, Task, Number) ||
            isLaterIncarnation(session(Worker)->Info.StartedAt, To))
          return;
        session(Worker)->Runs.at(Task).ListedAfter = *At;
        Deps_.Timers.after(ClockMargin, [this, Alive, Worker] {
          WorkerSession *Session = *Alive ? session(Worker) : nullptr;
          if (Session)
            queryRuns(*Session);
        });
      };
  WorkerSession &Session = *session(Worker);
  Deps_.Workers.stop({Worker, Session.Info.At}, {Task, Number, Token_},
                     std::move(Stopped));
}

void Scheduler::noteTiming(const WorkerSession &Session, Time Sent,
                           const StartAnswer &Answer) {
  Time Now = Deps_.Clock.now();
  if (Answer.Result != StartResult::Unknown)
    return scheduling::noteAnswered(Timing_, Now - Sent);
  if (Session.LastAnsweredSentAt > Sent)
    scheduling::noteAnswerLost(Timing_, Now);
}

void Scheduler::started(const WorkerIncarnation &To, const StartOrder &Order,
                        Time Sent, const StartAnswer &Answer) {
  const TaskId &Task = Order.Task;
  const WorkerId &Worker = To.Worker;
  RunNumber Number = Order.Run;
  Deps_.Measured.count("geraniumbay_starts_total",
                       "Orders to start a task, by what came of them.",
                       {{"result", startResultName(Answer.Result)}});
  WorkerSession *Session = session(Worker);
  if (!Session)
    return;
  noteTiming(*Session, Sent, Answer);
  if (Answer.Result == StartResult::Fenced)
    return Deps_.OnFenced(Order.Token);
  if (isLaterIncarnation(Session->Info.StartedAt, To.StartedAt))
    return;
  if (Answer.Result == StartResult::Replaced)
    return dropWorker(Worker, "another incarnation answered",
                      scheduling::WorkerLoss::Crashed);
  // A worker that reports an order as late also reports its clock.
  if (Answer.Clock)
    noteClockReading(*Session, *Answer.Clock, Deps_.Clock.now());
  auto Found = Session->Runs.find(Task);
  if (Found == Session->Runs.end() || Found->second.Number != Number)
    return;
  if (Answer.Result == StartResult::Started) {
    Found->second.Confirmed = true;
    if (Answer.Clock)
      Found->second.ListedAfter = Found->second.ExistedAt = *Answer.Clock;
    Found->second.StartedAt = Answer.Clock;
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
    Deps_.Workers.stop({Worker, Session->Info.At}, {Task, Number, Token_});
    return;
  }
  Time Now = Deps_.Clock.now();
  if (Answer.Result != StartResult::Late &&
      Answer.Result != StartResult::OutOfOrder)
    Session->NoStartsUntil = Now + RestAfterRefusal;
  Resources Needs = Found->second.Needs;
  removeRun(*Session, Task);
  if (Answer.Result == StartResult::NoCapacity)
    noteCapacityRefusal(*Session, Needs, Now);
  Places_.erase(Task);
  enqueue(Task);
  scheduleSoon();
}

} // namespace geraniumbay::jobs
