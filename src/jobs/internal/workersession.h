//===- workersession.h - A leader's dealings with one worker ----*- C++ -*-===//
//
// What a leader believes of one worker: its clock, what runs on it, until when
// its lease may last. Plain state with free functions that take a message and
// return what follows from it; the scheduler carries it out.
//
// Why a run is never lost sight of. A start whose answer is missing may be
// carried out until its lease has passed on the worker's clock. A hold answer
// from after that moment shows whether it was. A worker that does not answer
// has killed everything once the last lease that it may have been given is
// over. Until one of these is known the task stays bound to the worker.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H
#define GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H

#include "jobs/workerdirectory.h"
#include "scheduling/calltiming.h"
#include "scheduling/suspicion.h"
#include "scheduling/workerpace.h"

#include <unordered_map>

namespace geraniumbay::jobs {

/// One start of a task, as the leader knows it.
struct Run {
  RunNumber Number;
  Resources Needs;
  /// When the leader ordered or found it.
  Time Since;
  /// The worker has confirmed it.
  bool Confirmed = false;
  /// It has been ordered to stop.
  bool Stopping = false;
  /// A hold answer from after this moment of the worker's clock that does not
  /// list the run shows that it does not exist.
  WorkerMillis ShownAfter;
  /// How long it is expected to run.
  Duration Expected{0};
  /// An earlier owner ordered it, so that its beginning is not known.
  bool Adopted = false;
  /// It may crash the worker, so that nothing else is started beside it.
  bool Suspected = false;
};

struct WorkerSession {
  WorkerInfo Info;
  /// By task. Invariant: Used is the sum of their needs.
  std::unordered_map<TaskId, Run> Runs;
  /// Of a worker with runs: since when it has had any.
  Time BusySince;
  Resources Used;

  /// The latest moment of the worker's clock that a hold has brought.
  WorkerMillis Clock;
  /// The moment of its clock from which the present one is estimated, and the
  /// latest time here at which it was. An estimate from an earlier one might be
  /// closer, but a worker that stood still since would be taken to be ahead.
  WorkerMillis Moment;
  Time MomentSeen;
  /// It has answered a hold of this leader, so all that runs there is known.
  bool Known = false;
  /// The last hold failed: nothing is started, and no lease renewed, until one
  /// succeeds.
  bool Silent = false;
  /// Of a silent one: how the last hold failed.
  scheduling::WorkerLoss Failure = scheduling::WorkerLoss::Silent;
  /// Of a silent one: the last pause before it is asked again, and its end.
  Duration RetryPause{0};
  Time RetryAt;
  /// No task that this leader knows of can run there after this time, unless
  /// another lease is given.
  Time LeaseEnds;
  /// The worker refused work; it gets none before this time.
  Time RestUntil;
  /// It had no room for so much in all, though it announced more. That counts
  /// until it may have announced its room again.
  std::optional<Resources> Refused;
  Time RefusedUntil;
  /// Some tasks run there that belong to no job here, so that it has less room
  /// than is known.
  bool HasUnknownRuns = false;
  /// Its data centre is evacuated: what runs there goes on, nothing starts.
  bool Evacuated = false;
  /// Control has dropped it, so that the next owner would not look for runs
  /// there: what runs goes on, nothing starts.
  bool Unlisted = false;
  /// It is kept free until then for a task that must run alone.
  Time ReservedUntil;

  /// How long its tasks took against what was expected.
  scheduling::WorkerPace Pace;
  /// First runs of tasks that failed there since one ended well.
  std::uint32_t FailedInRow = 0;
  /// Tasks run there that this owner does not know, and another owner that is
  /// out of reach may count on their lease to end. So no lease is given, nor
  /// anything started, before they have gone.
  bool Foreign = false;

  bool HoldUnderWay = false;
  /// Counts the holds; an answer to an earlier one is as good, but only the
  /// latest is followed by another.
  std::uint64_t HoldSerial = 0;
  /// When the latest hold was sent, and how long the worker may wait with its
  /// answer.
  Time HoldSent;
  Duration HoldFor{0};
  /// The latest hold was sent because the one before it is overdue.
  bool HoldRepeated = false;
  /// When the hold was sent that renewed the lease last, of those answered.
  std::optional<Time> RenewedAt;
  /// When the latest question was sent that it has answered.
  Time LookedAt;
  /// The highest end that is recorded in the log or needs no record.
  std::uint64_t RecordedEnd = 0;
  /// The highest end that has been taken into a batch.
  std::uint64_t TakenEnd = 0;
};

/// The longest lease that workers grant, and the pace of what renews it. From
/// the platform's bounds; a lease is renewed well before half of it is over.
struct LeaseSettings {
  Duration Longest = std::chrono::milliseconds(1000);
  /// A worker's clock may be this much slower than this one (in percent).
  int SlowClockPercent = 2;
  /// A worker takes this long to kill what has no lease.
  Duration KillTime = std::chrono::milliseconds(50);
  /// An earlier owner that is cut off gives no lease after this time: by then
  /// it has noticed (see OriginTimeout in poolview.h).
  Duration EarlierOwner{0};
  /// How long what the earlier owner left is not stopped, for the entries to
  /// hand its jobs in again.
  Duration KeepOrphans{0};
  /// The earlier owner has let go, so that their lease may be renewed too.
  bool RenewOrphans = false;
  /// How long a worker waits for an end before it answers a hold.
  Duration HoldWait = std::chrono::milliseconds(200);
  /// The same where answers get lost: a hold whose answer is lost hides all
  /// ends until it is repeated.
  Duration LossyHoldWait = std::chrono::milliseconds(100);
  /// The same for a worker on which nothing runs. Its next end is heard all the
  /// same, since it answers when a task ends. Most workers of a large pool are
  /// idle, and their holds would take most of an owner's processor time.
  Duration IdleHoldWait = std::chrono::milliseconds(1000);
  /// A hold that is this much overdue is repeated: ten times a round trip.
  Duration RepeatAfter = std::chrono::milliseconds(30);
  /// How long an order to start is valid at least. One that gets no answer is
  /// known to be dead after that, instead of after the lease: a task of 60 ms
  /// then starts elsewhere in time for an objective of 156 ms.
  Duration OrderValid = std::chrono::milliseconds(60);
  /// A lease that was renewed by a hold within this time outlives an order; an
  /// order to a worker without one carries a whole lease itself.
  Duration FreshLease = std::chrono::milliseconds(300);
};

/// How long after a lease was given everything under it is certainly dead.
Duration leaseBound(const LeaseSettings &Settings, Duration Length);
/// The same for the longest lease.
Duration leaseBound(const LeaseSettings &Settings);

/// The end of a lease of \p Length from now, on the worker's clock. It never
/// exceeds what the worker grants, since the clock is estimated as early as it
/// can be.
WorkerMillis leaseUntil(const WorkerSession &Session,
                        const LeaseSettings &Settings, Duration Length,
                        Time Now);

/// Notes that a lease of \p Length is given now.
void noteLease(WorkerSession &Session, const LeaseSettings &Settings,
               Duration Length, Time Now);

/// How long the next order to start is valid; the lease that it carries.
Duration orderValidity(const WorkerSession &Session,
                       const LeaseSettings &Settings,
                       const scheduling::CallTiming &Timing, Time Now);

/// Whether the hold under way is overdue and has not been repeated yet.
bool isHoldOverdue(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now);

/// Whether the hold under way was sent while nothing ran there and would come
/// too late for what runs now.
bool isHoldTooLong(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now);

/// How long the worker may wait with the answer to the next hold.
Duration nextHoldWait(const WorkerSession &Session,
                      const LeaseSettings &Settings,
                      const scheduling::CallTiming &Timing, Time Now);

/// Whether an order to start has got no answer there for longer than a worker
/// takes. It may be out of reach.
bool hasUnansweredStart(const WorkerSession &Session, Time Now);

/// Notes a moment of the worker's clock that any answer brought. A start that
/// is late for the worker brings one too: an answer that has lain unread while
/// this process stood still sets the estimate back by that time, and all orders
/// would be late until the next hold.
void noteMoment(WorkerSession &Session, WorkerMillis Moment, Time Now);
/// The same for an answer to a hold. Returns false if an answer from a later
/// moment was seen before.
bool noteClock(WorkerSession &Session, WorkerMillis Clock, Time Now);

/// Whether new tasks of \p Service may go to the worker, room or not.
bool takesWorkOf(const WorkerSession &Session, const ServiceId &Service);

/// Whether the worker has room for \p Needs beside what runs there.
bool hasRoom(const WorkerSession &Session, const Resources &Needs, Time Now);
/// Whether the worker carries \p Label; an empty one asks for none.
bool carries(const WorkerInfo &Info, const std::string &Label);
/// Whether the worker would have room for \p Needs if nothing ran there.
bool isLargeEnough(const WorkerSession &Session, const Resources &Needs);
/// Notes that the worker had no room for \p Needs beside what runs there.
void noteNoRoom(WorkerSession &Session, const Resources &Needs, Time Now);

/// Whether a task may run there with what does: a suspected one only alone.
bool mayRunThere(const WorkerSession &Session, bool Suspected, Time Now);
bool hostsSuspect(const WorkerSession &Session);

void addRun(WorkerSession &Session, const TaskId &Task, Run Added);
/// Removes the run if it is there.
void removeRun(WorkerSession &Session, const TaskId &Task);

/// A worker on which so many tasks in a row have failed is distrusted: a worker
/// that fails all it starts is always free and draws every task. Four in a row
/// happen by chance once in 600 where a fifth of all tasks cannot be done.
constexpr std::uint32_t DistrustedAfter = 4;

/// Notes how a run ended there. \p FirstTry: the task has not failed before, so
/// that a task which cannot be done blames one worker only.
void noteEnd(WorkerSession &Session, bool Succeeded, bool FirstTry, Time Now);
/// How many times as long as expected a task may take there, by those that have
/// ended and those that run.
double paceFactorOf(const WorkerSession &Session, Time Now);

/// Whether the worker may get another task: a distrusted one gets a single task
/// to show itself after each pause.
bool isTrusted(const WorkerSession &Session);

/// How long a run took.
struct TookTime {
  /// From its order until it was listed as ended.
  Duration Took{0};
  Duration Expected{0};
};

/// What a hold answer shows.
struct HoldFindings {
  /// The answer is newer than all before. An answer that was overtaken tells of
  /// ends only: what it lists as running may have changed since.
  bool Current = false;
  /// Runs of this leader that have ended, with their ends.
  std::vector<EndedTask> Ended;
  /// Of those that this leader ordered.
  std::unordered_map<TaskId, TookTime> Took;
  /// Tasks that run there and that the session did not have.
  std::vector<RunningTask> Found;
  /// Runs that turned out not to exist. They have been removed.
  std::vector<TaskId> Missing;
};

/// Takes an answer: removes runs that ended or do not exist, confirms those
/// that run. Ends that were taken before are left out.
HoldFindings takeHold(WorkerSession &Session, const HoldAnswer &Answer,
                      Time Now);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_WORKERSESSION_H
