//===- workers.cpp - Slots of the pool's workers --------------------------===//
//
// Placement and picking of workers.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/workers.h"

#include <algorithm>
#include <iterator>

namespace geraniumbay::dispatch {
namespace {

/// A probe waits for a repeatable request for so many times ProbeAfter.
constexpr int ProbePatience = 2;

/// Leases granted after the worker's last failure. It has few slots, and this
/// counts the newest ones only.
std::uint32_t leasesSinceFailure(const Worker &Target) {
  auto First = Target.Leases.upper_bound(LeaseId(Target.Health.FailedAfter));
  return static_cast<std::uint32_t>(std::distance(First, Target.Leases.end()));
}

/// Leases that the worker may take on top of those it has.
std::uint32_t freeSlots(const Worker &Target) {
  std::uint32_t Leased = leasedSlots(Target);
  std::uint32_t Taken = Leased + Target.Foreign;
  std::uint32_t Free =
      Target.Last.Slots > Taken ? Target.Last.Slots - Taken : 0;
  std::uint32_t Unproven = leasesSinceFailure(Target);
  std::uint32_t Window =
      Target.Health.Window > Unproven ? Target.Health.Window - Unproven : 0;
  return std::min(Free, Window);
}

/// True if the worker runs its tasks much slower than the others.
bool isSlow(const Worker &Target) {
  /// Twice as slow as the mean, as a logarithm.
  constexpr double MuchSlower = 0.7;
  constexpr std::uint32_t ManyOverdue = 2;
  return Target.LogSlowness - Target.Service->LogSlowness > MuchSlower ||
         Target.Overdue >= ManyOverdue;
}

FreeKey freeKey(const Worker &Target) {
  constexpr std::uint32_t BusyScale = 1024;
  FreeKey Key;
  Key.Slowness = isSlow(Target) ? 1 : 0;
  Key.Busy = leasedSlots(Target) * BusyScale / std::max(Target.Last.Slots, 1U);
  Key.LastPick = Target.LastPick;
  return Key;
}

void leaveOrders(Worker &Target) {
  ServiceState &Service = *Target.Service;
  if (Target.InFree)
    Service.Free.erase(*Target.InFree);
  if (Target.InProbes)
    Service.Probes.erase(*Target.InProbes);
  Target.InFree.reset();
  Target.InProbes.reset();
}

void count(Worker &Target, bool Present) {
  bool Usable = Present && !Target.Health.Ejected;
  ServiceState &Service = *Target.Service;
  std::uint32_t Slots = Usable ? Target.Last.Slots : 0;
  std::uint32_t Free = Usable ? freeSlots(Target) : 0;
  Service.Capacity = Service.Capacity - Target.CountedSlots + Slots;
  Service.Present -= Target.CountedPresent ? 1 : 0;
  Service.Present += Present ? 1 : 0;
  Service.FreeSlots = Service.FreeSlots - Target.CountedFree + Free;
  Target.CountedFree = Free;
  Target.CountedSlots = Slots;
  Target.CountedPresent = Present;
}

} // namespace

std::uint32_t leasedSlots(const Worker &Target) {
  return static_cast<std::uint32_t>(Target.Leases.size());
}

bool isPresent(const Worker &Target) {
  return !Target.Silent && !Target.Last.Leaving;
}

ServiceState &serviceOf(PoolState &Pool, const ServiceId &Id) {
  ServiceState &Service = Pool.Services[Id];
  Service.Id = Id;
  return Service;
}

void unplaceWorker(Worker &Target) {
  leaveOrders(Target);
  count(Target, false);
}

void placeWorker(Worker &Target) {
  leaveOrders(Target);
  count(Target, isPresent(Target));
  if (!isPresent(Target))
    return;
  ServiceState &Service = *Target.Service;
  if (Target.Health.Ejected) {
    if (!Target.Leases.empty())
      return;
    Target.InProbes = {Target.Health.ProbeAt, Target.LastPick};
    Service.Probes.emplace(*Target.InProbes, &Target);
    return;
  }
  if (Target.CountedFree == 0)
    return;
  Target.InFree = freeKey(Target);
  Service.Free.emplace(*Target.InFree, &Target);
}

Worker *pickWorker(const ServiceState &Service, const WorkerId &Avoid) {
  if (Service.Free.empty())
    return nullptr;
  auto First = Service.Free.begin();
  if (First->second->Last.Worker == Avoid && Service.Free.size() > 1)
    ++First;
  return First->second;
}

Worker *pickProbe(const ServiceState &Service, Time Now) {
  if (Service.Probes.empty() || Service.Probes.begin()->first.first > Now)
    return nullptr;
  return Service.Probes.begin()->second;
}

Time probeTime(const PoolState &Pool, const ServiceState &Service) {
  Time Due = Service.Probes.begin()->first.first;
  if (!Service.Repeatable.empty())
    return Due;
  return Due + Pool.Policy.ProbeAfter * ProbePatience;
}

void expireSilent(PoolState &Pool, Time Now) {
  while (!Pool.ByHeard.empty()) {
    auto [HeardAt, Id] = *Pool.ByHeard.begin();
    if (Now - HeardAt < Pool.Policy.SilentAfter)
      return;
    Pool.ByHeard.erase(Pool.ByHeard.begin());
    Worker &Target = Pool.Workers.at(Id);
    Target.Silent = true;
    placeWorker(Target);
  }
}

} // namespace geraniumbay::dispatch
