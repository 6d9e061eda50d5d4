//===- workers.h - Slots of the pool's workers ------------------*- C++ -*-===//
//
// Counts each worker's slots exactly and keeps the workers of a service in the
// order in which they are picked.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_WORKERS_H
#define GERANIUMBAY_DISPATCH_INTERNAL_WORKERS_H

#include "dispatch/internal/poolstate.h"

namespace geraniumbay::dispatch {

/// Slots that leases of this pool hold.
std::uint32_t leasedSlots(const Worker &Target);

/// True if the worker announces itself and stays.
bool isPresent(const Worker &Target);

/// Puts \p Target where it belongs after any change of its state.
void placeWorker(Worker &Target);

/// Takes \p Target out of its service, before it is erased.
void unplaceWorker(Worker &Target);

/// The free worker to pick next, not \p Avoid if there is another; or null.
Worker *pickWorker(const ServiceState &Service, const WorkerId &Avoid);

/// The ejected worker whose probe is due at \p Now, or null.
Worker *pickProbe(const ServiceState &Service, Time Now);

/// When the next probe can start with the requests that wait now: a while
/// later if none of them is repeatable. There must be a worker to probe.
Time probeTime(const PoolState &Pool, const ServiceState &Service);

/// Marks the workers silent that were not heard of for SilentAfter.
void expireSilent(PoolState &Pool, Time Now);

/// The state of \p Id, made if it is new.
ServiceState &serviceOf(PoolState &Pool, const ServiceId &Id);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_WORKERS_H
