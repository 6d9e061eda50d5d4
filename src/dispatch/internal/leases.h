//===- leases.h - Leases that are out ---------------------------*- C++ -*-===//
//
// Makes and ends leases. A lease holds one slot of its worker from the grant
// until it is released, its worker restarts, or the lease of a dead entry is
// reclaimed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_LEASES_H
#define GERANIUMBAY_DISPATCH_INTERNAL_LEASES_H

#include "dispatch/internal/poolstate.h"

namespace geraniumbay::dispatch {

/// Leases a slot of \p Target to \p Request.
Lease makeLease(PoolState &Pool, Worker &Target, const Waiting &Request,
                Time Now);

/// The id of the lease that was granted last.
LeaseId lastLease(const PoolState &Pool);

/// Ends a lease and frees its slot; an unknown one is ignored.
void endLease(PoolState &Pool, LeaseId Id);

/// Marks a lease whose entry is dead or has forgotten it.
void makeOrphan(PoolState &Pool, LeaseId Id);

/// Ends orphans that the worker no longer runs, from its announced busy count.
void reclaimOrphans(PoolState &Pool, Worker &Target, Time Now);

/// Ends orphans that are older than OrphanTimeout.
void expireOrphans(PoolState &Pool, Time Now);

/// Stops or resumes serving the team according to its quota.
void updateQuota(PoolState &Pool, ServiceState &Service, const TeamId &Team);

/// The policy of \p Team; the default one if it has none.
TeamPolicy teamPolicy(const PoolState &Pool, const TeamId &Team);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_LEASES_H
