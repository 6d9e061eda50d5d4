//===- scheduler.cpp - Scheduling under one fencing token -----------------===//
//
// The life cycle of jobs: acceptance, queueing of ready tasks, and the end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/scheduler.h"

#include "framework/log/log.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// Interval between checks of leases and of expired records.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// How long the state of an ended durable job can be queried.
constexpr Duration EndedJobRetention = std::chrono::seconds(180);
/// How long the runs of another owner are kept once it hands its workers over:
/// the time in which it releases its ownership and its entries submit their
/// jobs here.
constexpr Duration MergedOrphanRetention = std::chrono::milliseconds(500);
constexpr std::size_t MaxForgottenPerBatch = 200;

} // namespace

Scheduler::Scheduler(SchedulerDependencies Deps, FencingToken Token,
                     LeaseSettings Lease)
    : Deps_(std::move(Deps)),
      OwnedSince_(Deps_.OwnedSince.value_or(Deps_.Clock.now())), Token_(Token),
      Lease_(Lease),
      Batches_(Deps_.Log ? std::make_unique<Batcher>(*Deps_.Log, Deps_.Timers)
                         : nullptr),
      TakeOverDeadline_(Deps_.Clock.now() + Lease.EarlierOwnerSilence +
                        leaseBound(Lease)),
      OrphansUntil_(Deps_.Clock.now() + Lease.OrphanRetention) {
  std::size_t Active = 0;
  for (const auto &[Id, Each] : Deps_.Store.Jobs) {
    if (Each.State == JobState::Active) {
      JobOrders_[Id] = 0;
      ++Active;
    } else {
      EndedJobs_.emplace_back(Deps_.Clock.now(), Id);
    }
  }
  logEvent(LogLevel::Info, Module, "takes_over",
           {{"token", Token.value()}, {"active_jobs", Active}});
  tick();
}

Scheduler::~Scheduler() {
  *Alive_ = false;
  for (auto &[Id, Then] : RecordingCallbacks_)
    Then();
  for (auto &[Id, Job] : ActiveTransients_)
    for (const Waiter &Each : Job.Waiters)
      Each.Ended(Error{ErrorCode::Unavailable, "the pool has another owner"});
}

const Job *Scheduler::jobOf(const JobId &Id) const {
  const Job *Found = findJob(Transient_, Id);
  return Found ? Found : findJob(Deps_.Store, Id);
}

const TaskRecord *Scheduler::taskOf(const TaskId &Id) const {
  const TaskRecord *Found = findTask(Transient_, Id);
  return Found ? Found : findTask(Deps_.Store, Id);
}

void Scheduler::raiseToken(FencingToken Token, bool OtherReleasesOwnership) {
  Time Now = Deps_.Clock.now();
  Token_ = Token;
  if (OtherReleasesOwnership)
    OrphansUntil_ = Now + MergedOrphanRetention;
  // Another owner may have accepted these jobs too and started tasks of them.
  for (const auto &[Id, Job] : ActiveTransients_) {
    Unsettled_[Id].Since = Now;
    forgetWaiting(Id);
  }
  AllQueriedAt_ = Time();
  if (!Unsettled_.empty())
    queryAllWorkers();
}

void Scheduler::noteEarlierOwnersEnded(Time At) {
  TakeOverDeadline_ = std::min(TakeOverDeadline_, At + leaseBound(Lease_));
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
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Id, Done = std::move(Done)](
                    const Outcome<geraniumbay::Done> &Result) {
                  Done(Result);
                  if (!*Alive || !Result)
                    return;
                  const Job *JobRecord = findJob(Deps_.Store, Id);
                  if (!JobRecord || JobRecord->State != JobState::Active ||
                      JobOrders_.count(Id) != 0)
                    return;
                  JobOrders_[Id] = ++LastJobOrder_;
                  enqueueReady(*JobRecord);
                  scheduleSoon();
                });
}

void Scheduler::cancel(const JobId &Id, Callback Done) {
  JobChanges Changes;
  Changes.Cancelled.push_back(Id);
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Id, Done = std::move(Done)](
                    const Outcome<geraniumbay::Done> &Result) {
                  Done(Result);
                  if (*Alive && Result)
                    onJobEnded(Id);
                });
}

bool Scheduler::isBeingCompleted(const JobId &Id) const {
  const Job *JobRecord = findJob(Deps_.Store, Id);
  if (!JobRecord || JobRecord->State != JobState::Active || Ending_.empty())
    return false;
  for (std::uint32_t Step = 0; Step < JobRecord->Tasks.size(); ++Step)
    for (std::uint32_t Index = 0; Index < JobRecord->Tasks[Step].size();
         ++Index)
      if (!JobRecord->Tasks[Step][Index].Done &&
          Ending_.count({Id, Step, Index}) == 0)
        return false;
  return true;
}

void Scheduler::whenRecorded(const JobId &Id, std::function<void()> Then) {
  if (!isBeingCompleted(Id))
    return Then();
  RecordingCallbacks_.emplace(Id, std::move(Then));
}

void Scheduler::runRecordingCallbacks(const JobId &Id) {
  auto [First, Last] = RecordingCallbacks_.equal_range(Id);
  std::vector<std::function<void()>> Due;
  for (auto It = First; It != Last; ++It)
    Due.push_back(std::move(It->second));
  RecordingCallbacks_.erase(First, Last);
  for (const std::function<void()> &Then : Due)
    Then();
}

std::size_t Scheduler::pending(const QueueName &Queue) const {
  std::size_t Count = 0;
  for (const auto &[Id, Order] : JobOrders_) {
    const Job *JobRecord = jobOf(Id);
    if (JobRecord && JobRecord->Queue == Queue && !hasBegun(Id))
      ++Count;
  }
  return Count;
}

bool Scheduler::mayHaveEarlierRun(const Job &JobRecord) const {
  if (JobRecord.Spec.Transient)
    return Unsettled_.count(JobRecord.Id) != 0;
  return !TakenOver_ && JobRecord.AcceptedUnder != Token_;
}

void Scheduler::enqueueReady(const Job &JobRecord) {
  if (mayHaveEarlierRun(JobRecord))
    return;
  for (std::uint32_t Step = 0; Step < JobRecord.Tasks.size(); ++Step) {
    if (!dependenciesDone(JobRecord, Step))
      continue;
    for (std::uint32_t Index = 0; Index < JobRecord.Tasks[Step].size(); ++Index)
      enqueue({JobRecord.Id, Step, Index});
  }
}

void Scheduler::enqueue(const TaskId &Id) {
  const TaskRecord *Record = taskOf(Id);
  if (!Record || Record->Done || Places_.count(Id) != 0 ||
      Ranks_.count(Id) != 0 || Ending_.count(Id) != 0 ||
      Leaving_.count(Id.Job) != 0)
    return;
  const Job &JobRecord = *jobOf(Id.Job);
  if (mayHaveEarlierRun(JobRecord) || !dependenciesDone(JobRecord, Id.Step))
    return;
  const StepSpec &Step = JobRecord.Spec.Steps[Id.Step];
  TaskRank Rank{JobRecord.Priority, isLate(Id.Job), JobOrders_[Id.Job], Id.Step,
                Id.Index};
  // Jobs accepted in earlier terms all have sequence number 0, so their tasks
  // may have equal ranks; the index is raised until the rank is unique.
  while (Queue_.count(Rank) != 0)
    ++Rank.Index;
  Queue_.emplace(Rank,
                 WaitingTask{Id, Step.Needs, JobRecord.Service,
                             expectedRun(JobRecord, Step, Deps_.Clock.now())});
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

void Scheduler::onJobEnded(const JobId &Id) {
  if (JobOrders_.erase(Id) == 0)
    return;
  const Job *JobRecord = jobOf(Id);
  const char *State = JobRecord ? jobStateName(JobRecord->State) : "forgotten";
  logEvent(LogLevel::Info, Module, "job_ended",
           {{"job", Id},
            {"state", State},
            {"token", Token_.value()},
            {"took_us", timeSinceArrival(Id).count()},
            {"waiting_tasks", Queue_.size()}});
  Deps_.Measured.count("geraniumbay_jobs_ended_total", "Jobs that ended.",
                       {{"state", State}});
  forgetWaiting(Id);
  std::erase_if(FailedAt_,
                [&](const auto &Entry) { return Entry.first.Job == Id; });
  stopRunsOf(Id);
  if (!isTransient(Id)) {
    Begun_.erase(Id);
    EndedJobs_.emplace_back(Deps_.Clock.now(), Id);
    return;
  }
  Unsettled_.erase(Id);
  Leaving_.erase(Id);
  if (JobRecord)
    answerWaiters(Id, endOf(Id, JobRecord->State));
  Begun_.erase(Id);
  EndedTransients_.emplace_back(Deps_.Clock.now(), Id);
}

TransientEnd Scheduler::endOf(const JobId &Id, JobState State) const {
  auto Found = ActiveTransients_.find(Id);
  if (Found == ActiveTransients_.end())
    return endedAs(State);
  const ActiveTransient &Job = Found->second;
  bool HasRun = Job.Evacuated && hasBegun(Id);
  return {State, Job.Reason, Job.RetryAfter, Job.Evacuated, HasRun};
}

Duration Scheduler::timeSinceArrival(const JobId &Id) const {
  auto Found = ActiveTransients_.find(Id);
  return Found == ActiveTransients_.end()
             ? Duration(0)
             : Deps_.Clock.now() - Found->second.Since;
}

void Scheduler::onCommitted(const JobChanges &Changes) {
  for (const TaskEnd &End : Changes.Ended) {
    const Job *JobRecord = jobOf(End.Task.Job);
    if (!JobRecord)
      continue;
    if (JobRecord->State != JobState::Active) {
      LastRuns_.erase(End.Task);
      onJobEnded(End.Task.Job);
      continue;
    }
    if (End.Succeeded)
      enqueueReady(*JobRecord);
    else
      enqueue(End.Task);
  }
  scheduleSoon();
}

void Scheduler::forgetEndedJobs(Time Now) {
  JobChanges Changes;
  while (!EndedJobs_.empty() &&
         Changes.Forgotten.size() < MaxForgottenPerBatch &&
         Now - EndedJobs_.front().first >= EndedJobRetention) {
    Changes.Forgotten.push_back(EndedJobs_.front().second);
    EndedJobs_.pop_front();
  }
  if (!Changes.empty() && Batches_)
    Batches_->add(std::move(Changes), [](const Outcome<Done> & /*Result*/) {
      // On failure a later leader removes these jobs.
    });
}

void Scheduler::takeOver() {
  TakenOver_ = true;
  for (const auto *Store : {&Deps_.Store, &std::as_const(Transient_)})
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
  if (TakenOver_ || Sessions_.empty() || !Deps_.KnowsAllWorkers())
    return;
  for (const auto &[Worker, Session] : Sessions_)
    if (!Session.ProvenListSentAt || Session.HasForeignRuns)
      return;
  takeOver();
}

void Scheduler::tick() {
  Time Now = Deps_.Clock.now();
  checkLeases(Now);
  forgetEndedJobs(Now);
  forgetTransient(Now);
  giveUpLate(Now);
  stopOrphans(Now);
  releaseUnsettled(Now);
  finishMoves();
  reportEmptied();
  reportOverload(Now);
  if (!TakenOver_ && Now >= TakeOverDeadline_)
    takeOver();
  scheduleSoon();
  Deps_.Timers.after(TickInterval, [this, Alive = Alive_] {
    if (*Alive)
      tick();
  });
}

} // namespace geraniumbay::jobs
