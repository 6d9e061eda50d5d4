//===- scheduler.cpp - Scheduling under one fencing token -----------------===//
//
// Jobs: their way into the log, their tasks that may start, and their end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/scheduler.h"

#include "framework/log/log.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How often leases are checked and what is old is dropped.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// How long a job that has ended can be asked for.
constexpr Duration KeepSettled = std::chrono::seconds(180);
/// How long what another owner left, which has just met this one, is kept: the
/// time in which it lets go and its entries hand their jobs in here.
constexpr Duration KeepMerged = std::chrono::milliseconds(500);
/// Jobs forgotten in one batch.
constexpr std::size_t MaxForgotten = 200;

} // namespace

Scheduler::Scheduler(SchedulerNeeds Needs, FencingToken Token,
                     LeaseSettings Lease)
    : Needs_(std::move(Needs)), Token_(Token), Lease_(Lease),
      Batches_(Needs_.Log
                   ? std::make_unique<Batcher>(*Needs_.Log, Needs_.Timers)
                   : nullptr),
      TakenOverAt_(Needs_.Clock.now() + Lease.EarlierOwnerSilence +
                   leaseBound(Lease)),
      OrphansUntil_(Needs_.Clock.now() + Lease.OrphanRetention) {
  std::size_t Active = 0;
  for (const auto &[Id, Each] : Needs_.Store.Jobs) {
    if (Each.State == JobState::Active) {
      Orders_[Id] = 0;
      ++Active;
    } else {
      Settled_.emplace_back(Needs_.Clock.now(), Id);
    }
  }
  logEvent(LogLevel::Info, Module, "takes_over",
           {{"token", Token.value()}, {"active_jobs", Active}});
  tick();
}

Scheduler::~Scheduler() {
  *Alive_ = false;
  for (auto &[Id, Run] : Askers_)
    Run();
  for (auto &[Id, Job] : Waiters_)
    for (const Waiter &Each : Job.Waiting)
      Each.Ended(Error{ErrorCode::Unavailable, "the pool has another owner"});
}

const Job *Scheduler::jobOf(const JobId &Id) const {
  const Job *Found = findJob(Transient_, Id);
  return Found ? Found : findJob(Needs_.Store, Id);
}

const TaskRecord *Scheduler::taskOf(const TaskId &Id) const {
  const TaskRecord *Found = findTask(Transient_, Id);
  return Found ? Found : findTask(Needs_.Store, Id);
}

void Scheduler::raiseToken(FencingToken Token, bool OtherLetsGo) {
  Time Now = Needs_.Clock.now();
  Token_ = Token;
  if (OtherLetsGo)
    OrphansUntil_ = Now + KeepMerged;
  // Another owner may have taken these jobs over and run tasks of them.
  for (const auto &[Id, Job] : Waiters_) {
    Unsettled_[Id] = Now;
    forgetWaiting(Id);
  }
  LookedAround_ = Time();
  if (!Unsettled_.empty())
    lookAround();
}

void Scheduler::noteEarlierOwnersGone(Time At) {
  TakenOverAt_ = std::min(TakenOverAt_, At + leaseBound(Lease_));
}

std::size_t Scheduler::workers() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions_.begin(), Sessions_.end(), [](const auto &Entry) {
        return Entry.second.RunsKnown && !Entry.second.Silent;
      }));
}

void Scheduler::accept(Job New, Callback Done) {
  New.AcceptedUnder = Token_;
  JobChanges Changes;
  Changes.Accepted.push_back(std::move(New));
  JobId Id = Changes.Accepted.front().Id;
  Batches_->add(
      std::move(Changes), [this, Alive = Alive_, Id, Done = std::move(Done)](
                              const Outcome<geraniumbay::Done> &Was) {
        Done(Was);
        if (!*Alive || !Was)
          return;
        const Job *Of = findJob(Needs_.Store, Id);
        if (!Of || Of->State != JobState::Active || Orders_.count(Id) != 0)
          return;
        Orders_[Id] = ++LastOrder_;
        enqueueReady(*Of);
        scheduleSoon();
      });
}

void Scheduler::cancel(const JobId &Id, Callback Done) {
  JobChanges Changes;
  Changes.Cancelled.push_back(Id);
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Id, Done = std::move(Done)](
                    const Outcome<geraniumbay::Done> &Was) {
                  Done(Was);
                  if (*Alive && Was)
                    jobSettled(Id);
                });
}

bool Scheduler::isBeingCompleted(const JobId &Id) const {
  const Job *Of = findJob(Needs_.Store, Id);
  if (!Of || Of->State != JobState::Active || Ending_.empty())
    return false;
  for (std::uint32_t Step = 0; Step < Of->Tasks.size(); ++Step)
    for (std::uint32_t Index = 0; Index < Of->Tasks[Step].size(); ++Index)
      if (!Of->Tasks[Step][Index].Done && Ending_.count({Id, Step, Index}) == 0)
        return false;
  return true;
}

void Scheduler::whenRecorded(const JobId &Id, std::function<void()> Run) {
  if (!isBeingCompleted(Id))
    return Run();
  Askers_.emplace(Id, std::move(Run));
}

void Scheduler::runRecorded(const JobId &Id) {
  auto [First, Last] = Askers_.equal_range(Id);
  std::vector<std::function<void()>> Due;
  for (auto It = First; It != Last; ++It)
    Due.push_back(std::move(It->second));
  Askers_.erase(First, Last);
  for (const std::function<void()> &Run : Due)
    Run();
}

std::size_t Scheduler::pending(const QueueName &Queue) const {
  std::size_t Count = 0;
  for (const auto &[Id, Order] : Orders_) {
    const Job *Of = jobOf(Id);
    if (Of && Of->Queue == Queue && !hasBegun(Id))
      ++Count;
  }
  return Count;
}

bool Scheduler::mayHaveEarlierRun(const Job &Of) const {
  if (Of.Spec.Transient)
    return Unsettled_.count(Of.Id) != 0;
  return !TakenOver_ && Of.AcceptedUnder != Token_;
}

void Scheduler::enqueueReady(const Job &Of) {
  if (mayHaveEarlierRun(Of))
    return;
  for (std::uint32_t Step = 0; Step < Of.Tasks.size(); ++Step) {
    if (!dependenciesDone(Of, Step))
      continue;
    for (std::uint32_t Index = 0; Index < Of.Tasks[Step].size(); ++Index)
      enqueue({Of.Id, Step, Index});
  }
}

void Scheduler::enqueue(const TaskId &Id) {
  const TaskRecord *Record = taskOf(Id);
  if (!Record || Record->Done || Places_.count(Id) != 0 ||
      Ranks_.count(Id) != 0 || Ending_.count(Id) != 0 ||
      Leaving_.count(Id.Job) != 0)
    return;
  const Job &Of = *jobOf(Id.Job);
  if (mayHaveEarlierRun(Of) || !dependenciesDone(Of, Id.Step))
    return;
  const StepSpec &Step = Of.Spec.Steps[Id.Step];
  TaskRank Rank{Of.Priority, isLate(Id.Job), Orders_[Id.Job], Id.Step,
                Id.Index};
  // Jobs of earlier terms have one order; the id keeps their ranks apart.
  while (Queue_.count(Rank) != 0)
    ++Rank.Index;
  Queue_.emplace(Rank, WaitingTask{Id, Step.Needs, Of.Service,
                                   expectedRun(Of, Step, Needs_.Clock.now())});
  Ranks_.emplace(Id, Rank);
}

void Scheduler::forgetWaiting(const JobId &Id) {
  std::erase_if(Queue_, [&](const auto &Entry) {
    if (Entry.second.Id.Job != Id)
      return false;
    Ranks_.erase(Entry.second.Id);
    return true;
  });
}

void Scheduler::jobSettled(const JobId &Id) {
  if (Orders_.erase(Id) == 0)
    return;
  const Job *Of = jobOf(Id);
  const char *State = Of ? jobStateName(Of->State) : "forgotten";
  logEvent(LogLevel::Info, Module, "job_ended",
           {{"job", Id},
            {"state", State},
            {"token", Token_.value()},
            {"took_us", tookSoFar(Id).count()},
            {"waiting_tasks", Queue_.size()}});
  Needs_.Measured.count("geraniumbay_jobs_ended_total", "Jobs that ended.",
                        {{"state", State}});
  forgetWaiting(Id);
  std::erase_if(FailedAt_,
                [&](const auto &Entry) { return Entry.first.Job == Id; });
  stopRunsOf(Id);
  if (!isTransient(Id)) {
    Begun_.erase(Id);
    Settled_.emplace_back(Needs_.Clock.now(), Id);
    return;
  }
  Unsettled_.erase(Id);
  Leaving_.erase(Id);
  if (Of)
    answerWaiters(Id, endOf(Id, Of->State));
  Begun_.erase(Id);
  Answered_.emplace_back(Needs_.Clock.now(), Id);
}

TransientEnd Scheduler::endOf(const JobId &Id, JobState State) const {
  auto Found = Waiters_.find(Id);
  if (Found == Waiters_.end())
    return endedAs(State);
  const Waiters &Job = Found->second;
  bool HasRun = Job.Evacuated && hasBegun(Id);
  return {State, Job.Reason, Job.RetryAfter, Job.Evacuated, HasRun};
}

Duration Scheduler::tookSoFar(const JobId &Id) const {
  auto Found = Waiters_.find(Id);
  return Found == Waiters_.end() ? Duration(0)
                                 : Needs_.Clock.now() - Found->second.Since;
}

void Scheduler::committed(const JobChanges &Changes) {
  for (const TaskEnd &End : Changes.Ended) {
    const Job *Of = jobOf(End.Task.Job);
    if (!Of)
      continue;
    if (Of->State != JobState::Active) {
      LastRuns_.erase(End.Task);
      jobSettled(End.Task.Job);
      continue;
    }
    if (End.Succeeded)
      enqueueReady(*Of);
    else
      enqueue(End.Task);
  }
  scheduleSoon();
}

void Scheduler::forgetSettled(Time Now) {
  JobChanges Changes;
  while (!Settled_.empty() && Changes.Forgotten.size() < MaxForgotten &&
         Now - Settled_.front().first >= KeepSettled) {
    Changes.Forgotten.push_back(Settled_.front().second);
    Settled_.pop_front();
  }
  if (!Changes.empty() && Batches_)
    Batches_->add(std::move(Changes), [](const Outcome<Done> & /*Was*/) {
      // A later leader forgets what this one did not manage to.
    });
}

void Scheduler::takeOver() {
  TakenOver_ = true;
  for (const auto *Store : {&Needs_.Store, &std::as_const(Transient_)})
    for (const auto &[Id, Each] : Store->Jobs)
      if (Each.State == JobState::Active)
        enqueueReady(Each);
  scheduleSoon();
  logEvent(LogLevel::Info, Module, "took_over",
           {{"token", Token_.value()},
            {"workers", Sessions_.size()},
            {"waiting_tasks", Queue_.size()}});
}

void Scheduler::takeOverIfAllKnown() {
  if (TakenOver_ || Sessions_.empty() || !Needs_.KnowsAllWorkers())
    return;
  for (const auto &[Worker, With] : Sessions_)
    if (!With.RunsKnown || With.HasForeignRuns)
      return;
  takeOver();
}

void Scheduler::tick() {
  Time Now = Needs_.Clock.now();
  checkLeases(Now);
  forgetSettled(Now);
  forgetTransient(Now);
  giveUpLate(Now);
  stopOrphans(Now);
  releaseUnsettled(Now);
  finishMoves();
  noteEmptied();
  if (!TakenOver_ && Now >= TakenOverAt_)
    takeOver();
  scheduleSoon();
  Needs_.Timers.after(TickInterval, [this, Alive = Alive_] {
    if (*Alive)
      tick();
  });
}

} // namespace geraniumbay::jobs
