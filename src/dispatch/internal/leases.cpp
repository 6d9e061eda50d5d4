//===- leases.cpp - Leases that are out -----------------------------------===//
//
// Grants, ends and reclaims leases.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/leases.h"

#include "dispatch/internal/workers.h"

#include <vector>

namespace geraniumbay::dispatch {
namespace {

/// A lease older than this runs at its worker if it is used at all.
constexpr Duration SurelyStarted = std::chrono::milliseconds(500);

/// Bits of a lease's id that count leases; the rest tell the owner's starts
/// apart.
constexpr unsigned CounterBits = 40;

LeaseId nextLeaseId(PoolState &Pool) {
  ++Pool.LastLease;
  return lastLease(Pool);
}

/// The worker whose slot the lease holds, or null.
Worker *workerOf(PoolState &Pool, const LeaseState &State) {
  auto Found = Pool.Workers.find(State.On);
  if (Found == Pool.Workers.end() ||
      Found->second.Generation != State.Generation)
    return nullptr;
  return &Found->second;
}

LeaseState leaseState(const Worker &Target, const Waiting &Request, Time Now) {
  LeaseState State;
  State.Holder = Request.From;
  State.Request = Request.Request.Id;
  State.On = Target.Last.Worker;
  State.Generation = Target.Generation;
  State.Service = Request.Request.Service;
  State.Caller = Request.Request.Caller;
  State.Team = Request.Request.Team;
  State.Declared = Request.Request.DeclaredRun;
  State.Expected = Request.TaskRun;
  State.GrantedAt = Now;
  State.Probe = Target.Health.Ejected;
  return State;
}

void releaseQuota(PoolState &Pool, const LeaseState &State) {
  auto Service = Pool.Services.find(State.Service);
  if (Service == Pool.Services.end())
    return;
  auto Team = Service->second.TeamLeases.find(State.Team);
  if (Team == Service->second.TeamLeases.end())
    return;
  if (--Team->second == 0)
    Service->second.TeamLeases.erase(Team);
  updateQuota(Pool, Service->second, State.Team);
}

/// Leases of living entries that the worker certainly counts as busy.
std::uint32_t startedByOthers(const PoolState &Pool, const Worker &Target,
                              Time Now) {
  std::uint32_t Started = 0;
  for (LeaseId Id : Target.Leases) {
    const LeaseState &State = Pool.Leases.at(Id);
    if (!State.Orphan && Now - State.GrantedAt >= SurelyStarted)
      ++Started;
  }
  return Started;
}

} // namespace

LeaseId lastLease(const PoolState &Pool) {
  std::uint64_t Start = Pool.Owner.Start.value() << CounterBits;
  return LeaseId(Start + Pool.LastLease);
}

TeamPolicy teamPolicy(const PoolState &Pool, const TeamId &Team) {
  auto Found = Pool.Policy.Teams.find(Team);
  return Found == Pool.Policy.Teams.end() ? TeamPolicy{} : Found->second;
}

void updateQuota(PoolState &Pool, ServiceState &Service, const TeamId &Team) {
  std::uint32_t Most = teamPolicy(Pool, Team).MaxLeases;
  auto Found = Service.TeamLeases.find(Team);
  std::uint32_t Held = Found == Service.TeamLeases.end() ? 0 : Found->second;
  bool AtQuota = Most > 0 && Held >= Most;
  for (FairQueue &Queue : Service.Queues)
    setParked(Queue, Team, AtQuota);
}

Lease makeLease(PoolState &Pool, Worker &Target, const Waiting &Request,
                Time Now) {
  LeaseId Id = nextLeaseId(Pool);
  Pool.Leases.emplace(Id, leaseState(Target, Request, Now));
  Pool.Entries[Request.From.Entry].Leases.insert(Id);
  Target.Leases.insert(Id);
  Target.LastPick = ++Pool.LastPick;
  ++Target.Service->TeamLeases[Request.Request.Team];
  updateQuota(Pool, *Target.Service, Request.Request.Team);
  placeWorker(Target);
  return {Id, Request.Request.Id, Pool.Owner.Entry, Target.Last.Worker,
          Target.Last.Address};
}

void endLease(PoolState &Pool, LeaseId Id) {
  auto Found = Pool.Leases.find(Id);
  if (Found == Pool.Leases.end())
    return;
  LeaseState State = std::move(Found->second);
  Pool.Leases.erase(Found);
  Pool.OrphanExpiry.erase({State.ExpireAt, Id});
  auto Holder = Pool.Entries.find(State.Holder.Entry);
  if (Holder != Pool.Entries.end())
    Holder->second.Leases.erase(Id);
  releaseQuota(Pool, State);
  if (Worker *Target = workerOf(Pool, State)) {
    Target->Leases.erase(Id);
    Target->Orphans.erase(Id);
    placeWorker(*Target);
  }
}

void makeOrphan(PoolState &Pool, LeaseId Id) {
  LeaseState &State = Pool.Leases.at(Id);
  if (State.Orphan)
    return;
  State.Orphan = true;
  State.ExpireAt = State.GrantedAt + Pool.Policy.OrphanTimeout;
  Pool.OrphanExpiry.emplace(State.ExpireAt, Id);
  if (Worker *Target = workerOf(Pool, State))
    Target->Orphans.insert(Id);
}

void reclaimOrphans(PoolState &Pool, Worker &Target, Time Now) {
  if (Target.Orphans.empty())
    return;
  std::uint32_t Others = startedByOthers(Pool, Target, Now);
  std::uint32_t Busy = Target.Last.Busy;
  std::size_t Running = Busy > Others ? Busy - Others : 0;
  while (Target.Orphans.size() > Running)
    endLease(Pool, *Target.Orphans.begin());
}

void expireOrphans(PoolState &Pool, Time Now) {
  while (!Pool.OrphanExpiry.empty() && Pool.OrphanExpiry.begin()->first <= Now)
    endLease(Pool, Pool.OrphanExpiry.begin()->second);
}

} // namespace geraniumbay::dispatch
