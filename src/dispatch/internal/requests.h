//===- requests.h - Requests that wait --------------------------*- C++ -*-===//
//
// Adds and removes waiting requests in all the orders that the pool keeps.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_REQUESTS_H
#define GERANIUMBAY_DISPATCH_INTERNAL_REQUESTS_H

#include "dispatch/internal/poolstate.h"

namespace geraniumbay::dispatch {

/// Queues an accepted request.
void addRequest(PoolState &Pool, ServiceState &Service, const EntryRef &From,
                const PoolRequest &Request, Duration TaskRun, Time Now);

/// Takes one task of \p Request from its queue. A request without tasks left
/// is forgotten; \p Request is then no longer valid.
void takeTask(PoolState &Pool, ServiceState &Service, Waiting &Request);

/// Drops the waiting tasks of \p Request, which is then no longer valid.
void dropRequest(PoolState &Pool, Waiting &Request);

/// Drops the requests of an entry that died and marks its leases as orphans.
void dropEntry(PoolState &Pool, EntryState &State);

/// Takes note of the incarnation of \p From and drops what older ones left.
/// Returns null if \p From itself is an older one.
EntryState *touchEntry(PoolState &Pool, const EntryRef &From);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_REQUESTS_H
