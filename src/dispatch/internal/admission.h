//===- admission.h - Which requests are accepted ----------------*- C++ -*-===//
//
// Refuses a request before any of its tasks starts: when the queue is too long
// for it, when it cannot end before its deadline, or when it never fits. The
// wait is worked out from the expected run time of the work ahead and the
// slots that drain it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_ADMISSION_H
#define GERANIUMBAY_DISPATCH_INTERNAL_ADMISSION_H

#include "dispatch/internal/poolstate.h"

namespace geraniumbay::dispatch {

/// Expected wait of the first task of a new request of this class and team.
Duration expectedWait(const PoolState &Pool, const ServiceState &Service,
                      const TeamId &Team, WorkClass Class);

/// Says why \p Request, whose tasks are expected to run for \p TaskRun each,
/// is not accepted; nothing if it is.
std::optional<Rejection> refuse(PoolState &Pool, ServiceState &Service,
                                const PoolRequest &Request, Duration TaskRun,
                                Time Now);

/// \p Wait within the bounds of RetryAfter.
Duration clampRetry(const PoolPolicy &Policy, Duration Wait);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_ADMISSION_H
