//===- workerwatch.cpp - Conversations with workers -----------------------===//
//
// One hold after the other to each worker: it renews the lease, brings the ends
// and shows what runs. What becomes of the ends is in endrecords.cpp.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// While ends of a worker are on their way into the log it answers each hold at
/// once with these. It is asked at this pace then, a few times a commit, so
/// that an end right behind them does not wait for two commits.
constexpr Duration RecordingPause = std::chrono::milliseconds(8);
/// The pause before a worker that did not answer is asked again. It doubles
/// with each failure: one that is gone for good is forgotten by control after
/// seconds only, and each question costs a connection.
constexpr Duration FirstRetryPause = std::chrono::milliseconds(50);
constexpr Duration LongestRetryPause = std::chrono::milliseconds(800);

/// How a worker is lost whose hold failed with \p Why.
scheduling::WorkerLoss lossOf(const Error &Why) {
  return Why.Code == ErrorCode::Timeout ? scheduling::WorkerLoss::Silent
                                        : scheduling::WorkerLoss::Refused;
}

} // namespace

WorkerSession *Scheduler::session(const WorkerId &Worker) {
  auto Found = Sessions_.find(Worker);
  return Found == Sessions_.end() ? nullptr : &Found->second;
}

void Scheduler::applyWorkers(const WorkerDirectory &Directory) {
  Time Now = Deps_.Clock.now();
  for (const auto &[Id, Known] : Directory.Workers) {
    auto [Place, Fresh] = Sessions_.try_emplace(Id);
    WorkerSession &With = Place->second;
    bool Drains = Known.Info.Draining && !With.Info.Draining;
    With.Info = Known.Info;
    With.Evacuated = Deps_.Evacuated.count(Known.Info.DataCentre) != 0;
    if (Drains)
      logEvent(LogLevel::Info, Module, "worker_drains", {{"worker", Id}});
    if (!Fresh)
      continue;
    With.Clock = Known.Info.Clock;
    With.Moment = Known.Info.Clock;
    With.MomentSeen = Now;
    logEvent(LogLevel::Info, Module, "worker_found",
             {{"worker", Id},
              {"address", Known.Info.At.text()},
              {"data_centre", Known.Info.DataCentre}});
    hold(With);
  }
  std::vector<WorkerId> Gone;
  for (auto &[Id, With] : Sessions_) {
    With.Unlisted = Directory.Workers.count(Id) == 0;
    if (With.Unlisted && With.Runs.empty())
      Gone.push_back(Id);
  }
  for (const WorkerId &Id : Gone)
    dropWorker(Id, "not announced any more", scheduling::WorkerLoss::Silent);
}

void Scheduler::hold(WorkerSession &With) {
  Time Now = Deps_.Clock.now();
  bool Overdue = isHoldOverdue(With, Lease_, Now);
  bool Due = !With.HoldUnderWay || Overdue || isHoldTooLong(With, Lease_, Now);
  if (!Due || !Deps_.OwnsPool())
    return;
  HoldOrder Order;
  Order.Token = Token_;
  Order.LastSeenEnd = With.RecordedEnd;
  // A lease keeps alive whatever runs there. So none is given before all that
  // runs there is known, nor to a worker whose silence must come to an end.
  if (With.Known && !With.Silent && !With.Foreign) {
    Order.LeaseUntil = leaseUntil(With, Lease_, Lease_.Longest, Now);
    Order.Wait = nextHoldWait(With, Lease_, Timing_, Now);
    noteLease(With, Lease_, Lease_.Longest, Now);
  }
  With.HoldUnderWay = true;
  With.HoldSent = Now;
  With.HoldFor = Order.Wait;
  With.HoldRepeated = Overdue;
  ++With.HoldSerial;
  Deps_.Workers.hold(
      {With.Info.Worker, With.Info.At}, Order,
      [this, Alive = Alive_, Worker = With.Info.Worker,
       When = Sent{Now, Token_, With.HoldSerial, Order.LeaseUntil.has_value()}](
          const Outcome<HoldAnswer> &Answer) {
        if (*Alive)
          held(Worker, When, Answer);
      });
}

void Scheduler::look(WorkerSession &With, std::function<void()> Then) {
  if (!Deps_.OwnsPool())
    return;
  HoldOrder Order;
  Order.Token = Token_;
  Order.LastSeenEnd = With.RecordedEnd;
  Deps_.Workers.hold({With.Info.Worker, With.Info.At}, Order,
                     [this, Alive = Alive_, Worker = With.Info.Worker,
                      Sent = Deps_.Clock.now(), Then = std::move(Then)](
                         const Outcome<HoldAnswer> &Answer) {
                       WorkerSession *On = *Alive ? session(Worker) : nullptr;
                       if (!On || !Answer)
                         return;
                       takeAnswer(*On, Sent, *Answer);
                       if (Then)
                         Then();
                     });
}

void Scheduler::takeAnswer(WorkerSession &On, Time Sent,
                           const HoldAnswer &Answer) {
  HoldFindings Findings = takeHold(On, Answer, Deps_.Clock.now());
  takeFindings(On, Findings, !On.Known || On.Silent);
  if (!Findings.Current)
    return;
  On.LookedAt = std::max(On.LookedAt, Sent);
  On.Known = true;
  if (On.Silent)
    logEvent(LogLevel::Info, Module, "worker_answers",
             {{"worker", On.Info.Worker}});
  On.Silent = false;
  On.RetryPause = Duration(0);
  On.RetryAt = Time();
  On.HasUnknownRuns = On.Foreign = false;
  for (const RunningTask &Each : Findings.Found) {
    if (On.Runs.count(Each.Task) != 0)
      continue;
    On.HasUnknownRuns = true;
    bool Renewed = Lease_.RenewOrphans && Orphans_.count(Each.Task) != 0;
    On.Foreign = On.Foreign || !Renewed;
  }
  takeOverIfAllKnown();
}

void Scheduler::held(const WorkerId &Worker, const Sent &Order,
                     const Outcome<HoldAnswer> &Answer) {
  WorkerSession *With = session(Worker);
  if (!With)
    return;
  bool Latest = Order.Serial == With->HoldSerial;
  if (Latest)
    With->HoldUnderWay = false;
  if (!Answer && Answer.error().Code == ErrorCode::NotFound)
    return dropWorker(Worker, "another incarnation answered",
                      scheduling::WorkerLoss::Crashed);
  if (!Answer && Answer.error().Code == ErrorCode::Conflict)
    return Deps_.OnFenced(Order.Token);
  if (!Answer && Answer.error().Code == ErrorCode::Timeout &&
      With->LookedAt > Order.At)
    scheduling::noteAnswerLost(Timing_, Deps_.Clock.now());
  // One that was repeated says nothing of the worker by its silence.
  if (!Answer && !Latest)
    return;
  if (!Answer) {
    if (!With->Silent)
      logEvent(LogLevel::Warning, Module, "worker_silent",
               {{"worker", Worker},
                {"runs", With->Runs.size()},
                {"reason", Answer.error().Message}});
    With->Silent = true;
    With->Failure = lossOf(Answer.error());
    With->RetryPause =
        std::clamp(With->RetryPause * 2, FirstRetryPause, LongestRetryPause);
    With->RetryAt = Deps_.Clock.now() + With->RetryPause;
    return;
  }
  takeAnswer(*With, Order.At, *Answer);
  if (Order.Renews)
    With->RenewedAt = std::max(With->RenewedAt.value_or(Time()), Order.At);
  if (!Latest)
    return scheduleSoon();
  // Without a lease the worker answers at once: the tick asks again.
  if (With->TakenEnd == With->RecordedEnd && !With->Foreign)
    hold(*With);
  else if (!With->Foreign)
    holdLater(Worker);
  scheduleSoon();
}

void Scheduler::holdLater(const WorkerId &Worker) {
  Deps_.Timers.after(RecordingPause, [this, Alive = Alive_, Worker] {
    WorkerSession *With = *Alive ? session(Worker) : nullptr;
    if (With)
      hold(*With);
  });
}

void Scheduler::takeFindings(WorkerSession &On, const HoldFindings &Findings,
                             bool Fresh) {
  for (const EndedTask &End : Findings.Ended) {
    auto Left = Orphans_.find(End.Task);
    bool Unknown = !TakenOver_ && !jobOf(End.Task.Job);
    if (Unknown && End.How == EndKind::Done)
      Orphans_[End.Task] = {On.Info.Worker, End.Run, true};
    else if (Left != Orphans_.end() && Left->second.Worker == On.Info.Worker) {
      Left->second.Done = End.How == EndKind::Done;
      if (!Left->second.Done)
        Orphans_.erase(Left);
    }
    auto Place = Places_.find(End.Task);
    if (Place != Places_.end() && Place->second == On.Info.Worker &&
        On.Runs.count(End.Task) == 0)
      Places_.erase(Place);
    if (End.How == EndKind::Other)
      enqueue(End.Task);
  }
  for (const TaskId &Task : Findings.Missing) {
    logEvent(LogLevel::Warning, Module, "run_missing",
             {{"job", Task.Job},
              {"step", Task.Step},
              {"index", Task.Index},
              {"worker", On.Info.Worker}});
    Places_.erase(Task);
    enqueue(Task);
  }
  for (const RunningTask &Task : Findings.Found)
    found(On, Task, Fresh);
  // A stop may have been lost on its way.
  for (const auto &[Task, Each] : On.Runs)
    if (Each.Stopping)
      Deps_.Workers.stop({On.Info.Worker, On.Info.At},
                         {Task, Each.Number, Token_});
  if (!Findings.Ended.empty())
    recordEnds(On, Findings);
}

void Scheduler::found(WorkerSession &On, const RunningTask &Task, bool Fresh) {
  const Job *Of = jobOf(Task.Task.Job);
  const TaskRecord *Record = taskOf(Task.Task);
  bool Wanted = Record && !Record->Done && Ending_.count(Task.Task) == 0;
  if (Wanted && Places_.count(Task.Task) == 0)
    return adopt(On, Task);
  // The entry that waits for an unknown job hands it in again.
  bool Kept = Fresh || Orphans_.count(Task.Task) != 0;
  if (!Of && Kept && Deps_.Clock.now() < OrphansUntil_) {
    Orphans_[Task.Task] = {On.Info.Worker, Task.Run, false};
    return;
  }
  logEvent(LogLevel::Info, Module, "run_unwanted",
           {{"job", Task.Task.Job},
            {"step", Task.Task.Step},
            {"index", Task.Task.Index},
            {"run", Task.Run.value()},
            {"worker", On.Info.Worker}});
  Deps_.Workers.stop({On.Info.Worker, On.Info.At},
                     {Task.Task, Task.Run, Token_});
}

void Scheduler::adopt(WorkerSession &On, const RunningTask &Task) {
  logEvent(LogLevel::Info, Module, "run_adopted",
           {{"job", Task.Task.Job},
            {"step", Task.Task.Step},
            {"index", Task.Task.Index},
            {"run", Task.Run.value()},
            {"worker", On.Info.Worker}});
  const Job &Of = *jobOf(Task.Task.Job);
  if (auto Rank = Ranks_.find(Task.Task); Rank != Ranks_.end()) {
    Queue_.erase(Rank->second);
    Ranks_.erase(Rank);
  }
  Time Now = Deps_.Clock.now();
  const StepSpec &Step = Of.Spec.Steps[Task.Task.Step];
  addRun(On, Task.Task,
         Run{Task.Run, Step.Needs, Now, true, false, On.Clock,
             expectedRun(Of, Step, Now), true, isSuspected(Task.Task)});
  // It runs under a lease that an earlier owner gave, perhaps just now.
  noteLease(On, Lease_, Lease_.Longest, Now);
  Places_[Task.Task] = On.Info.Worker;
  RunNumber &Last = LastRuns_[Task.Task];
  Last = std::max(Last, Task.Run);
  Begun_.insert(Task.Task.Job);
}

void Scheduler::stopRunsOf(const JobId &Id) {
  for (auto &[Worker, With] : Sessions_)
    for (auto &[Task, Each] : With.Runs) {
      if (Task.Job != Id)
        continue;
      Each.Stopping = true;
      Deps_.Workers.stop({Worker, With.Info.At}, {Task, Each.Number, Token_});
    }
}

void Scheduler::dropWorker(const WorkerId &Worker, const char *Reason,
                           scheduling::WorkerLoss How) {
  WorkerSession *With = session(Worker);
  if (!With)
    return;
  logEvent(LogLevel::Info, Module, "worker_dropped",
           {{"worker", Worker}, {"reason", Reason}});
  loseRuns(*With, Reason, How);
  Sessions_.erase(Worker);
  scheduleSoon();
}

void Scheduler::checkLeases(Time Now) {
  for (auto &[Worker, With] : Sessions_) {
    if (With.Silent && !With.Runs.empty() && Now >= With.LeaseEnds)
      loseRuns(With, "lease over", With.Failure);
    bool Recording = With.TakenEnd != With.RecordedEnd;
    bool Replaced =
        isHoldOverdue(With, Lease_, Now) || isHoldTooLong(With, Lease_, Now);
    if (Replaced || (!Recording && Now >= With.RetryAt))
      hold(With);
  }
}

} // namespace geraniumbay::jobs
