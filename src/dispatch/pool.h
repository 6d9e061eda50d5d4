//===- pool.h - The decision core of a pool ---------------------*- C++ -*-===//
//
// A pool is the set of workers that one entry owns. The functions here take
// the pool's state, an event and the time now; decide() returns what follows:
// leases to grant and requests to reject. There are no sockets, files or real
// clocks, so that the adapter, the model, tests and benchmarks drive the same
// code. Each event and each granted task costs O(log n) in workers, requests
// and teams.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_POOL_H
#define GERANIUMBAY_DISPATCH_POOL_H

#include "dispatch/poolpolicy.h"
#include "dispatch/types.h"

#include <memory>
#include <optional>
#include <vector>

namespace geraniumbay::dispatch {

/// The state of a pool; only the functions below look inside.
struct PoolState;

/// Lets PoolState stay an incomplete type for users.
struct PoolDeleter {
  void operator()(PoolState *Pool) const;
};
using PoolHandle = std::unique_ptr<PoolState, PoolDeleter>;

/// Leases for one request.
struct Grant {
  EntryRef To;
  RequestId Request;
  std::vector<Lease> Leases;
};

/// A queued request that gets no more leases.
struct Refusal {
  EntryRef To;
  RequestId Request;
  Rejection Why;
};

/// What follows from the events since the last decide().
struct PoolActions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// What the owner no longer knows of an entry's requests.
struct RenewResult {
  std::vector<RequestId> UnknownRequests;
};

/// Makes an empty pool of the entry \p Owner.
PoolHandle makePool(EntryRef Owner, PoolPolicy Policy);

/// Puts other limits, shares and quotas in force.
void setPolicy(PoolState &Pool, PoolPolicy Policy);

/// Takes a request into the queue, or says why not. A request that is queued
/// already is accepted again without effect.
std::optional<Rejection> acquire(PoolState &Pool, const EntryRef &From,
                                 const PoolRequest &Request, Time Now);

/// Drops the tasks of a request that have no lease yet.
void cancel(PoolState &Pool, const RequestId &Request);

/// Ends a lease; an unknown one is ignored. \p Ran is the run time at the
/// worker; it counts only for tasks that succeeded.
void release(PoolState &Pool, LeaseId Id, LeaseOutcome Outcome, Duration Ran,
             Time Now);

/// Takes a worker's announcement. Returns false, without effect, if it is of
/// an older incarnation or of one that was removed.
bool announce(PoolState &Pool, const WorkerAnnouncement &Announcement,
              Time Now);

/// Removes a worker; announcements of incarnations up to \p Last are refused
/// from now on. Its leases stay until they are released.
void removeWorker(PoolState &Pool, const WorkerId &Worker, Incarnation Last,
                  Time Now);

/// Grants nothing on a worker until its next announcement.
void suspendWorker(PoolState &Pool, const WorkerId &Worker);

/// Forgets a worker that another entry owns now.
void disownWorker(PoolState &Pool, const WorkerId &Worker);

/// Takes what \p From holds: its waiting requests and its leases. Requests and
/// leases that it has forgotten are dropped; those younger than the time a
/// message may be under way are left alone.
RenewResult renew(PoolState &Pool, const EntryRef &From,
                  const std::vector<RequestId> &Waiting,
                  const std::vector<LeaseId> &Held, Time Now);

/// Drops the requests of incarnations of \p Entry up to \p Last. Their leases
/// are kept until the workers report the slots as free.
void entryDied(PoolState &Pool, const VmId &Entry, Incarnation Last);

/// Refuses new requests and rejects the queued ones at the next decide().
void drain(PoolState &Pool);

/// Grants as many leases as slots and rules allow, and rejects what cannot be
/// served any more. To be called after events and when nextWake() is reached.
PoolActions decide(PoolState &Pool, Time Now);

/// When decide() has something to do without another event, if ever.
std::optional<Time> nextWake(const PoolState &Pool);

/// One summary for each service; the owner's address is left empty.
std::vector<PoolSummary> summaries(const PoolState &Pool);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_POOL_H
