//===- ipoolclient.h - Getting slots, from the entry's side -----*- C++ -*-===//
//
// What the coordinator of a submission uses to get workers' slots. Which pools
// are asked, and how a job is split among them, is decided behind it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_IPOOLCLIENT_H
#define GERANIUMBAY_DISPATCH_IPOOLCLIENT_H

#include "dispatch/types.h"

#include <functional>

namespace geraniumbay::dispatch {

/// Gets leases for requests. Callbacks run on the loop, never before the call
/// that caused them returns.
class IPoolClient {
public:
  /// Called once for each task that gets a slot.
  using LeaseCallback = std::function<void(const Lease &)>;
  /// Called at most once; no lease follows it.
  using RejectCallback = std::function<void(const Rejection &)>;

  virtual ~IPoolClient() = default;

  /// Asks for Request.Tasks slots. Ends with that many leases, with one
  /// rejection, or with cancel(). The first lease of a job is handed out only
  /// when all pools that share the job have accepted their parts.
  virtual void acquire(PoolRequest Request, LeaseCallback OnLease,
                       RejectCallback OnReject) = 0;

  /// Gives up the tasks of \p Request that have no lease yet. No callback
  /// follows. Leases that were handed out still have to be released.
  virtual void cancel(const RequestId &Request) = 0;

  /// Gives a lease back: \p Outcome of its task and the time \p Ran that it
  /// took at the worker. Releasing twice is ignored.
  virtual void release(const Lease &Held, LeaseOutcome Outcome,
                       Duration Ran) = 0;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_IPOOLCLIENT_H
