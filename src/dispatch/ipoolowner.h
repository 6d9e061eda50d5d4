//===- ipoolowner.h - Feeding the local pool --------------------*- C++ -*-===//
//
// What the rest of an entry process tells its own pool: announcements that it
// received itself, entries that died, configuration; and what it asks of it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_IPOOLOWNER_H
#define GERANIUMBAY_DISPATCH_IPOOLOWNER_H

#include "dispatch/poolpolicy.h"
#include "dispatch/types.h"
#include "framework/errors/error.h"

#include <vector>

namespace geraniumbay::dispatch {

/// The pool of workers that this process owns.
class IPoolOwner {
public:
  virtual ~IPoolOwner() = default;

  /// Takes a worker's announcement; fails with Conflict if it is of an older
  /// incarnation or the worker was removed.
  virtual Ret announce(const WorkerAnnouncement &Announcement) = 0;

  /// Removes incarnations up to \p Last of a worker; their announcements are
  /// refused from now on.
  virtual void removeWorker(const WorkerId &Worker, Incarnation Last) = 0;

  /// Grants nothing on a worker until its next announcement.
  virtual void suspendWorker(const WorkerId &Worker) = 0;

  /// Forgets a worker that another entry owns now.
  virtual void disownWorker(const WorkerId &Worker) = 0;

  /// Tells that incarnations of \p Entry up to \p Last are dead: its requests
  /// are dropped and its leases reclaimed as the workers report free slots.
  virtual void entryDied(const VmId &Entry, Incarnation Last) = 0;

  /// Puts the configured limits, shares and quotas in force.
  virtual void setPolicy(PoolPolicy Policy) = 0;

  /// Stops taking requests; queued ones are rejected as Draining.
  virtual void drain() = 0;

  /// One summary for each service, for the next heartbeat.
  virtual std::vector<PoolSummary> summaries() const = 0;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_IPOOLOWNER_H
