//===- workersession.h - Scheduler state of one worker ----------*- C++ -*-===//
//
// The scheduler's view of one worker: its clock, its runs, and the end of its
// lease. Plain state with free functions that apply a message and return the
// consequences; the scheduler acts on them.
//
// A task stays bound to its worker until one of the following rules out that
// its run exists. A start order without an answer may still be carried out
// until its lease has expired on the worker's clock; a hold answer from a later
// moment shows whether it was. A worker that does not answer has killed all its
// tasks once the last lease that it may have received has expired.
//
// An answer lists all running tasks, but possibly not all ends: a worker cuts a
// long list off. A run that is missing from both lists has ended or never
// existed, and which of the two shows only once all ends from before that
// answer are known. They are known
// - if an answer lists no end at all, or
// - if an end is listed whose run still existed at a later moment: ends are
//   numbered in their order, and the lowest are listed first.
// This needs no limit of the list's length.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H
#define GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H

#include "jobs/workerdirectory.h"
#include "scheduling/calltiming.h"
#include "scheduling/suspicion.h"
#include "scheduling/workerpace.h"

#include <map>
#include <unordered_map>

namespace geraniumbay::jobs {

/// One start of a task, as the scheduler knows it.
struct Run {
  RunNumber Number;
  Resources Needs;
  /// When the scheduler ordered or discovered it.
  Time Since;
  /// The worker has confirmed it.
  bool Confirmed = false;
  /// A stop order was sent.
  bool Stopping = false;
  /// A hold answer from after this moment of the worker's clock lists the run
  /// if it exists.
  WorkerMillis ListedAfter;
  /// Expected run time.
  Duration Expected{0};
  /// An earlier owner ordered it, so its start time is unknown.
  bool Adopted = false;
  /// It may crash the worker, so no other task is started beside it.
  bool Suspected = false;
  /// It was ordered from an earlier incarnation of the worker. The present one
  /// may still carry out the order, so the run counts as existing until a stop
  /// of it is confirmed.
  bool Revoking = false;
  /// The latest moment of the worker's clock at which it reported the run as
  /// existing; 0 if it never did.
  WorkerMillis ExistedAt{};
  /// The moment of the first answer that should list the run if it existed and
  /// does not. Its end may not have been listed yet.
  std::optional<WorkerMillis> AbsentSince{};
  /// When the worker answered the order, by its own clock.
  std::optional<WorkerMillis> StartedAt{};
};

/// Identifies a batch of ends of one worker; counted by the scheduler.
using EndBatchId = StrongId<struct EndBatchTag, std::uint64_t>;

struct WorkerSession {
  WorkerInfo Info;
  /// By task. Invariant: Used is the sum of their resources.
  std::unordered_map<TaskId, Run> Runs;
  /// If there are runs: since when the worker has been busy without
  /// interruption.
  Time BusySince;
  Resources Used;

  /// The latest worker clock reported by a hold answer.
  WorkerMillis Clock;
  /// The reading from which the current worker clock is estimated, and the
  /// local time at which it was received. Only the latest reading is used: an
  /// older one might give a closer estimate, but if the worker was paused
  /// since, the estimate would run ahead of its clock.
  WorkerMillis ClockReading;
  Time ClockReadAt;
  /// All ends from before this moment of the worker's clock are processed.
  WorkerMillis EndsKnownBefore;
  /// A moment at which the worker listed all of its running tasks, and the send
  /// time of the hold or query that it answered.
  struct RunList {
    WorkerMillis Clock;
    Time SentAt;
  };
  /// The oldest such list from a moment of which the ends are not known yet.
  std::optional<RunList> UnprovenList;
  /// It has listed all of its running tasks to this scheduler.
  bool RunsKnown = false;
  /// Set once all runs of some moment under this scheduler are known, running
  /// or ended, so that nothing that an earlier owner left there is unknown:
  /// when the latest hold or query was sent that was answered at such a moment.
  std::optional<Time> ProvenListSentAt;
  /// A query for ends that may be hidden is on its way or due.
  bool EndsQueryPending = false;
  /// The last hold failed: no task is started and no lease renewed until a hold
  /// succeeds.
  bool Silent = false;
  /// If silent: how the last hold failed.
  scheduling::WorkerLoss Failure = scheduling::WorkerLoss::Silent;
  /// If silent: the current retry delay, and the time of the next retry.
  Duration RetryPause{0};
  Time RetryAt;
  /// After this time no run known to this scheduler can exist there, unless the
  /// lease is renewed.
  Time LeaseEnds;
  /// Backoff after refusals or failures: no task is started there before this
  /// time.
  Time NoStartsUntil;
  /// Total resources that the worker refused although it had announced more.
  /// Valid until RefusedUntil, by when it should have announced its capacity
  /// again.
  std::optional<Resources> Refused;
  Time RefusedUntil;
  /// Tasks of unknown jobs run there, so its free capacity is overestimated.
  bool HasUnknownRuns = false;
  /// Its data centre is evacuated: its runs continue, but no task is started.
  bool Evacuated = false;
  /// Control does not list it any more, so the next owner would not look for
  /// runs there: its runs continue, but no task is started.
  bool Unlisted = false;
  /// Control does not list this incarnation yet, so its capacity and labels are
  /// unknown: no task is started.
  bool Unannounced = false;
  /// When to repeat the stops of runs that were ordered from earlier
  /// incarnations; unset if there are none.
  std::optional<Time> RevokeAgainAt;
  /// Reserved until then for a task that must run alone.
  Time ReservedUntil;

  /// Ratio of actual to expected run times of its tasks.
  scheduling::WorkerPace Pace;
  /// Consecutive failures of tasks that had not failed before; a success resets
  /// it.
  std::uint32_t ConsecutiveFailures = 0;
  /// Tasks unknown to this owner run there. Another owner that is unreachable
  /// may rely on their lease to expire, so no lease is renewed and no task is
  /// started until they have ended.
  bool HasForeignRuns = false;

  bool HoldInFlight = false;
  /// Sequence number of the latest hold. Answers to earlier ones are still
  /// applied, but only the answer to the latest triggers the next hold.
  std::uint64_t HoldSerial = 0;
  /// When the latest hold was sent, and how long the worker may delay its
  /// answer.
  Time HoldSent;
  Duration RequestedHoldWait{0};
  /// The latest hold replaced one that was overdue.
  bool HoldResent = false;
  /// Send time of the last answered hold that renewed the lease.
  std::optional<Time> RenewedAt;
  /// Send time of the latest hold or query that was answered.
  Time LastAnsweredSentAt;
  /// The highest end that was processed: it needs no record, or it was added to
  /// a batch for the log.
  std::uint64_t LastProcessedEnd = 0;
  /// The batches with ends of this worker that are not known to be in the log,
  /// each with the lowest of these ends. Invariant: the ends of a later batch
  /// are above those of an earlier one, and at most LastProcessedEnd.
  std::map<EndBatchId, std::uint64_t> UnrecordedBatches;
};

/// Whether ends of the worker are being written to the log.
bool isRecordingEnds(const WorkerSession &Session);

/// The highest end that may be acknowledged to the worker: it and all ends
/// before it are in the log or need no record. Of any other end a later owner
/// learns from the worker alone.
std::uint64_t lastRecordedEnd(const WorkerSession &Session);

/// The relation of the process that sent an answer to the session's.
enum class AnsweredBy { SameIncarnation, EarlierIncarnation, LaterIncarnation };

/// Without both start times the two count as the same.
AnsweredBy answeredBy(const WorkerSession &Session, const HoldAnswer &Answer);

/// Begins the session of a later incarnation that started at \p StartedAt. It
/// knows nothing of before: clock, ends, leases, pace and trust begin anew.
/// What was ordered from the earlier one stays in the session, as runs to be
/// revoked.
void beginIncarnation(WorkerSession &Session, WorkerStart StartedAt, Time Now);

/// Lease durations and hold intervals. They follow from the limits of the
/// platform; a lease is renewed well before half of it has passed.
struct LeaseSettings {
  Duration LongestLease = std::chrono::milliseconds(1000);
  /// A worker's clock may be this much slower than this one (in percent).
  int SlowClockPercent = 2;
  /// Time that a worker takes to kill tasks whose lease has expired.
  Duration KillTime = std::chrono::milliseconds(50);
  /// An unreachable earlier owner has noticed that it is cut off, and renews no
  /// lease, after this time (see OriginTimeout in poolview.h).
  Duration EarlierOwnerSilence{0};
  /// How long runs left by an earlier owner are kept, so that entries can
  /// submit their jobs again.
  Duration OrphanRetention{0};
  /// The earlier owner released its ownership, so the leases of its runs may be
  /// renewed too.
  bool RenewOrphans = false;
  /// How long a worker may wait for the end of a task before it answers a hold.
  Duration HoldWait = std::chrono::milliseconds(200);
  /// The same while answers get lost: a lost hold answer hides all ends until
  /// the hold is repeated.
  Duration LossyHoldWait = std::chrono::milliseconds(100);
  /// The same for an idle worker. Ends are not delayed by it, since the worker
  /// answers as soon as a task ends. Most workers of a large pool are idle, and
  /// their holds would take most of an owner's processor time.
  Duration IdleHoldWait = std::chrono::milliseconds(1000);
  /// A hold that is overdue by this much, ten times a round trip, is repeated.
  Duration RepeatAfter = std::chrono::milliseconds(30);
  /// Shortest validity of a start order. An unanswered order is known to be
  /// void after that, rather than after the full lease, so that a task of 60 ms
  /// can start elsewhere in time for an objective of 156 ms.
  Duration MinOrderValidity = std::chrono::milliseconds(60);
  /// A lease renewed by a hold within this time outlives a start order. An
  /// order to a worker without such a lease carries a full lease itself.
  Duration FreshLease = std::chrono::milliseconds(300);
};

/// Time from granting a lease of \p Length until everything under it is
/// certainly dead.
Duration leaseBound(const LeaseSettings &Settings, Duration Length);
/// The same for the longest lease.
Duration leaseBound(const LeaseSettings &Settings);

/// The end of a lease of \p Length from now, on the worker's clock. The
/// estimate of that clock is a lower bound, so the lease never exceeds what the
/// worker grants.
WorkerMillis leaseUntil(const WorkerSession &Session,
                        const LeaseSettings &Settings, Duration Length,
                        Time Now);

/// Records that a lease of \p Length is granted now.
void noteLease(WorkerSession &Session, const LeaseSettings &Settings,
               Duration Length, Time Now);

/// The validity of the next start order, which is also the lease that it
/// carries.
Duration orderValidity(const WorkerSession &Session,
                       const LeaseSettings &Settings,
                       const scheduling::CallTiming &Timing, Time Now);

/// Whether the hold in flight is overdue and has not been repeated yet.
bool isHoldOverdue(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now);

/// Whether the hold in flight was sent while the worker was idle and its answer
/// would come too late for the current runs.
bool isHoldTooLong(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now);

/// How long the worker may delay its answer to the next hold.
Duration nextHoldWait(const WorkerSession &Session,
                      const LeaseSettings &Settings,
                      const scheduling::CallTiming &Timing, Time Now);

/// Whether a start order has been unanswered for longer than a worker usually
/// takes. The worker may be unreachable.
bool hasUnansweredStart(const WorkerSession &Session, Time Now);

/// Applies a reading of the worker's clock from any answer. Refusals of late
/// starts carry one too: if this process was paused while an answer lay unread,
/// the estimate lags by that time and every order would be late until the next
/// hold.
void noteClockReading(WorkerSession &Session, WorkerMillis ClockReading,
                      Time Now);
/// The same for a hold answer. Returns false if an answer with a later reading
/// was applied before.
bool noteClock(WorkerSession &Session, WorkerMillis Clock, Time Now);

/// Whether the worker accepts new tasks of \p Service, regardless of free
/// capacity.
bool acceptsWorkFor(const WorkerSession &Session, const ServiceId &Service);

/// Whether the worker has free capacity for \p Needs beside its runs.
bool hasFreeCapacity(const WorkerSession &Session, const Resources &Needs,
                     Time Now);
/// Whether the worker carries \p Label; always true for an empty one.
bool hasLabel(const WorkerInfo &Info, const std::string &Label);
/// Whether the worker could fit \p Needs if it were idle.
bool isLargeEnough(const WorkerSession &Session, const Resources &Needs);
/// Records that the worker refused \p Needs beside its runs for lack of
/// capacity.
void noteCapacityRefusal(WorkerSession &Session, const Resources &Needs,
                         Time Now);

/// Whether a task may run beside the current runs: a suspected task must run
/// alone.
bool mayRunThere(const WorkerSession &Session, bool Suspected, Time Now);
bool hostsSuspect(const WorkerSession &Session);

void addRun(WorkerSession &Session, const TaskId &Task, Run Added);
/// Removes the run if it exists.
void removeRun(WorkerSession &Session, const TaskId &Task);

/// Number of consecutive failures from which a worker is distrusted. A worker
/// that fails every task is always free and would attract all of them. Where a
/// fifth of all tasks cannot succeed, four failures in a row happen by chance
/// once in 600.
constexpr std::uint32_t DistrustThreshold = 4;

/// Records how a run ended. \p FirstTry: the task has not failed before, so
/// that a task that cannot succeed counts against one worker only.
void noteEnd(WorkerSession &Session, bool Succeeded, bool FirstTry, Time Now);
/// How many times as long as expected a task may take there, from ended and
/// current runs.
double paceFactorOf(const WorkerSession &Session, Time Now);

/// Whether the worker may get another task. A distrusted one gets a single
/// trial task after each backoff.
bool isTrusted(const WorkerSession &Session);

/// Actual and expected run time of a run.
struct RunTiming {
  /// By the worker's clock. If its start is unknown, by this process's clock
  /// from the order on, which includes the time in transit.
  Duration Elapsed{0};
  Duration Expected{0};
};

/// A run that never existed, or that ended without its end being listed.
struct MissingRun {
  TaskId Task;
  RunNumber Number;
  /// When the worker first did not list it, by its clock.
  WorkerMillis AbsentSince;
};

/// The consequences of a hold answer.
struct HoldFindings {
  /// The answer is not older than any applied before. From an older one only
  /// the ends are used, since its list of running tasks may be outdated.
  bool Current = false;
  /// New ends of runs.
  std::vector<EndedTask> Ended;
  /// Run times of the ended runs that this scheduler ordered.
  std::unordered_map<TaskId, RunTiming> RunTimings;
  /// Tasks that run there but are not in the session.
  std::vector<RunningTask> Found;
  /// Runs that proved not to exist. They have been removed from the session.
  std::vector<MissingRun> Missing;
  /// How many runs the worker does not list, but may have ended, and how many
  /// runs it did not list for the first time.
  std::size_t MaybeEnded = 0;
  std::size_t NewlyAbsent = 0;
};

/// Applies a hold answer: removes runs that have ended or do not exist, and
/// confirms those that run. Ends that were applied before are skipped.
/// \p SentAt: when the hold or query that it answers was sent.
HoldFindings applyHoldAnswer(WorkerSession &Session, const HoldAnswer &Answer,
                             Time SentAt, Time Now);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H
