//===- suspicion.h - Which task crashes its workers -------------*- C++ -*-===//
//
// A task may crash each worker that starts it, and takes what runs beside it
// with it. When a worker is lost, each task that ran there may be the cause. So
// a suspect runs alone on a worker: if it ends well it is cleared, and if it is
// lost again nothing else can be the cause. A few workers at a time are left to
// suspects, so that a job of many such tasks does not take the pool down.
//
// The pattern: a task, or all tasks of a job, crash every worker within
// moments; workers come back after seconds. Beside it workers are lost for
// other reasons: cut off, frozen, without power, or taken away.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_SUSPICION_H
#define GERANIUMBAY_SCHEDULING_SUSPICION_H

#include <cstddef>
#include <cstdint>

namespace geraniumbay::scheduling {

/// How a worker was lost.
enum class WorkerLoss {
  Crashed, ///< Another incarnation answers at its address.
  Refused, ///< Connections are refused, by its VM or by something between.
  Silent,  ///< Nothing answers: it is cut off, frozen or without power.
};

/// Stable name of \p How for logs.
const char *workerLossName(WorkerLoss Loss);

/// What speaks against one task.
struct Suspicion {
  /// Workers that have crashed while it ran there.
  std::uint32_t Crashes = 0;
  /// Workers that were lost while it ran there, for whatever reason. Invariant:
  /// not below Crashes.
  std::uint32_t Losses = 0;
  /// It runs alone until it ends well.
  bool Suspected = false;
  /// It is started no more.
  bool Quarantined = false;

  bool operator==(const Suspicion &) const = default;
};

/// Notes that a worker was lost under the task; \p Alone: nothing else ran
/// there.
void noteLoss(Suspicion &Task, WorkerLoss Loss, bool Alone);

/// Joins what two schedulers have seen of one task.
void merge(Suspicion &Into, const Suspicion &Other);

/// How many of \p Workers may run suspects at a time.
std::size_t maxWorkersForSuspects(std::size_t Workers);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_SUSPICION_H
