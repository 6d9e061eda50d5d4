//===- suspicion.h - Detection of crashing tasks ----------------*- C++ -*-===//
//
// A task may crash every worker that starts it, which takes down the tasks
// beside it. When a worker is lost, each task that ran there may be the cause.
// So a suspect runs alone on a worker: if it succeeds it is cleared, and if the
// worker is lost again nothing else can be the cause. Only a few workers at a
// time may run suspects, so that a job with many such tasks does not take the
// whole pool down.
//
// A task, or all tasks of a job, may crash workers within milliseconds, while a
// worker takes seconds to come back. Workers are also lost for other reasons:
// network failures, frozen processes, power failures and removal.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_SUSPICION_H
#define GERANIUMBAY_SCHEDULING_SUSPICION_H

#include <cstddef>
#include <cstdint>

namespace geraniumbay::scheduling {

/// How the loss of a worker was detected.
enum class WorkerLoss {
  Crashed, ///< Another incarnation answers at its address.
  Refused, ///< Its VM, or something between, refuses connections.
  Silent,  ///< No answer: network failure, frozen or powered off.
};

/// Stable name of \p Loss for logs.
const char *workerLossName(WorkerLoss Loss);

/// Evidence that a task crashes its workers.
struct Suspicion {
  /// Number of workers that crashed while it ran there.
  std::uint32_t Crashes = 0;
  /// Number of workers that were lost while it ran there, for any reason.
  /// Invariant: not below Crashes.
  std::uint32_t Losses = 0;
  /// It must run alone until it succeeds.
  bool Suspected = false;
  /// It is not started any more.
  bool Quarantined = false;

  bool operator==(const Suspicion &) const = default;
};

/// Records that a worker was lost while it ran the task; \p Alone: nothing else
/// ran there.
void noteLoss(Suspicion &Task, WorkerLoss Loss, bool Alone);

/// Merges the evidence of two schedulers about one task.
void merge(Suspicion &Into, const Suspicion &Other);

/// The number of workers, out of \p Workers, that may run suspects at a time.
std::size_t maxWorkersForSuspects(std::size_t Workers);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_SUSPICION_H
