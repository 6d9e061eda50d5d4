//===- poolpolicy.h - Limits, shares and quotas of a pool -------*- C++ -*-===//
//
// The settings of the decision core. Defaults suit both deployments; weights
// and quotas of teams come from the configuration.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_POOLPOLICY_H
#define GERANIUMBAY_DISPATCH_POOLPOLICY_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <cstdint>
#include <unordered_map>

namespace geraniumbay::dispatch {

/// What one team may use of a pool.
struct TeamPolicy {
  /// Share of the slots relative to other teams that wait; above 0.
  double Weight = 1;
  /// Most leases that the team holds at once; 0 is no limit.
  std::uint32_t MaxLeases = 0;
};

/// Settings of the decision core.
struct PoolPolicy {
  /// Part of the granted work that routine requests get while both classes
  /// wait, in [0, 1).
  double RoutineShare = 0.1;
  /// Within a team, a request goes as if it had arrived later by this many
  /// times the run time of all its tasks; 0 is the order of arrival.
  double SizeRank = 0.6;
  /// Only the tasks that have no lease yet count for SizeRank, so that a job
  /// that was begun is also finished.
  bool RankByRemaining = true;
  /// Longest expected wait in the queue that a new request is accepted with.
  /// Urgent work is never refused where routine work would be taken.
  Duration MaxUrgentWait = std::chrono::seconds(2);
  Duration MaxRoutineWait = std::chrono::seconds(2);
  /// Part of the longest wait up to which new requests are accepted, in (0, 1];
  /// the rest is kept for those who come back when they were told to.
  double NewcomersPart = 0.3;
  /// Most tasks that wait in the queue of one service.
  std::uint32_t MaxQueuedTasks = 20000;
  /// Bounds of RetryAfter.
  Duration MinRetryAfter = std::chrono::milliseconds(100);
  Duration MaxRetryAfter = std::chrono::seconds(30);
  /// A worker without an announcement for so long gets no new leases.
  Duration SilentAfter = std::chrono::seconds(3);
  /// Consecutive failures after which a worker is left out.
  std::uint32_t EjectAfterFailures = 4;
  /// After a failure, only leases granted later count as proof that the worker
  /// is well again; results of earlier ones come from before its fault.
  bool ProofAfterFailure = true;
  /// Workers that run tasks much slower than the others are picked last.
  bool SlowLast = true;
  /// Time until the first probe of a worker that was left out; doubles with
  /// each failed probe up to the maximum.
  Duration ProbeAfter = std::chrono::seconds(1);
  Duration MaxProbeAfter = std::chrono::seconds(30);
  /// Leases that a worker without any success yet may have at once.
  std::uint32_t FirstLeases = 2;
  /// A lease of a dead entry is dropped after so long whatever the worker
  /// reports.
  Duration OrphanTimeout = std::chrono::seconds(30);
  /// Expected run time of a task of which nothing is known.
  Duration UnknownRun = std::chrono::milliseconds(300);
  std::unordered_map<TeamId, TeamPolicy> Teams;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_POOLPOLICY_H
