//===- workerwatch.cpp - Holds to workers ---------------------------------===//
//
// Sends one hold after another to each worker. A hold renews the lease,
// collects the ends of tasks and lists the running ones. Ends are recorded in
// endrecords.cpp.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// While ends of a worker are being written to the log, it answers each hold at
/// once with the same ends. Holds are sent at this interval meanwhile, a few
/// times per commit, so that an end that follows does not wait for two commits.
constexpr Duration RecordingPause = std::chrono::milliseconds(8);
/// Delay before the next hold to a worker that did not answer, doubled with
/// each failure. Control drops a lost worker only after seconds, and each
/// attempt costs a connection.
constexpr Duration FirstRetryPause = std::chrono::milliseconds(50);
constexpr Duration LongestRetryPause = std::chrono::milliseconds(800);

/// The time after which an unanswered order is not carried out any more.
constexpr Duration LateOrderLimit = std::chrono::seconds(12);
/// Interval between stops of a run that was ordered from an earlier incarnation
/// of the worker: calls time out after 400 ms.
constexpr Duration RevokeInterval = std::chrono::milliseconds(400);

/// The ends that a hold acknowledges. A worker that has not answered the last
/// hold in time may have started again. Its numbers of ends then begin anew,
/// and ends that were not seen must not be acknowledged. \p Certain is set if
/// the session's incarnation has just answered.
std::uint64_t lastSeenEnd(const WorkerSession &Session, bool Certain) {
  bool MayHaveRestarted =
      Session.Info.StartedAt != WorkerStart() && (!Certain || Session.Silent);
  return MayHaveRestarted ? 0 : lastRecordedEnd(Session);
}

/// Classifies the loss of a worker whose hold failed with \p Failure. An
/// answer that can't be read does not show that the worker has crashed.
scheduling::WorkerLoss lossOf(const Error &Failure) {
  bool Silent = Failure.Code == ErrorCode::Timeout ||
                Failure.Code == ErrorCode::InvalidArgument;
  return Silent ? scheduling::WorkerLoss::Silent
                : scheduling::WorkerLoss::Refused;
}

} // namespace

WorkerSession *Scheduler::session(const WorkerId &Worker) {
  auto Found = Sessions_.find(Worker);
  return Found == Sessions_.end() ? nullptr : &Found->second;
}

void Scheduler::applyWorkers(const WorkerDirectory &Directory) {
  Time Now = Deps_.Clock.now();
  std::erase_if(Gone_, [&](const auto &Entry) {
    auto Listed = Directory.Workers.find(Entry.first);
    return Listed == Directory.Workers.end() ||
           Listed->second.Info.StartedAt != Entry.second;
  });
  for (const auto &[Id, Listed] : Directory.Workers) {
    if (Gone_.count(Id) != 0)
      continue;
    auto [Entry, Inserted] = Sessions_.try_emplace(Id);
    WorkerSession &Session = Entry->second;
    if (!Inserted) {
      applyListed(Session, Listed.Info);
      continue;
    }
    Session.Info = Listed.Info;
    Session.Evacuated = Deps_.Evacuated.count(Listed.Info.DataCentre) != 0;
    if (Listed.Info.Draining)
      logEvent(LogLevel::Info, Module, "worker_drains", {{"worker", Id}});
    Session.Clock = Listed.Info.Clock;
    Session.ClockReading = Listed.Info.Clock;
    Session.ClockReadAt = Now;
    logEvent(LogLevel::Info, Module, "worker_found",
             {{"worker", Id},
              {"address", Listed.Info.At.text()},
              {"data_centre", Listed.Info.DataCentre}});
    sendHold(Session);
  }
  std::vector<WorkerId> Unlisted;
  for (auto &[Id, Session] : Sessions_) {
    Session.Unlisted = Directory.Workers.count(Id) == 0;
    if (Session.Unlisted && Session.Runs.empty())
      Unlisted.push_back(Id);
  }
  for (const WorkerId &Id : Unlisted)
    dropWorker(Id, "not announced any more", scheduling::WorkerLoss::Silent);
}

void Scheduler::applyListed(WorkerSession &Session, const WorkerInfo &Listed) {
  // A list may lag behind what the worker itself has answered.
  if (isEarlierIncarnation(Listed.StartedAt, Session.Info.StartedAt))
    return;
  bool Restarted = isLaterIncarnation(Listed.StartedAt, Session.Info.StartedAt);
  bool StartsDraining = Listed.Draining && !Session.Info.Draining;
  if (Restarted)
    handleRestart(Session, Listed.StartedAt, "list");
  Session.Info = Listed;
  Session.Unannounced = false;
  Session.Evacuated = Deps_.Evacuated.count(Listed.DataCentre) != 0;
  if (StartsDraining)
    logEvent(LogLevel::Info, Module, "worker_drains",
             {{"worker", Listed.Worker}});
  if (!Restarted)
    return;
  Session.Clock = Session.ClockReading = Listed.Clock;
  sendHold(Session);
  revokeEarlierRuns(Session);
}

bool Scheduler::isOfSession(WorkerSession &Session, const HoldAnswer &Answer) {
  switch (answeredBy(Session, Answer)) {
  case AnsweredBy::SameIncarnation:
    return true;
  case AnsweredBy::EarlierIncarnation:
    logEvent(LogLevel::Info, Module, "hold_answer_outdated",
             {{"worker", Session.Info.Worker},
              {"started", Session.Info.StartedAt.value()},
              {"answered_by", Answer.StartedAt.value()}});
    return false;
  case AnsweredBy::LaterIncarnation:
    handleRestart(Session, Answer.StartedAt, "answer");
    sendHold(Session);
    revokeEarlierRuns(Session);
    return false;
  }
  return false;
}

void Scheduler::handleRestart(WorkerSession &Session, WorkerStart StartedAt,
                              const char *Source) {
  logEvent(LogLevel::Info, Module, "worker_restarted",
           {{"worker", Session.Info.Worker},
            {"earlier", Session.Info.StartedAt.value()},
            {"started", StartedAt.value()},
            {"runs", Session.Runs.size()},
            {"source", Source}});
  Deps_.Measured.count("geraniumbay_worker_restarts_total",
                       "Workers that were found to have started again under "
                       "their id.",
                       {{"source", Source}});
  std::vector<TaskLoss> Lost;
  for (const auto &[Task, Each] : Session.Runs)
    if (!Each.Revoking)
      Lost.push_back(
          {Task, scheduling::WorkerLoss::Crashed, Session.Runs.size() == 1});
  bool WasDraining = Session.Info.Draining;
  WorkerId Worker = Session.Info.Worker;
  beginIncarnation(Session, StartedAt, Deps_.Clock.now());
  // The losses are counted now; the tasks are queued once their runs are
  // revoked. A worker that is draining was not crashed by a task.
  if (!Lost.empty() && !WasDraining)
    countLosses(std::move(Lost));
  std::erase_if(Orphans_, [&](const auto &Entry) {
    return !Entry.second.Done && Entry.second.Worker == Worker;
  });
}

void Scheduler::revokeEarlierRuns(WorkerSession &Session) {
  std::vector<std::pair<TaskId, RunNumber>> Revoked;
  for (const auto &[Task, Each] : Session.Runs)
    if (Each.Revoking)
      Revoked.emplace_back(Task, Each.Number);
  Session.RevokeAgainAt.reset();
  if (!Revoked.empty())
    Session.RevokeAgainAt = Deps_.Clock.now() + RevokeInterval;
  for (const auto &[Task, Number] : Revoked)
    revokeStart(Session.Info.Worker, Task, Number);
}

void Scheduler::sendHold(WorkerSession &Session) {
  Time Now = Deps_.Clock.now();
  bool Overdue = isHoldOverdue(Session, Lease_, Now);
  bool Due =
      !Session.HoldInFlight || Overdue || isHoldTooLong(Session, Lease_, Now);
  if (!Due || !Deps_.OwnsPool())
    return;
  HoldOrder Order;
  Order.Token = Token_;
  bool Certain = !Session.HoldInFlight;
  Order.LastSeenEnd = lastSeenEnd(Session, Certain);
  // An idle worker that may have restarted is asked for an answer at once.
  bool MayHaveRestarted = !Certain && Session.Runs.empty() &&
                          Session.Info.StartedAt != WorkerStart();
  // A lease keeps all runs of the worker alive. So it is renewed only if all of
  // them are known, and not for a silent worker, whose lease must expire.
  if (Session.RunsKnown && !Session.Silent && !Session.HasForeignRuns &&
      !MayHaveRestarted) {
    Order.LeaseUntil = leaseUntil(Session, Lease_, Lease_.LongestLease, Now);
    // Ends of an earlier owner's runs may be left to read.
    if (Session.ProvenListSentAt)
      Order.Wait = nextHoldWait(Session, Lease_, Timing_, Now);
    noteLease(Session, Lease_, Lease_.LongestLease, Now);
  }
  Session.HoldInFlight = true;
  Session.HoldSent = Now;
  Session.RequestedHoldWait = Order.Wait;
  Session.HoldResent = Overdue;
  ++Session.HoldSerial;
  Deps_.Workers.hold(
      {Session.Info.Worker, Session.Info.At}, Order,
      [this, Alive = Alive_, Worker = Session.Info.Worker,
       When =
           Sent{Now, Token_, Session.HoldSerial, Order.LeaseUntil.has_value(),
                Session.Info.StartedAt}](const Outcome<HoldAnswer> &Answer) {
        if (*Alive)
          handleHoldAnswer(Worker, When, Answer);
      });
}

void Scheduler::queryRuns(WorkerSession &Session,
                          std::function<void()> OnAnswer) {
  if (!Deps_.OwnsPool())
    return;
  HoldOrder Order;
  Order.Token = Token_;
  Order.LastSeenEnd = lastSeenEnd(Session, false);
  Deps_.Workers.hold(
      {Session.Info.Worker, Session.Info.At}, Order,
      [this, Alive = Alive_, Worker = Session.Info.Worker,
       Sent = Deps_.Clock.now(),
       OnAnswer = std::move(OnAnswer)](const Outcome<HoldAnswer> &Answer) {
        WorkerSession *Current = *Alive ? session(Worker) : nullptr;
        if (!Current || !Answer || !isOfSession(*Current, *Answer))
          return;
        applyAnswer(*Current, Sent, *Answer);
        if (OnAnswer)
          OnAnswer();
      });
}

void Scheduler::queryHiddenEnds(WorkerSession &Session,
                                const HoldFindings &Findings) {
  bool Awaited =
      Findings.MaybeEnded != 0 || (Session.UnprovenList && !Unsettled_.empty());
  if (!Awaited || Session.EndsQueryPending)
    return;
  Session.EndsQueryPending = true;
  // Without new ends the next answer would be the same for a while.
  Duration Pause = Findings.Ended.empty() ? RecordingPause : Duration(0);
  Deps_.Timers.after(
      Pause, [this, Alive = Alive_, Worker = Session.Info.Worker] {
        WorkerSession *Current = *Alive ? session(Worker) : nullptr;
        if (!Current)
          return;
        Current->EndsQueryPending = false;
        queryRuns(*Current);
      });
}

bool Scheduler::applyAnswer(WorkerSession &Session, Time Sent,
                            const HoldAnswer &Answer) {
  bool NewlyReachable = !Session.RunsKnown || Session.Silent;
  HoldFindings Findings =
      applyHoldAnswer(Session, Answer, Sent, Deps_.Clock.now());
  logMissing(Session, Answer, Findings);
  applyFindings(Session, Findings, NewlyReachable);
  queryHiddenEnds(Session, Findings);
  bool HasNewEnds = !Findings.Ended.empty();
  if (!Findings.Current)
    return HasNewEnds;
  Session.LastAnsweredSentAt = std::max(Session.LastAnsweredSentAt, Sent);
  if (Session.Silent)
    logEvent(LogLevel::Info, Module, "worker_answers",
             {{"worker", Session.Info.Worker}});
  Session.Silent = false;
  Session.RetryPause = Duration(0);
  Session.RetryAt = Time();
  Session.HasUnknownRuns = Session.HasForeignRuns = false;
  for (const RunningTask &Each : Findings.Found) {
    if (Session.Runs.count(Each.Task) != 0)
      continue;
    Session.HasUnknownRuns = true;
    bool Renewed = Lease_.RenewOrphans && Orphans_.count(Each.Task) != 0;
    Session.HasForeignRuns = Session.HasForeignRuns || !Renewed;
  }
  takeOverIfAllKnown();
  return HasNewEnds;
}

void Scheduler::handleHoldAnswer(const WorkerId &Worker, const Sent &Order,
                                 const Outcome<HoldAnswer> &Answer) {
  WorkerSession *Session = session(Worker);
  if (!Session)
    return;
  bool Latest = Order.Serial == Session->HoldSerial;
  if (Latest)
    Session->HoldInFlight = false;
  // What became of a call to an earlier incarnation says nothing of this one.
  if (isLaterIncarnation(Session->Info.StartedAt, Order.To) &&
      (Answer || Answer.error().Code != ErrorCode::Conflict))
    return;
  if (!Answer && Answer.error().Code == ErrorCode::NotFound)
    return dropWorker(Worker, "another incarnation answered",
                      scheduling::WorkerLoss::Crashed);
  if (!Answer && Answer.error().Code == ErrorCode::Conflict)
    return Deps_.OnFenced(Order.Token);
  if (!Answer && Answer.error().Code == ErrorCode::Timeout &&
      Session->LastAnsweredSentAt > Order.At)
    scheduling::noteAnswerLost(Timing_, Deps_.Clock.now());
  // The failure of a hold that was repeated says nothing about the worker.
  if (!Answer && !Latest)
    return;
  if (!Answer) {
    if (!Session->Silent)
      logEvent(LogLevel::Warning, Module, "worker_silent",
               {{"worker", Worker},
                {"runs", Session->Runs.size()},
                {"reason", Answer.error().Message}});
    Session->Silent = true;
    Session->Failure = lossOf(Answer.error());
    Session->RetryPause =
        std::clamp(Session->RetryPause * 2, FirstRetryPause, LongestRetryPause);
    Session->RetryAt = Deps_.Clock.now() + Session->RetryPause;
    return;
  }
  if (!isOfSession(*Session, *Answer))
    return;
  bool HasNewEnds = applyAnswer(*Session, Order.At, *Answer);
  if (Order.Renews)
    Session->RenewedAt =
        std::max(Session->RenewedAt.value_or(Time()), Order.At);
  if (!Latest)
    return scheduleSoon();
  // A hold that asks for no wait is answered at once, so the next one is left
  // to the tick unless it will bring more ends.
  if (Session->HasForeignRuns)
    return scheduleSoon();
  if (isRecordingEnds(*Session))
    sendHoldLater(Worker);
  else if (Session->ProvenListSentAt || HasNewEnds)
    sendHold(*Session);
  scheduleSoon();
}

void Scheduler::sendHoldLater(const WorkerId &Worker) {
  Deps_.Timers.after(RecordingPause, [this, Alive = Alive_, Worker] {
    WorkerSession *Session = *Alive ? session(Worker) : nullptr;
    if (Session)
      sendHold(*Session);
  });
}

void Scheduler::logMissing(const WorkerSession &Session,
                           const HoldAnswer &Answer,
                           const HoldFindings &Findings) {
  for (const MissingRun &Each : Findings.Missing)
    logEvent(LogLevel::Warning, Module, "run_missing",
             {{"job", Each.Task.Job},
              {"step", Each.Task.Step},
              {"index", Each.Task.Index},
              {"run", Each.Number.value()},
              {"worker", Session.Info.Worker},
              {"absent_since", Each.AbsentSince.value()},
              {"worker_clock", Answer.Clock.value()},
              {"ends_listed", Answer.Ended.size()},
              {"last_end", Session.LastProcessedEnd},
              {"ends_known_before", Session.EndsKnownBefore.value()}});
  if (Findings.MaybeEnded == 0 || Findings.NewlyAbsent == 0)
    return;
  Deps_.Measured.count("geraniumbay_answers_with_hidden_ends_total",
                       "Answers of workers that list some run neither as "
                       "running nor as ended, while its end may follow.",
                       {});
  logEvent(LogLevel::Info, Module, "ends_may_be_hidden",
           {{"worker", Session.Info.Worker},
            {"runs", Findings.MaybeEnded},
            {"worker_clock", Answer.Clock.value()},
            {"ends_listed", Answer.Ended.size()},
            {"last_end", Session.LastProcessedEnd},
            {"ends_known_before", Session.EndsKnownBefore.value()}});
}

void Scheduler::applyFindings(WorkerSession &Session,
                              const HoldFindings &Findings,
                              bool NewlyReachable) {
  for (const EndedTask &End : Findings.Ended) {
    auto Orphan = Orphans_.find(End.Task);
    bool Unknown = !TakenOver_ && !jobOf(End.Task.Job);
    if (Unknown && End.Kind == EndKind::Done)
      Orphans_[End.Task] = {Session.Info.Worker, End.Run, true};
    else if (Orphan != Orphans_.end() &&
             Orphan->second.Worker == Session.Info.Worker) {
      Orphan->second.Done = End.Kind == EndKind::Done;
      if (!Orphan->second.Done)
        Orphans_.erase(Orphan);
    }
    auto Place = Places_.find(End.Task);
    if (Place != Places_.end() && Place->second == Session.Info.Worker &&
        Session.Runs.count(End.Task) == 0)
      Places_.erase(Place);
    if (End.Kind == EndKind::Other)
      enqueue(End.Task);
  }
  for (const MissingRun &Each : Findings.Missing) {
    Places_.erase(Each.Task);
    enqueue(Each.Task);
  }
  for (const RunningTask &Task : Findings.Found)
    handleFoundRun(Session, Task, NewlyReachable);
  // Repeats stop orders, which may have been lost.
  for (const auto &[Task, Each] : Session.Runs)
    if (Each.Stopping)
      Deps_.Workers.stop({Session.Info.Worker, Session.Info.At},
                         {Task, Each.Number, Token_});
  if (!Findings.Ended.empty())
    recordEnds(Session, Findings);
}

void Scheduler::handleFoundRun(WorkerSession &Session, const RunningTask &Task,
                               bool NewlyReachable) {
  const Job *KnownJob = jobOf(Task.Task.Job);
  const TaskRecord *Record = taskOf(Task.Task);
  bool Wanted = Record && !Record->Done && Ending_.count(Task.Task) == 0;
  if (Wanted && Places_.count(Task.Task) == 0)
    return adoptRun(Session, Task);
  // The entry that waits for an unknown job submits it again.
  bool Kept = NewlyReachable || Orphans_.count(Task.Task) != 0;
  if (!KnownJob && Kept && Deps_.Clock.now() < OrphansUntil_) {
    Orphans_[Task.Task] = {Session.Info.Worker, Task.Run, false};
    return;
  }
  logEvent(LogLevel::Info, Module, "run_unwanted",
           {{"job", Task.Task.Job},
            {"step", Task.Task.Step},
            {"index", Task.Task.Index},
            {"run", Task.Run.value()},
            {"worker", Session.Info.Worker}});
  Deps_.Workers.stop({Session.Info.Worker, Session.Info.At},
                     {Task.Task, Task.Run, Token_});
}

void Scheduler::adoptRun(WorkerSession &Session, const RunningTask &Task) {
  logEvent(LogLevel::Info, Module, "run_adopted",
           {{"job", Task.Task.Job},
            {"step", Task.Task.Step},
            {"index", Task.Task.Index},
            {"run", Task.Run.value()},
            {"worker", Session.Info.Worker}});
  const Job &TaskJob = *jobOf(Task.Task.Job);
  if (auto Rank = Ranks_.find(Task.Task); Rank != Ranks_.end()) {
    Queue_.erase(Rank->second);
    Ranks_.erase(Rank);
  }
  Time Now = Deps_.Clock.now();
  const StepSpec &Step = TaskJob.Spec.Steps[Task.Task.Step];
  addRun(Session, Task.Task,
         Run{Task.Run, Step.Needs, Now, true, false, Session.Clock,
             expectedRun(TaskJob, Step, Now), true, isSuspected(Task.Task)});
  // It runs under a lease that an earlier owner granted, possibly just now.
  noteLease(Session, Lease_, Lease_.LongestLease, Now);
  Places_[Task.Task] = Session.Info.Worker;
  RunNumber &Last = LastRuns_[Task.Task];
  Last = std::max(Last, Task.Run);
  Begun_.insert(Task.Task.Job);
}

void Scheduler::stopRunsOf(const JobId &Id) {
  for (auto &[Worker, Session] : Sessions_)
    for (auto &[Task, Each] : Session.Runs) {
      if (Task.Job != Id)
        continue;
      Each.Stopping = true;
      Deps_.Workers.stop({Worker, Session.Info.At},
                         {Task, Each.Number, Token_});
    }
}

void Scheduler::dropWorker(const WorkerId &Worker, const char *Reason,
                           scheduling::WorkerLoss Loss) {
  WorkerSession *Session = session(Worker);
  if (!Session)
    return;
  logEvent(LogLevel::Info, Module, "worker_dropped",
           {{"worker", Worker}, {"reason", Reason}});
  // Without a start time an id stands for one process, and control drops it.
  if (Loss == scheduling::WorkerLoss::Crashed &&
      Session->Info.StartedAt != WorkerStart())
    Gone_[Worker] = Session->Info.StartedAt;
  loseRuns(*Session, Reason, Loss);
  Sessions_.erase(Worker);
  scheduleSoon();
}

void Scheduler::loseEndedRuns(WorkerSession &Session, Time Now) {
  // A later incarnation may carry out an unanswered order although the lease
  // in it is over, since its clock begins anew.
  std::unordered_map<TaskId, Run> Kept;
  if (Session.Info.StartedAt != WorkerStart())
    for (const auto &[Task, Each] : Session.Runs)
      if (!Each.Confirmed &&
          Now - Each.Since < LateOrderLimit + leaseBound(Lease_))
        Kept.emplace(Task, Each);
  for (const auto &[Task, Each] : Kept)
    removeRun(Session, Task);
  if (!Session.Runs.empty())
    loseRuns(Session, "lease over", Session.Failure);
  for (auto &[Task, Each] : Kept) {
    Each.Revoking = Each.Stopping = true;
    Each.ListedAfter = WorkerMillis(INT64_MAX);
    Each.AbsentSince.reset();
    addRun(Session, Task, Each);
  }
  if (!Kept.empty() && !Session.RevokeAgainAt)
    Session.RevokeAgainAt = Now;
}

void Scheduler::checkLeases(Time Now) {
  for (auto &[Worker, Session] : Sessions_) {
    if (Session.Silent && !Session.Runs.empty() && Now >= Session.LeaseEnds)
      loseEndedRuns(Session, Now);
    // Stops that were lost are repeated.
    if (Session.RevokeAgainAt && Now >= *Session.RevokeAgainAt)
      revokeEarlierRuns(Session);
    bool NeedsResend = isHoldOverdue(Session, Lease_, Now) ||
                       isHoldTooLong(Session, Lease_, Now);
    if (NeedsResend || (!isRecordingEnds(Session) && Now >= Session.RetryAt))
      sendHold(Session);
  }
}

} // namespace geraniumbay::jobs
