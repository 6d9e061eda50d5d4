//===- scheduler.h - Scheduling under one fencing token ---------*- C++ -*-===//
//
// Decides what starts where while this process owns the pool of workers. It
// lives as long as its fencing token: a new owner builds a new one, which
// learns from the workers what runs.
//
// Taking over. Tasks that an earlier owner may have started are left alone
// until every worker has either said what it runs or has certainly killed what
// that owner started, its last lease being over. What runs of jobs that the new
// owner does not know is kept for a while: their entries hand them in again.
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
#include "scheduling/runtimes.h"

#include <deque>
#include <unordered_set>

namespace geraniumbay::jobs {

/// What the scheduler works with; all of it outlives the scheduler.
struct SchedulerDependencies {
  /// Names the pool in log lines.
  PoolName Pool;
  /// Whether this process owns the pool at this moment: asked right before
  /// orders are given.
  std::function<bool()> OwnsPool;
  /// Called when a worker refuses an order with this token: it obeys another.
  std::function<void(FencingToken)> OnFenced;
  /// Whether the workers taken so far include each one that an earlier owner
  /// may have used. If not, only time tells that its leases are over.
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
  /// Called when a transient job's task may have crashed its worker, before it
  /// is started again.
  std::function<void()> SuspectsFound = nullptr;
};

/// Somebody who waits for a transient job: a request of an entry.
struct WaiterId {
  Endpoint Origin;
  /// Tells the entry's processes apart; the callers of an earlier one are gone.
  std::uint64_t Incarnation = 0;
  /// Counts the entry's requests.
  std::uint64_t Serial = 0;

  bool operator==(const WaiterId &) const = default;
};

/// How a transient job comes to its scheduler.
struct TransientRequest {
  WaiterId From;
  /// How long ago its caller sent it.
  Duration Age{0};
  /// How long its caller still waits.
  Duration TimeLeft{0};
  /// Another owner may have started tasks of it: none starts before all workers
  /// have been looked at since now. A job that its caller sends again comes too
  /// late for that: by then the leases of earlier runs are over.
  bool MaybeTaken = false;
};

/// The scheduler of one token.
class Scheduler {
public:
  using Callback = Batcher::Callback;
  /// Called when a transient job has ended. Unavailable: this leader has lost
  /// its leadership, and what becomes of the job is open.
  using EndCallback = std::function<void(const Outcome<TransientEnd> &)>;

  Scheduler(SchedulerDependencies Deps, FencingToken Token,
            LeaseSettings Lease);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  FencingToken token() const { return Token_; }
  /// Goes on with a higher token. With \p OtherLetsGo the workers of another
  /// owner, which lets go, come to this one, and what runs there is kept for a
  /// while.
  void raiseToken(FencingToken Token, bool OtherReleasesOwnership);
  /// Whether all that runs on its workers is known here: no run is left that an
  /// earlier owner started and that belongs to no job of this one.
  bool isSettled() const;
  /// Whether it knows what runs on its workers, or that it is over.
  bool hasTakenOver() const { return TakenOver_; }
  /// Notes that all processes which may have owned the workers before this one
  /// were gone by \p At.
  void noteEarlierOwnersEnded(Time At);
  /// Whether the transient job \p Id is here, or its end, or a refusal that
  /// still stands.
  bool hasAnswerFor(const JobId &Id) const;
  /// Whether the transient job \p Id waits or runs here, has run, or may still
  /// run until it has been stopped; not if it was refused.
  bool has(const JobId &Id) const;
  /// All of those.
  std::vector<JobId> jobs() const;
  /// How many workers answer.
  std::size_t workers() const;
  /// The room of the pool, and how long waiting tasks would fill it.
  PoolLoad load() const;

  /// Accepts \p New durably and calls back. Unavailable: it certainly was not
  /// taken; Timeout: unknown.
  void accept(Job New, Callback Done);
  /// Runs the transient job \p New, or joins it if it runs or has just ended.
  /// It is refused at once, or given up later, if it cannot end while its
  /// answer is of use.
  void run(Job New, const TransientRequest &Request, EndCallback Ended);
  /// Drops one who waits.
  void dropWaiter(const JobId &Id, const WaiterId &From);
  /// Drops what \p Origin waits for; a job that nobody waits for is stopped.
  void dropOrigin(const Endpoint &Origin);
  /// Drops what earlier processes of \p Origin waited for. Its callers come
  /// back elsewhere soon, and perhaps to another pool.
  void dropEarlierIncarnations(const Endpoint &Origin,
                               std::uint64_t Incarnation);
  /// Tasks of transient jobs that may crash their workers.
  const SuspectsByJob &suspects() const { return Suspects_; }
  /// Takes what other owners have seen of them.
  void mergeSuspects(const SuspectsByJob &Seen) { merge(Suspects_, Seen); }
  /// The entries that wait for jobs.
  std::set<Endpoint> origins() const;
  /// Cancels the job durably and calls back; its tasks are stopped.
  void cancel(const JobId &Id, Callback Done);
  /// Whether a task of the job has been started, as far as this leader knows.
  bool hasBegun(const JobId &Id) const { return Begun_.count(Id) != 0; }
  /// Calls back once what is known of the job's ends is in the log: at once, or
  /// after the commit under way if its last tasks have ended. One commit long,
  /// so that who asks right after the end is not told that the job still runs.
  void whenRecorded(const JobId &Id, std::function<void()> Then);
  /// How many jobs of \p Queue wait for their first start.
  std::size_t pending(const QueueName &Queue) const;

  /// Takes what is known of the workers now.
  void applyWorkers(const WorkerDirectory &Directory);
  /// Heeds the data centres that are evacuated from now on, and no more.
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

  // Which transient jobs are served (intake.cpp).
  scheduling::Admission
  decideAdmission(const Job &New, const ActiveTransient &Arriving,
                  const scheduling::Waits &Uncorrected) const;
  scheduling::Waits correctedWaits(std::uint32_t Priority,
                                   const scheduling::Waits &Uncorrected,
                                   Time Now) const;
  scheduling::Waits forecastWaits(const Job &New, Time Now) const;
  bool isLate(const JobId &Id) const;
  bool knowsWorkersOf(const ServiceId &Service) const;
  /// Whether some worker would take each of the job's tasks if it were free.
  bool fitsAnyWorker(const Job &JobRecord) const;
  scheduling::PoolOutlook outlookFor(const Job &New, Time Now) const;
  /// What tasks can fill of the workers that take work of \p Service, in
  /// thousandths of a core.
  double usableCores(const ServiceId &Service) const;
  /// How long the job's longest chain of tasks runs.
  Duration longestChain(const Job &JobRecord, Time Now) const;
  Duration expectedRun(const Job &JobRecord, const StepSpec &Step,
                       Time Now) const;
  void noteAccepted(const Job &New, Time Now);
  void noteFirstStart(const JobId &Id, Time Now);
  void noteRunTime(WorkerSession &Session, const TaskId &Task,
                   const TookTime &Times);
  void giveUpLate(Time Now);
  /// Whether its caller may have come back elsewhere.
  static bool isStale(const ActiveTransient &Job, Time Now);
  /// Whether a job that starts now cannot be in time any more, or of use if it
  /// is a late one.
  static bool isHopeless(const ActiveTransient &Job, Time Now);
  /// Serves a job that cannot be in time any more as a late one, or gives it
  /// up.
  void reconsider(const JobId &Id, Time Now);

  // Transient jobs (transientjobs.cpp).
  void dropWaiters(const std::function<bool(const WaiterId &)> &Which,
                   const char *Reason);
  void answerWaiters(const JobId &Id, const Outcome<TransientEnd> &Ended);
  void forgetTransient(Time Now);
  /// Keeps a refusal, which stands for a while, and returns it.
  TransientEnd noteRefusal(const JobId &Id, const TransientEnd &Refusal);
  void cancelTransient(const JobId &Id, const std::string &Reason,
                       Duration RetryAfter);
  void releaseUnsettled(Time Now);
  void queryAllWorkers();
  void adoptOrphans(const JobId &Id);
  bool hasOrphans(const JobId &Id) const;
  bool mayRun(const JobId &Id) const;
  void stopOrphans(Time Now);

  // Jobs that leave an evacuated data centre (evacuationmoves.cpp).
  /// Whether the workers that could run \p Step of \p Of are all in evacuated
  /// data centres.
  bool isShutOut(const Job &JobRecord, const StepSpec &Step) const;
  /// Whether that holds for a step that is to come.
  bool isShutOut(const Job &JobRecord) const;
  /// Sends the transient jobs away that wait here in vain.
  void moveShutOut();
  void moveAway(const JobId &Id);
  /// Keeps the refusal of a job that leaves, and returns it.
  TransientEnd noteShutOut(const JobId &Id, bool HasRun);
  /// Answers for those whose last run has ended.
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
  /// How long a transient job has been here.
  Duration timeSinceArrival(const JobId &Id) const;
  void forgetEndedJobs(Time Now);
  bool mayHaveEarlierRun(const Job &JobRecord) const;
  void tick();

  // Placement (placement.cpp), orders to start (startorders.cpp).
  void scheduleSoon();
  void schedule();
  WorkerSession *bestWorker(const WaitingTask &Task, Time Now);
  /// Whether a task is worth its run on a worker that takes \p Factor times as
  /// long as expected.
  bool isUsefulAtPace(const WaitingTask &Task, double Factor, Time Now) const;
  void start(WorkerSession &Session, const WaitingTask &Task);
  /// What is sent with an order, to be compared when its answer comes.
  struct Sent {
    Time At;
    FencingToken Token;
    /// Of a hold: its number, and whether it renews the lease.
    std::uint64_t Serial = 0;
    bool Renews = false;
  };
  /// Asks the worker what became of an order that it has not answered.
  void checkStart(const WorkerId &Worker, const TaskId &Task, RunNumber Number);
  /// The same for an order that is still valid: one that the worker does not
  /// show is revoked.
  void resolveStart(const WorkerId &Worker, const TaskId &Task,
                    RunNumber Number);
  void revokeStart(const WorkerId &Worker, const TaskId &Task,
                   RunNumber Number);
  bool isUnanswered(const WorkerId &Worker, const TaskId &Task,
                    RunNumber Number);
  static void noteUnanswered(const WorkerId &Worker, const TaskId &Task,
                             RunNumber Number);
  void started(const WorkerId &Worker, const StartOrder &Order, Time Sent,
               const StartAnswer &Answer);
  void noteTiming(const WorkerSession &Session, Time Sent,
                  const StartAnswer &Answer);
  RunNumber nextRun(const Job &JobRecord, const TaskId &Task);

  // Workers that are lost, and tasks that crash them (workerlosses.cpp).
  void loseRuns(WorkerSession &Session, const char *Reason,
                scheduling::WorkerLoss Kind);
  /// Counts the losses against their tasks, which may start again if they are
  /// not given up.
  void countLosses(std::vector<TaskLoss> Losses);
  void countLossesDurably(const std::vector<TaskLoss> &Losses);
  void onLossesCounted(const std::vector<TaskLoss> &Losses);
  /// The owner before may have lost a worker under each task of the job that
  /// does not run, and have been lost itself before it knew.
  void countPossibleLosses(const JobId &Id);
  void noteSuspects(const std::vector<TaskLoss> &Losses);
  void rememberSuspects(const TaskLoss &Loss);
  /// What was seen of the job's tasks before, here and at other schedulers.
  std::vector<SuspectTask> knownSuspects(const Job &New) const;
  bool isSuspected(const TaskId &Id) const;
  /// Whether one more worker may run suspects.
  bool mayHostMoreSuspects() const;
  /// Keeps a worker free for a suspected task that finds none without runs.
  void reserveWorkerFor(const WaitingTask &Task, Time Now);

  // Conversations with workers (workerwatch.cpp).
  void hold(WorkerSession &With);
  void holdLater(const WorkerId &Worker);
  /// Asks what runs there, beside the hold that may be under way, and calls
  /// \p Then once the answer is taken.
  void look(WorkerSession &With, std::function<void()> Then = nullptr);
  void held(const WorkerId &Worker, const Sent &Order,
            const Outcome<HoldAnswer> &Answer);
  void takeAnswer(WorkerSession &On, Time Sent, const HoldAnswer &Answer);
  void takeFindings(WorkerSession &On, const HoldFindings &Found, bool Fresh);
  /// \p Fresh: this owner did not have the worker until now.
  void found(WorkerSession &On, const RunningTask &Task, bool Fresh);
  void adopt(WorkerSession &On, const RunningTask &Task);
  void recordEnds(WorkerSession &On, const HoldFindings &Findings);
  void recordDurably(const WorkerId &Worker, std::uint64_t Upto,
                     JobChanges Changes);
  void stopRunsOf(const JobId &Id);
  void dropWorker(const WorkerId &Worker, const char *Reason,
                  scheduling::WorkerLoss How);
  void checkLeases(Time Now);
  WorkerSession *session(const WorkerId &Worker);

  const SchedulerDependencies Deps_;
  FencingToken Token_;
  const LeaseSettings Lease_;
  /// Callbacks look here before they touch a scheduler that may be gone.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  /// Null where there is no log.
  std::unique_ptr<Batcher> Batches_;

  /// Tasks of jobs of earlier terms wait until then; see above.
  Time TakeOverDeadline_;
  bool TakenOver_ = false;

  std::map<WorkerId, WorkerSession> Sessions_;
  scheduling::CallTiming Timing_;
  /// Where each known run is. Invariant: agrees with Sessions_.
  std::unordered_map<TaskId, WorkerId> Places_;
  /// Tasks that may start now, in order.
  TaskQueue Queue_;
  std::unordered_map<TaskId, TaskRank> Ranks_;
  /// The order of the active jobs.
  std::unordered_map<JobId, std::uint64_t> JobOrders_;
  std::uint64_t LastJobOrder_ = 0;
  /// Whether every task of the job has ended well or is just being recorded.
  bool isBeingCompleted(const JobId &Id) const;
  void runRecordingCallbacks(const JobId &Id);

  /// Those who ask for jobs that are being completed.
  std::unordered_multimap<JobId, std::function<void()>> RecordingCallbacks_;
  /// Tasks whose end is on its way into the log. They must not start before it
  /// is there: it may be done, or have failed for the last time.
  std::unordered_set<TaskId> Ending_;
  /// Where each task that waits for another try has failed last.
  std::unordered_map<TaskId, WorkerId> FailedAt_;
  std::unordered_map<TaskId, RunNumber> LastRuns_;
  std::unordered_set<JobId> Begun_;
  /// What was seen of tasks of transient jobs, for jobs that are sent again.
  SuspectsByJob Suspects_;
  /// Transient jobs that were refused or given up before they began, and when.
  std::map<JobId, std::pair<Time, TransientEnd>> Refused_;
  /// Jobs that have ended, oldest first, with the time.
  std::deque<std::pair<Time, JobId>> EndedJobs_;
  bool ScheduleDue_ = false;

  /// Jobs that only this leader knows.
  JobStore Transient_;
  struct Waiter {
    WaiterId From;
    EndCallback Ended;
  };
  struct ActiveTransient {
    std::vector<Waiter> Waiters;
    Time Since;
    /// How old it was then.
    Duration Age{0};
    scheduling::Usefulness Useful;
    /// How long its longest chain of tasks runs, as of its arrival.
    Duration Chain{0};
    /// Served as one that cannot be in time.
    bool Late = false;
    /// How long it was to wait for the start of its last task, uncorrected, and
    /// how many of the tasks that could start at once have not yet.
    std::optional<Duration> Forecast;
    std::size_t NotStarted = 0;
    /// Of one that was given up: why, and when to come back.
    std::string Reason;
    Duration RetryAfter{0};
    /// It leaves an evacuated data centre.
    bool Evacuated = false;
  };
  /// Of transient jobs that are active.
  std::unordered_map<JobId, ActiveTransient> ActiveTransients_;
  /// Transient jobs that leave; their runs are being stopped.
  std::unordered_set<JobId> Leaving_;
  /// Evacuated data centres where tasks of this owner still run.
  std::set<DataCentreId> EmptyingDataCentres_;
  /// Tasks of unknown jobs that an earlier owner has left.
  struct Orphan {
    WorkerId Worker;
    RunNumber Run;
    /// It has ended well; else it runs.
    bool Done = false;
    /// It was ordered to stop, and has not been seen to have ended.
    bool Stopping = false;
  };
  std::unordered_map<TaskId, Orphan> Orphans_;
  /// Those that run are kept until then.
  Time OrphansUntil_;
  /// Jobs that may run under another owner, and since when they wait.
  std::unordered_map<JobId, Time> Unsettled_;
  Time AllQueriedAt_;

  /// What was learned of each queue's tasks.
  std::unordered_map<QueueName, scheduling::RunTimeModel> RunTimes_;
  /// The work of transient jobs that was taken lately.
  scheduling::Arrivals Arrivals_;
  /// How far forecasts for jobs of each class of priority were off.
  std::array<scheduling::ForecastSkill, scheduling::PriorityClasses> Skills_;
  /// Transient jobs that have ended, oldest first.
  std::deque<std::pair<Time, JobId>> EndedTransients_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_SCHEDULER_H
