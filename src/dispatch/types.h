//===- types.h - Typed messages of a pool -----------------------*- C++ -*-===//
//
// The plain types that entries and pools exchange: what is asked of a pool,
// the leases it grants, why it rejects, and what a worker announces.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_TYPES_H
#define GERANIUMBAY_DISPATCH_TYPES_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "framework/types/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::dispatch {

/// The id of one request for slots, unique among all entries and restarts.
using RequestId = StrongId<struct RequestTag, std::string>;
/// The id of a lease, unique within its owner and the owner's incarnation.
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;

/// Urgent work goes before routine work, which keeps a stated share.
enum class WorkClass : std::uint8_t { Urgent, Routine };

/// What may be done with the request's tasks.
enum class RequestKind : std::uint8_t {
  RepeatableSingle, ///< One task that may be retried and hedged.
  Single,           ///< One task that runs at most once.
  Job,              ///< Tasks with one answer; each runs at most once.
};

/// Why a request gets no (more) leases. None of its tasks that has no lease
/// was started.
enum class RejectReason : std::uint8_t {
  Overloaded,    ///< The queue is full; come back after RetryAfter.
  DeadlineUnmet, ///< It cannot end before its deadline.
  NeverFits,     ///< It can never be served, however long it waits.
  NoWorkers,     ///< The service has no workers here now.
  Draining,      ///< The owner is stopping; ask another one.
  Lost,          ///< The owner went away or forgot the request.
};

/// How a leased task ended.
enum class LeaseOutcome : std::uint8_t {
  Succeeded,   ///< The worker ran it and answered.
  Failed,      ///< The worker failed it, or its connection broke.
  NotStarted,  ///< Given back unused.
  Refused,     ///< The worker's guard refused it.
  Unreachable, ///< The worker could not be connected to; it did not start.
  Cancelled,   ///< Given up by the caller; says nothing of the worker.
};

/// Asks for one slot for each of some tasks.
struct PoolRequest {
  RequestId Id;
  ServiceId Service;
  CallerId Caller;
  TeamId Team;
  WorkClass Class = WorkClass::Routine;
  RequestKind Kind = RequestKind::Job;
  /// Number of tasks, above 0.
  std::uint32_t Tasks = 1;
  /// Time left until the answer is of no use; zero means no deadline.
  Duration TimeLeft{0};
  /// Run time of one task as the caller declares it; zero if not declared.
  Duration DeclaredRun{0};
  /// The caller comes back after the RetryAfter of an earlier rejection.
  bool Returning = false;
  /// A worker to avoid if another one is free: where an earlier try of the
  /// task ran. Empty if there is none.
  WorkerId Avoid;
};

/// The right to start one task at one worker, once.
struct Lease {
  LeaseId Id;
  RequestId Request;
  /// The entry that owns the worker and gets the release.
  VmId Owner;
  WorkerId Worker;
  Endpoint Address;
};

/// One start of one entry process.
struct EntryRef {
  VmId Entry;
  Incarnation Start;

  bool operator==(const EntryRef &) const = default;
};

/// Tells that a request gets no more leases.
struct Rejection {
  RejectReason Reason = RejectReason::Overloaded;
  /// When to come back; zero if coming back cannot help.
  Duration RetryAfter{0};
};

/// One worker's state as it announces it every second.
struct WorkerAnnouncement {
  WorkerId Worker;
  Incarnation Start;
  Endpoint Address;
  ServiceId Service;
  DataCentreId DataCentre;
  std::string Rack;
  std::uint32_t Slots = 0;
  /// Slots that run a task now, whoever started it.
  std::uint32_t Busy = 0;
  /// The worker is stopping: no new leases, running ones go on.
  bool Leaving = false;
};

/// What other entries know of one service of one pool; sent with heartbeats
/// and therefore somewhat old.
struct PoolSummary {
  VmId Owner;
  Endpoint Address;
  DataCentreId DataCentre;
  ServiceId Service;
  std::uint32_t Slots = 0;
  std::uint32_t Free = 0;
  std::uint32_t UrgentQueued = 0;
  std::uint32_t RoutineQueued = 0;
  /// Tasks that the pool can end in a second when all its slots are busy.
  double DrainPerSecond = 0;
};

/// Returns the stable lower-case name, as in messages and logs.
const char *workClassName(WorkClass Class);
const char *requestKindName(RequestKind Kind);
const char *rejectReasonName(RejectReason Reason);
const char *leaseOutcomeName(LeaseOutcome Outcome);

/// The inverse of the functions above; nothing for an unknown name.
std::optional<WorkClass> parseWorkClass(const std::string &Name);
std::optional<RequestKind> parseRequestKind(const std::string &Name);
std::optional<RejectReason> parseRejectReason(const std::string &Name);
std::optional<LeaseOutcome> parseLeaseOutcome(const std::string &Name);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_TYPES_H
