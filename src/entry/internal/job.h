//===- job.h - The coordinator of one submission ----------------*- C++ -*-===//
//
// The decision core of a submission that runs at most once: a job, or a single
// task that must not be repeated. It is claimed at its home ledger while slots
// are acquired; a task starts when both are there; the answer is recorded
// before the caller gets it. Each function takes one event and returns what
// has to be done; nothing here touches sockets, files or a clock.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_JOB_H
#define GERANIUMBAY_ENTRY_INTERNAL_JOB_H

#include "dispatch/types.h"
#include "entry/result.h"
#include "entry/submission.h"

#include <optional>
#include <variant>
#include <vector>

namespace geraniumbay::entry {

/// The place of a task in its job, from 0.
using TaskIndex = StrongId<struct TaskIndexTag, std::uint32_t>;

// What the core asks for.

/// Ask the home ledger for the claim.
struct ClaimAction {};
/// Ask pools for this many slots.
struct AcquireAction {
  std::uint32_t Tasks;
};
/// Give up the slots that were asked for and not leased.
struct CancelAcquireAction {};
/// Send a task to the worker of its lease.
struct StartAction {
  TaskIndex Task;
  dispatch::Lease Held;
};
/// Stop a running task at its worker; its lease is released when it stopped.
struct StopAction {
  TaskIndex Task;
  dispatch::Lease Held;
};
/// Give a lease back.
struct ReleaseLeaseAction {
  dispatch::Lease Held;
  dispatch::LeaseOutcome Outcome;
  Duration Ran{0};
};
/// Record the answer at the home ledger.
struct RecordAction {
  Result Answer;
};
/// Give up the claim: nothing was started.
struct ReleaseClaimAction {};
/// Give the caller the answer; the submission is over.
struct ReplyAction {
  Result Answer;
};

using JobAction = std::variant<ClaimAction, AcquireAction, CancelAcquireAction,
                               StartAction, StopAction, ReleaseLeaseAction,
                               RecordAction, ReleaseClaimAction, ReplyAction>;
using JobActions = std::vector<JobAction>;

// What happens to it.

/// The ledger's answer to the claim.
struct ClaimGranted {};
/// An earlier submission has this answer.
struct ClaimAnswered {
  Result Answer;
};
/// The claim was not made or is of no use; nothing of it may start here.
struct ClaimRefused {
  Result Answer;
  /// The claim may have been made, so it has to be released.
  bool MayHoldClaim = false;
};
using ClaimEvent = std::variant<ClaimGranted, ClaimAnswered, ClaimRefused>;

/// How a task that was sent to a worker ended.
enum class TaskEnd {
  Succeeded,  ///< The worker answered.
  Failed,     ///< The worker answered that the task failed.
  NotStarted, ///< Proved: no byte of it was sent.
  Refused,    ///< Proved: the worker's guard refused it.
  Unknown,    ///< No answer; it may have run.
};

/// The end of one task.
struct TaskEvent {
  TaskIndex Task;
  TaskEnd End = TaskEnd::Unknown;
  /// The worker's answer, or a line about the failure.
  std::string Text;
  /// Time at the worker.
  Duration Ran{0};
};

/// One task of a job.
struct TaskState {
  enum class Phase { Waiting, Leased, Running, Succeeded, Stopped };
  Phase Now = Phase::Waiting;
  /// Set while Leased or Running.
  std::optional<dispatch::Lease> Held;
  /// Set when Succeeded.
  std::string Answer;
};

/// How the job stands.
enum class JobPhase {
  Starting,  ///< Waits for the claim; nothing was started.
  Running,   ///< The claim is held.
  Recording, ///< The answer is decided and being recorded.
  Over,      ///< The caller has its answer.
};

/// One submission on its way.
struct Job {
  Submission Request;
  JobPhase Phase = JobPhase::Starting;
  /// Invariant: one for each payload, in their order.
  std::vector<TaskState> Tasks;
  /// Whether any task was ever handed to a worker. While it is false the
  /// submission provably did not run.
  bool StartedAny = false;
  /// How often tasks came back unstarted and slots were asked for again.
  std::uint32_t Reacquired = 0;
  /// Why nothing of it will be started, while the claim is under way: only the
  /// ledger's reply tells whether an earlier submission ran.
  std::optional<Result> Shed;
  /// The decided answer; set from Recording on.
  std::optional<Result> Answer;
};

/// A job whose tasks came back unstarted more often than this (for each of its
/// tasks) is given up.
constexpr std::uint32_t MaxReacquiresPerTask = 4;

/// Begins a submission.
JobActions startJob(Job &State, Submission Request);
JobActions onClaim(Job &State, const ClaimEvent &Event);
JobActions onLease(Job &State, const dispatch::Lease &Held);
JobActions onRejected(Job &State, const dispatch::Rejection &Event);
JobActions onTaskEnd(Job &State, const TaskEvent &Event);
/// The recorded answer, which may be an earlier one than was sent.
JobActions onRecorded(Job &State, const Result &Recorded);
/// The ledger could not be reached until the caller's deadline.
JobActions onRecordFailed(Job &State);
JobActions onDeadline(Job &State);
/// The caller cancels the submission.
JobActions onCancel(Job &State);
/// Nobody waits for the answer any more. A job that has started goes on, since
/// a resubmission may ask for its answer.
JobActions onAbandoned(Job &State);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_JOB_H
