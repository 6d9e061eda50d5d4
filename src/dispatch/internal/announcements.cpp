//===- announcements.cpp - Workers come, report, restart and go -----------===//
//
// The events of pool.h about workers.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/leases.h"
#include "dispatch/internal/workers.h"
#include "dispatch/pool.h"

#include <algorithm>

namespace geraniumbay::dispatch {
namespace {

/// How long the removal of a worker is remembered; announcements that are
/// older than this are no longer under way.
constexpr Duration RemovalMemory = std::chrono::minutes(10);

bool isRemoved(const PoolState &Pool, const WorkerAnnouncement &Announcement) {
  auto Found = Pool.Removed.find(Announcement.Worker);
  return Found != Pool.Removed.end() &&
         Announcement.Start <= Found->second.Last;
}

void forgetOldRemovals(PoolState &Pool, Time Now) {
  std::erase_if(Pool.Removed, [&](const auto &Item) {
    return Now - Item.second.RemovedAt > RemovalMemory;
  });
}

/// Takes the worker out of all state. Its leases stay known by their ids.
void forgetWorker(PoolState &Pool, Worker &Target) {
  unplaceWorker(Target);
  Pool.ByHeard.erase({Target.HeardAt, Target.Last.Worker});
  std::set<LeaseId> Orphans = std::move(Target.Orphans);
  WorkerId Id = Target.Last.Worker;
  Pool.Workers.erase(Id);
  for (LeaseId Orphan : Orphans)
    endLease(Pool, Orphan);
}

Worker &addWorker(PoolState &Pool, const WorkerAnnouncement &Announcement) {
  Worker &Target = Pool.Workers[Announcement.Worker];
  Target.Last = Announcement;
  Target.Service = &serviceOf(Pool, Announcement.Service);
  Target.Generation = ++Pool.LastGeneration;
  Target.LastPick = ++Pool.LastPick;
  Target.Health = freshHealth(Pool.Policy);
  return Target;
}

/// Busy slots that no lease explains. A lease that has just ended may still
/// count as busy, so that one announcement alone is not believed unless it is
/// the worker's first.
void updateForeign(Worker &Target, bool First) {
  std::uint32_t Leased = leasedSlots(Target);
  std::uint32_t Busy = Target.Last.Busy;
  std::uint32_t Excess = Busy > Leased ? Busy - Leased : 0;
  Target.Foreign = First ? Excess : std::min(Excess, Target.LastExcess);
  Target.LastExcess = Excess;
}

/// Counts the leases that run far longer than expected: a slow worker is known
/// before its first slow task ends.
void updateOverdue(const PoolState &Pool, Worker &Target, Time Now) {
  constexpr int FarOver = 3;
  Target.Overdue = 0;
  if (!Pool.Policy.SlowLast)
    return;
  for (LeaseId Id : Target.Leases) {
    const LeaseState &State = Pool.Leases.at(Id);
    Target.Overdue += Now - State.GrantedAt > State.Expected * FarOver ? 1 : 0;
  }
}

} // namespace

bool announce(PoolState &Pool, const WorkerAnnouncement &Announcement,
              Time Now) {
  if (isRemoved(Pool, Announcement))
    return false;
  auto Found = Pool.Workers.find(Announcement.Worker);
  bool First = Found == Pool.Workers.end();
  if (!First) {
    const WorkerAnnouncement &Known = Found->second.Last;
    if (Announcement.Start < Known.Start)
      return false;
    if (Announcement.Start > Known.Start ||
        Announcement.Service != Known.Service) {
      forgetWorker(Pool, Found->second);
      First = true;
    }
  }
  Worker &Target = First ? addWorker(Pool, Announcement) : Found->second;
  Pool.ByHeard.erase({Target.HeardAt, Announcement.Worker});
  bool StaysLeaving = !First && Target.Last.Leaving;
  Target.Last = Announcement;
  Target.Last.Leaving = Announcement.Leaving || StaysLeaving;
  Target.HeardAt = Now;
  Target.Silent = false;
  Pool.ByHeard.emplace(Now, Announcement.Worker);
  reclaimOrphans(Pool, Target, Now);
  updateForeign(Target, First);
  updateOverdue(Pool, Target, Now);
  placeWorker(Target);
  return true;
}

void removeWorker(PoolState &Pool, const WorkerId &Worker, Incarnation Last,
                  Time Now) {
  forgetOldRemovals(Pool, Now);
  RemovedWorker &Removal = Pool.Removed[Worker];
  Removal.Last = std::max(Removal.Last, Last);
  Removal.RemovedAt = Now;
  auto Found = Pool.Workers.find(Worker);
  if (Found != Pool.Workers.end() && Found->second.Last.Start <= Last)
    forgetWorker(Pool, Found->second);
}

void suspendWorker(PoolState &Pool, const WorkerId &Worker) {
  auto Found = Pool.Workers.find(Worker);
  if (Found == Pool.Workers.end())
    return;
  Pool.ByHeard.erase({Found->second.HeardAt, Worker});
  Found->second.Silent = true;
  placeWorker(Found->second);
}

void disownWorker(PoolState &Pool, const WorkerId &Worker) {
  auto Found = Pool.Workers.find(Worker);
  if (Found != Pool.Workers.end())
    forgetWorker(Pool, Found->second);
}

} // namespace geraniumbay::dispatch
