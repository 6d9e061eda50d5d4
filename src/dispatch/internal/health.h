//===- health.h - Outlier detection of workers ------------------*- C++ -*-===//
//
// Decides from the outcomes of a worker's tasks whether it gets new ones. The
// evidence against a worker is a CUSUM of the log-likelihood ratio between "it
// fails at least half of its tasks" and "it fails as often as this caller's
// tasks fail elsewhere". A quick worker is never suspect for being quick.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_HEALTH_H
#define GERANIUMBAY_DISPATCH_INTERNAL_HEALTH_H

#include "dispatch/poolpolicy.h"
#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <array>
#include <cstdint>

namespace geraniumbay::dispatch {

/// How often the tasks of one caller fail, whichever worker runs them.
struct CallerFailures {
  /// Failure rate, counting at most one failure of a worker in a row, so that
  /// a failing worker does not blame its callers.
  double Rate = 0;
  Time LastSuccess{};
  /// Workers that failed its tasks since its last success.
  std::array<WorkerId, 3> FailedAt;
  std::uint32_t FailedCount = 0;
};

/// What is known of one worker from the outcomes of its tasks.
struct WorkerHealth {
  /// Leases that the worker may have at once on top of those granted before
  /// its last failure; doubles with each success.
  std::uint32_t Window = 1;
  /// The last lease of the pool when a task of the worker failed last.
  std::uint64_t FailedAfter = 0;
  std::uint32_t FailuresInRow = 0;
  /// Whose task failed last.
  CallerId FailedCaller;
  /// CUSUM of the log-likelihood ratio; at or above 0.
  double Evidence = 0;
  /// Left out: only probes go to the worker.
  bool Ejected = false;
  /// When the next probe may start; only if Ejected.
  Time ProbeAt{};
  Duration ProbeBackoff{0};
  std::uint32_t ProbesPassed = 0;
};

/// Health of a worker that nothing is known of.
WorkerHealth freshHealth(const PoolPolicy &Policy);

/// Takes a success of one of the worker's tasks.
void noteSuccess(WorkerHealth &Health, CallerFailures &Caller,
                 const PoolPolicy &Policy, Time Now);

/// Takes a failure of one of the tasks of \p Worker, which caller \p Whose
/// sent.
void noteFailure(WorkerHealth &Health, CallerFailures &Caller,
                 const CallerId &Whose, const WorkerId &Worker,
                 const PoolPolicy &Policy, Time Now);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_HEALTH_H
