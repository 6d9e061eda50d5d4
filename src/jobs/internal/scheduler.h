//===- scheduler.h - Scheduling under one fencing token ---------*- C++ -*-===//
//
// Decides which task starts on which worker while this process owns the pool.
// A scheduler is bound to the ownership of the pool: a new owner creates a new
// scheduler, which learns from the workers what is running.
//
// Taking over. Tasks that an earlier owner may have started are not started
// again until every worker has either reported its runs or has certainly killed
// that owner's runs because their last lease has expired. Runs of jobs that the
// new owner does not know are kept for a while, since the entries submit these
// jobs again.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_SCHEDULER_H
#define GERANIUMBAY_JOBS_INTERNAL_SCHEDULER_H

#include "framework/metrics/metrics.h"
#include "jobs/internal/batcher.h"
#include "jobs/internal/pools.h"
#include "jobs/internal/suspects.h"
#include "jobs/internal/taskqueue.h"
#include "jobs/internal/transientend.h"
#include "jobs/internal/workersession.h"
#include "jobs/jobstore.h"
#include "scheduling/admission.h"
#include "scheduling/arrivals.h"
#include "scheduling/calltiming.h"
#include "scheduling/forecast.h"
#include "scheduling/forecastskill.h"
#include "scheduling/orderwindow.h"
#include "scheduling/runtimes.h"

#include <deque>
#include <unordered_set>

namespace geraniumbay::jobs {

/// The collaborators of a scheduler; all of them outlive it.
struct SchedulerDependencies {
  /// Names the pool in log lines.
  PoolName Pool;
  /// Whether this process owns the pool now; checked right before each order.
  std::function<bool()> OwnsPool;
  /// Called when a worker refuses an order with this token because it has
  /// accepted a higher one.
  std::function<void(FencingToken)> OnFenced;
  /// Whether the known workers include all that an earlier owner may have used.
  /// If not, the earlier leases count as expired only after their longest
  /// duration.
  std::function<bool()> KnowsAllWorkers;
  /// The log of durable jobs; null where only transient jobs are scheduled.
  control::IReplicatedLog *Log;
  /// The durable jobs; empty where there is no log.
  const JobStore &Store;
  /// Data centres whose workers get no tasks; see evacuationsChanged().
  const std::set<DataCentreId> &Evacuated;
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  /// Called when a transient job's task may have crashed its worker, before the
  /// task is started again.
  std::function<void()> SuspectsFound = nullptr;
  /// Since when this process has owned the pool, if that is longer than the
  /// scheduler exists.
  std::optional<Time> OwnedSince = std::nullopt;
};

/// Identifies a request of an entry that waits for a transient job.
struct WaiterId {
  Endpoint Origin;
  /// Distinguishes successive processes of the entry; requests of an earlier
  /// process have lost their callers.
  std::uint64_t Incarnation = 0;
  /// Sequence number of the request at its entry.
  std::uint64_t Serial = 0;

  bool operator==(const WaiterId &) const = default;
};

/// The circumstances in which a transient job is submitted.
struct TransientRequest {
  WaiterId From;
  /// How long ago its caller sent it.
  Duration Age{0};
  /// How long the caller will keep waiting.
  Duration TimeLeft{0};
  /// Another owner may have started tasks of the job: none is started before
  /// all workers have reported their runs after the submission. This need
  /// not be assumed of a job that its caller sends again: by then the leases of
  /// earlier runs have expired.
  bool MaybeTaken = false;
  /// How long ago the job was last sent to another owner of the pool, if it
  /// was.
  std::optional<Duration> SentElsewhereAgo = std::nullopt;
};

/// Schedules jobs on the workers of one pool during one ownership.
class Scheduler {
public:
  using Callback = Batcher::Callback;
  /// Called when a transient job has ended. Unavailable: this process has lost
  /// the ownership, and the outcome of the job is unknown.
  using EndCallback = std::function<void(const Outcome<TransientEnd> &)>;

  Scheduler(SchedulerDependencies Deps, FencingToken Token,
            LeaseSettings Lease);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  FencingToken token() const { return Token_; }
  /// Continues with a higher token. With \p OtherReleasesOwnership another
  /// owner hands its workers over to this one, and its runs there are kept for
  /// a while.
  void raiseToken(FencingToken Token, bool OtherReleasesOwnership);
  /// Whether all runs on the workers are accounted for: no run of an earlier
  /// owner is left that belongs to none of this scheduler's jobs.
  bool isSettled() const;
  /// Whether earlier owners' runs are known or have certainly ended.
  bool hasTakenOver() const { return TakenOver_; }
  /// Records that all processes which may have owned the workers before this
  /// one had ended by \p At.
  void noteEarlierOwnersEnded(Time At);
  /// Whether the transient job \p Id is active here, or its end or a refusal is
  /// still remembered.
  bool hasAnswerFor(const JobId &Id) const;
  /// Whether the transient job \p Id waits, runs or has run here, or a run of
  /// it has not been stopped yet; false if it was refused.
  bool has(const JobId &Id) const;
  /// All jobs for which has() holds.
  std::vector<JobId> jobs() const;
  /// Incarnations that are gone for certain, while control still lists them.
  const std::map<WorkerId, WorkerStart> &goneWorkers() const { return Gone_; }
  /// The number of workers that answer.
  std::size_t workers() const;
  /// The capacity of the pool, and for how long its waiting tasks would fill
  /// it.
  PoolLoad load() const;

  /// Accepts \p New durably, then calls back. Unavailable: the job certainly
  /// was not accepted; Timeout: unknown.
  void accept(Job New, Callback Done);
  /// Runs the transient job \p New, or joins it if it runs or has just ended.
  /// It is refused at once, or given up later, if it cannot end while its
  /// answer is still useful to the caller.
  void run(Job New, const TransientRequest &Request, EndCallback Ended);
  /// Removes one waiting request; a job without any is cancelled.
  void dropWaiter(const JobId &Id, const WaiterId &From);
  /// Removes the waiting requests of \p Origin; jobs left without any are
  /// cancelled.
  void dropOrigin(const Endpoint &Origin);
  /// Removes the waiting requests of earlier processes of \p Origin. Their
  /// callers soon retry through another entry, which may use another pool.
  void dropEarlierIncarnations(const Endpoint &Origin,
                               std::uint64_t Incarnation);
  /// Tasks of transient jobs that may crash their workers.
  const SuspectsByJob &suspects() const { return Suspects_; }
  /// Merges the findings of other owners.
  void mergeSuspects(const SuspectsByJob &Seen) { merge(Suspects_, Seen); }
  /// The entries that have waiting requests.
  std::set<Endpoint> origins() const;
  /// Cancels the job durably and calls back; its tasks are stopped.
  void cancel(const JobId &Id, Callback Done);
  /// Whether a task of the job has been started, as far as this leader knows.
  bool hasBegun(const JobId &Id) const { return Begun_.count(Id) != 0; }
  /// Calls \p Then at once, or, if the job's last tasks have ended, after the
  /// commit in progress that records it. So a client that asks right after the
  /// end is not told that the job still runs; it waits for one commit at most.
  void whenRecorded(const JobId &Id, std::function<void()> Then);
  /// How many jobs of \p Queue wait for their first start.
  std::size_t pending(const QueueName &Queue) const;

  /// Applies the current list of workers.
  void applyWorkers(const WorkerDirectory &Directory);
  /// Applies a change of the set of evacuated data centres.
  void evacuationsChanged();
  /// How many tasks run in \p DataCentre.
  std::size_t runningIn(const DataCentreId &DataCentre) const;

private:
  struct ActiveTransient;

  // Lookups over durable and transient jobs.
  const Job *jobOf(const JobId &Id) const;
  const TaskRecord *taskOf(const TaskId &Id) const;
  bool isTransient(const JobId &Id) const {
    return Transient_.Jobs.count(Id) != 0;
  }

  // Admission of transient jobs (intake.cpp).
  scheduling::Admission
  decideAdmission(const Job &New, const ActiveTransient &Arriving,
                  const scheduling::WaitForecast &Uncorrected) const;
  scheduling::WaitForecast
  correctedWaits(std::uint32_t Priority,
                 const scheduling::WaitForecast &Uncorrected, Time Now) const;
  scheduling::WaitForecast forecastWaits(const Job &New, Time Now) const;
  bool isLate(const JobId &Id) const;
  bool knowsWorkersOf(const ServiceId &Service) const;
  /// Whether each of the job's tasks would fit some worker if it were idle.
  bool fitsAnyWorker(const Job &JobRecord) const;
  scheduling::PoolOutlook outlookFor(const Job &New, Time Now) const;
  /// The part of the capacity of \p Service's available workers that tasks can
  /// use in practice, in thousandths of a core.
  double usableCores(const ServiceId &Service) const;
  /// The expected run time of the job's longest chain of dependent steps.
  Duration longestChain(const Job &JobRecord, Time Now) const;
  Duration expectedRun(const Job &JobRecord, const StepSpec &Step,
                       Time Now) const;
  void noteAccepted(const Job &New, Time Now);
  void noteFirstStart(const JobId &Id, Time Now);
  void noteRunTime(WorkerSession &Session, const TaskId &Task,
                   const RunTiming &Times);
  void giveUpLate(Time Now);
  /// Whether the caller may have retried through another entry by now.
  static bool isStale(const ActiveTransient &Job, Time Now);
  /// Whether the job, if started now, could not end in time any more, or, if it
  /// is served as late, could not be useful any more.
  static bool isHopeless(const ActiveTransient &Job, Time Now);
  /// Demotes a job that cannot end in time any more to late, or gives it up.
  void reconsider(const JobId &Id, Time Now);

  // Transient jobs (transientjobs.cpp).
  void dropWaiters(const std::function<bool(const WaiterId &)> &Which,
                   const char *Reason);
  void answerWaiters(const JobId &Id, const Outcome<TransientEnd> &Ended);
  void forgetTransient(Time Now);
  /// Remembers a refusal for a short time and returns it.
  TransientEnd noteRefusal(const JobId &Id, const TransientEnd &Refusal);
  void cancelTransient(const JobId &Id, const std::string &Reason,
                       Duration RetryAfter);
  /// Whether the owner that \p Request names existed beside this one.
  bool hasRival(const TransientRequest &Request) const;
  void releaseUnsettled(Time Now);
  void queryAllWorkers();
  void adoptOrphans(const JobId &Id);
  bool hasOrphans(const JobId &Id) const;
  bool mayRun(const JobId &Id) const;
  void stopOrphans(Time Now);

  // Jobs whose workers are in evacuated data centres (evacuationmoves.cpp).
  /// Whether the workers that could run \p Step of \p JobRecord are all in
  /// evacuated data centres.
  bool isShutOut(const Job &JobRecord, const StepSpec &Step) const;
  /// Whether that holds for any step of the job.
  bool isShutOut(const Job &JobRecord) const;
  /// Sends waiting transient jobs that no worker can serve back to their
  /// entries.
  void moveShutOut();
  void moveAway(const JobId &Id);
  /// Remembers the refusal of a job that is sent back, and returns it.
  TransientEnd noteShutOut(const JobId &Id, bool HasRun);
  /// Answers the requests of leaving jobs whose last run has ended.
  void finishMoves();
  void reportEmptied();

  // Jobs and their tasks (scheduler.cpp).
  void takeOver();
  void takeOverIfAllKnown();
  void onCommitted(const JobChanges &Changes);
  void enqueueReady(const Job &JobRecord);
  void enqueue(const TaskId &Id);
  void forgetWaiting(const JobId &Id);
  void onJobEnded(const JobId &Id);
  TransientEnd endOf(const JobId &Id, JobState State) const;
  /// The time since a transient job was accepted here.
  Duration timeSinceArrival(const JobId &Id) const;
  void forgetEndedJobs(Time Now);
  bool mayHaveEarlierRun(const Job &JobRecord) const;
  void tick();

  // Placement (placement.cpp), orders to start (startorders.cpp).
  void scheduleSoon();
  void schedule();
  WorkerSession *bestWorker(const WaitingTask &Task, Time Now);
  /// Whether the result of a task is still useful if it takes \p Factor times
  /// as long as expected.
  bool isUsefulAtPace(const WaitingTask &Task, double Factor, Time Now) const;
  void start(WorkerSession &Session, const WaitingTask &Task);
  /// What was sent with a request, to be compared when its answer arrives.
  struct Sent {
    Time At;
    FencingToken Token;
    /// For a hold: its number, and whether it renews the lease.
    std::uint64_t Serial = 0;
    bool Renews = false;
    /// The incarnation that it was sent to.
    WorkerStart To;
  };
  /// Queries the worker's runs if an order is unanswered after its validity.
  void checkStart(const WorkerId &Worker, const TaskId &Task, RunNumber Number);
  /// Queries the worker's runs if an order is unanswered but still valid; an
  /// order whose run the worker does not report is revoked.
  void resolveStart(const WorkerId &Worker, const TaskId &Task,
                    RunNumber Number);
  void revokeStart(const WorkerId &Worker, const TaskId &Task,
                   RunNumber Number);
  bool isUnanswered(const WorkerId &Worker, const TaskId &Task,
                    RunNumber Number);
  static void noteUnanswered(const WorkerId &Worker, const TaskId &Task,
                             RunNumber Number);
  void started(const WorkerIncarnation &To, const StartOrder &Order, Time Sent,
               const StartAnswer &Answer);
  /// Logs when the owner becomes overloaded and when it no longer is.
  void reportOverload(Time Now);
  /// Frees the order's place in the window.
  void noteOrderEnded(scheduling::OrderNumber Number,
                      const StartAnswer &Answer);
  void noteTiming(const WorkerSession &Session, Time Sent,
                  const StartAnswer &Answer);
  RunNumber nextRun(const Job &JobRecord, const TaskId &Task);

  // Lost workers, and tasks that crash them (workerlosses.cpp).
  void loseRuns(WorkerSession &Session, const char *Reason,
                scheduling::WorkerLoss Loss);
  /// Counts the losses against their tasks, which are queued again unless they
  /// are given up.
  void countLosses(std::vector<TaskLoss> Losses);
  void countLossesDurably(const std::vector<TaskLoss> &Losses);
  void onLossesCounted(const std::vector<TaskLoss> &Losses);
  /// Counts a possible loss against each task of the job that is not running:
  /// an earlier owner may have lost a worker to it, and may itself have ended
  /// before it could report that.
  void countPossibleLosses(const JobId &Id);
  void noteSuspects(const std::vector<TaskLoss> &Losses);
  void rememberSuspects(const TaskLoss &Loss);
  /// Earlier findings about the job's tasks, from here and other schedulers.
  std::vector<SuspectTask> knownSuspects(const Job &New) const;
  bool isSuspected(const TaskId &Id) const;
  /// Whether one more worker may run suspected tasks.
  bool mayHostMoreSuspects() const;
  /// Reserves a worker for a suspected task, which must run alone, when none is
  /// idle.
  void reserveWorkerFor(const WaitingTask &Task, Time Now);

  // Conversations with workers (workerwatch.cpp).
  void sendHold(WorkerSession &Session);
  void sendHoldLater(const WorkerId &Worker);
  /// Sends a hold that renews no lease and is answered at once, beside the one
  /// that may be in flight. Calls \p OnAnswer once the answer is applied.
  void queryRuns(WorkerSession &Session,
                 std::function<void()> OnAnswer = nullptr);
  void handleHoldAnswer(const WorkerId &Worker, const Sent &Order,
                        const Outcome<HoldAnswer> &Answer);
  /// Returns whether the answer brought new ends.
  bool applyAnswer(WorkerSession &Session, Time Sent, const HoldAnswer &Answer);
  void logMissing(const WorkerSession &Session, const HoldAnswer &Answer,
                  const HoldFindings &Findings);
  /// Queries the worker once more if a decision waits for ends that it may not
  /// have listed yet.
  void queryHiddenEnds(WorkerSession &Session, const HoldFindings &Findings);
  /// Whether the answer is from the incarnation of the session. One of a later
  /// incarnation begins a session for that one; nothing of it is applied.
  bool isOfSession(WorkerSession &Session, const HoldAnswer &Answer);
  void handleRestart(WorkerSession &Session, WorkerStart StartedAt,
                     const char *Source);
  /// Applies what control lists of the worker of an existing session.
  void applyListed(WorkerSession &Session, const WorkerInfo &Listed);
  /// Sends stops for runs that were ordered from earlier incarnations.
  void revokeEarlierRuns(WorkerSession &Session);
  /// For a silent worker whose lease is over: loses its runs, but those that a
  /// later incarnation may still start.
  void loseEndedRuns(WorkerSession &Session, Time Now);
  void applyFindings(WorkerSession &Session, const HoldFindings &Findings,
                     bool NewlyReachable);
  /// \p NewlyReachable: the worker did not answer this owner until now.
  void handleFoundRun(WorkerSession &Session, const RunningTask &Task,
                      bool NewlyReachable);
  void adoptRun(WorkerSession &Session, const RunningTask &Task);
  void recordEnds(WorkerSession &Session, const HoldFindings &Findings);
  /// Writes ends of the worker to the log; \p LowestEnd is the first of them.
  void recordDurably(WorkerSession &Session, std::uint64_t LowestEnd,
                     JobChanges Changes);
  void stopRunsOf(const JobId &Id);
  void dropWorker(const WorkerId &Worker, const char *Reason,
                  scheduling::WorkerLoss Loss);
  void checkLeases(Time Now);
  WorkerSession *session(const WorkerId &Worker);

  const SchedulerDependencies Deps_;
  const Time OwnedSince_;
  FencingToken Token_;
  const LeaseSettings Lease_;
  /// Shared with callbacks, which check it before they access the scheduler;
  /// false once it is destroyed.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  /// Null where there is no log.
  std::unique_ptr<Batcher> Batches_;

  /// Tasks of jobs accepted under earlier tokens are queued at this time at the
  /// latest; see the head of the file.
  Time TakeOverDeadline_;
  bool TakenOver_ = false;

  std::map<WorkerId, WorkerSession> Sessions_;
  /// Incarnations whose address was answered by another one. They are not taken
  /// up again from lists that still contain them.
  std::map<WorkerId, WorkerStart> Gone_;
  scheduling::CallTiming Timing_;
  /// The start orders that are unanswered, and how many may be.
  scheduling::OrderWindow Orders_;
  /// The last event of reportOverload() was the begin of an overload.
  bool OverloadReported_ = false;
  /// The worker of each known run. Invariant: agrees with Sessions_.
  std::unordered_map<TaskId, WorkerId> Places_;
  /// Tasks that are ready to start, in order.
  TaskQueue Queue_;
  std::unordered_map<TaskId, TaskRank> Ranks_;
  /// The sequence numbers of the active jobs.
  std::unordered_map<JobId, std::uint64_t> JobOrders_;
  std::uint64_t LastJobOrder_ = 0;
  std::uint64_t LastEndBatch_ = 0;
  /// Whether each task of the job is done or its end is being recorded.
  bool isBeingCompleted(const JobId &Id) const;
  void runRecordingCallbacks(const JobId &Id);

  /// Called once the end of the job is recorded; see whenRecorded().
  std::unordered_multimap<JobId, std::function<void()>> RecordingCallbacks_;
  /// Tasks whose end or loss is being recorded in the log. They must not start
  /// before that: the task may be done, or have failed for the last time. A
  /// task has an entry for each batch that contains it, as its loss may be in
  /// the log while its end is still on its way.
  std::unordered_multiset<TaskId> Ending_;
  /// The worker on which each task that waits for a retry failed last.
  std::unordered_map<TaskId, WorkerId> FailedAt_;
  std::unordered_map<TaskId, RunNumber> LastRuns_;
  std::unordered_set<JobId> Begun_;
  /// Findings about tasks of transient jobs, kept for jobs that are sent again.
  SuspectsByJob Suspects_;
  /// Transient jobs that were refused or given up before they began, with the
  /// time.
  std::map<JobId, std::pair<Time, TransientEnd>> Refused_;
  /// Durable jobs that have ended, oldest first, with the time.
  std::deque<std::pair<Time, JobId>> EndedJobs_;
  bool ScheduleDue_ = false;

  /// Transient jobs, which only this owner knows.
  JobStore Transient_;
  struct Waiter {
    WaiterId From;
    EndCallback Ended;
  };
  struct ActiveTransient {
    std::vector<Waiter> Waiters;
    Time Since;
    /// The age of the job at that time.
    Duration Age{0};
    scheduling::AnswerDeadlines Useful;
    /// The expected run time of its longest chain of steps, as of its arrival.
    Duration Chain{0};
    /// Served after those that can end in time.
    bool Late = false;
    /// The uncorrected forecast of the wait until its last initial task starts,
    /// and the number of initial tasks that have not started yet.
    std::optional<Duration> Forecast;
    std::size_t NotStarted = 0;
    /// For a job that was given up: why, and when to retry.
    std::string Reason;
    Duration RetryAfter{0};
    /// Sent back since its workers are in evacuated data centres.
    bool Evacuated = false;
  };
  /// The state of each active transient job.
  std::unordered_map<JobId, ActiveTransient> ActiveTransients_;
  /// Transient jobs that are sent back once their runs have been stopped.
  std::unordered_set<JobId> Leaving_;
  /// Evacuated data centres in which tasks of this owner still run.
  std::set<DataCentreId> EmptyingDataCentres_;
  /// A task of an unknown job that an earlier owner started.
  struct Orphan {
    WorkerId Worker;
    RunNumber Run;
    /// Ended successfully; otherwise still running.
    bool Done = false;
    /// Ordered to stop; its end has not been confirmed.
    bool Stopping = false;
  };
  std::unordered_map<TaskId, Orphan> Orphans_;
  /// Running orphans are not stopped before this time.
  Time OrphansUntil_;
  /// A job that may be running under another owner.
  struct UnsettledJob {
    /// Since when it waits.
    Time Since;
    /// The other owner existed beside this one, as on two sides of a network
    /// partition, and may have used workers that are not listed here: answers
    /// of the listed ones prove nothing. Its runs end with their leases.
    bool HasRival = false;
  };
  std::unordered_map<JobId, UnsettledJob> Unsettled_;
  Time AllQueriedAt_;

  /// The run times learned for each queue.
  std::unordered_map<QueueName, scheduling::RunTimeModel> RunTimes_;
  /// The work of transient jobs accepted recently.
  scheduling::Arrivals Arrivals_;
  /// The accuracy of past wait forecasts for each priority class.
  std::array<scheduling::ForecastSkill, scheduling::PriorityClasses> Skills_;
  /// Transient jobs that have ended, oldest first.
  std::deque<std::pair<Time, JobId>> EndedTransients_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_SCHEDULER_H
