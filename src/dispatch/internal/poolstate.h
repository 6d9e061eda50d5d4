//===- poolstate.h - The state of a pool ------------------------*- C++ -*-===//
//
// The plain structs behind pool.h. They refer to each other by pointers into
// node-based maps, which stay valid until the node is erased.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_POOLSTATE_H
#define GERANIUMBAY_DISPATCH_INTERNAL_POOLSTATE_H

#include "dispatch/internal/fairqueue.h"
#include "dispatch/internal/health.h"
#include "dispatch/pool.h"
#include "dispatch/runtimes.h"

#include <array>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace geraniumbay::dispatch {

struct Worker;
struct ServiceState;

/// Order in which workers with free slots are picked: slow ones last, then the
/// least busy one, then the one picked longest ago. The last part is unique.
struct FreeKey {
  std::int32_t Slowness = 0;
  std::uint32_t Busy = 0;
  std::uint64_t LastPick = 0;

  auto operator<=>(const FreeKey &) const = default; // NOLINT
  bool operator==(const FreeKey &) const = default;
};

/// One worker of the pool.
struct Worker {
  WorkerAnnouncement Last;
  ServiceState *Service = nullptr;
  /// Unique number of this record; a worker that restarts or comes back gets a
  /// new one, and leases of the old one no longer hold a slot.
  std::uint64_t Generation = 0;
  Time HeardAt{};
  /// Leases that hold a slot, those of dead entries too. Invariant: at most
  /// as many as the worker had slots when they were granted.
  std::set<LeaseId> Leases;
  /// Busy slots without a lease of this pool, as last announced.
  std::uint32_t Foreign = 0;
  /// Excess of busy slots over leases in the last announcement.
  std::uint32_t LastExcess = 0;
  /// Leases of dead entries. Invariant: a part of Leases.
  std::set<LeaseId> Orphans;
  WorkerHealth Health;
  /// Mean of ln(ran / expected) of its tasks.
  double LogSlowness = 0;
  /// Leases that were far over their expected run time at the last
  /// announcement.
  std::uint32_t Overdue = 0;
  /// No announcement for SilentAfter.
  bool Silent = false;
  /// Number of the pick that chose it last; unique in the pool.
  std::uint64_t LastPick = 0;
  /// Its keys in the service's Free and Probes, if it stands there.
  std::optional<FreeKey> InFree;
  std::optional<std::pair<Time, std::uint64_t>> InProbes;
  /// What it adds to the service's Capacity, FreeSlots and Present.
  std::uint32_t CountedSlots = 0;
  std::uint32_t CountedFree = 0;
  bool CountedPresent = false;
};

/// One lease that is out.
struct LeaseState {
  EntryRef Holder;
  RequestId Request;
  WorkerId On;
  /// Worker::Generation at the time of the grant.
  std::uint64_t Generation = 0;
  ServiceId Service;
  CallerId Caller;
  TeamId Team;
  Duration Declared{0};
  Duration Expected{0};
  Time GrantedAt{};
  /// Its entry is dead or has forgotten it.
  bool Orphan = false;
  /// When it ends whatever the worker reports; only if Orphan.
  Time ExpireAt{};
  /// The worker was left out; this task probes it.
  bool Probe = false;
};

/// The queue and workers of one service.
struct ServiceState {
  ServiceId Id;
  /// Invariant: exactly the workers that may take one more lease.
  std::map<FreeKey, Worker *> Free;
  /// Invariant: exactly the ejected, present workers without a lease.
  std::map<std::pair<Time, std::uint64_t>, Worker *> Probes;
  /// Slots of the present workers that are not ejected, and those of them
  /// that may be leased now.
  std::uint32_t Capacity = 0;
  std::uint32_t FreeSlots = 0;
  /// Workers that are neither silent, leaving nor removed.
  std::uint32_t Present = 0;
  /// One queue for each WorkClass.
  std::array<FairQueue, 2> Queues;
  /// Run time that routine work is owed because urgent work went first, in
  /// microseconds.
  double RoutineCredit = 0;
  /// Run time of the tasks that were told to come back, and since when it
  /// drains; spreads the returns.
  Time PromisedUntil{};
  /// Waiting repeatable singles by order of arrival, for probes.
  std::map<std::uint64_t, Waiting *> Repeatable;
  std::unordered_map<TeamId, std::uint32_t> TeamLeases;
  std::unordered_map<CallerId, CallerFailures> Failures;
  /// Mean of ln(ran / expected) over all workers.
  double LogSlowness = 0;
  /// Mean run time of a task in seconds; 0 if none was seen.
  double MeanRun = 0;
};

/// A worker that was removed.
struct RemovedWorker {
  Incarnation Last;
  Time RemovedAt{};
};

/// What one entry has in this pool.
struct EntryState {
  Incarnation Start;
  std::unordered_set<RequestId> Requests;
  std::unordered_set<LeaseId> Leases;
};

struct PoolState {
  EntryRef Owner;
  PoolPolicy Policy;
  bool Draining = false;
  std::unordered_map<WorkerId, Worker> Workers;
  /// Workers removed lately; their older announcements are refused.
  std::unordered_map<WorkerId, RemovedWorker> Removed;
  std::unordered_map<ServiceId, ServiceState> Services;
  std::unordered_map<RequestId, Waiting> Requests;
  std::unordered_map<LeaseId, LeaseState> Leases;
  std::unordered_map<VmId, EntryState> Entries;
  RunTimes Times;
  /// Present workers by the time of the last announcement.
  std::set<std::pair<Time, WorkerId>> ByHeard;
  /// Queued requests with a deadline by their latest useful start.
  std::set<std::pair<Time, std::uint64_t>> ByLatestStart;
  std::unordered_map<std::uint64_t, Waiting *> BySequence;
  /// Orphans by the time they are dropped.
  std::set<std::pair<Time, LeaseId>> OrphanExpiry;
  std::uint64_t LastSequence = 0;
  std::uint64_t LastPick = 0;
  std::uint64_t LastGeneration = 0;
  std::uint64_t LastLease = 0;
  std::uint64_t Turn = 0;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_POOLSTATE_H
