//===- pooldirectory.cpp - Pools as the membership knows them -------------===//
//
// Translates between the two modules' summaries.
//
//===----------------------------------------------------------------------===//

#include "app/internal/pooldirectory.h"

#include <set>

namespace geraniumbay::app {

namespace {

/// Places of the classes in membership's QueuedByClass.
enum QueueIndex : std::size_t { UrgentQueue, RoutineQueue, QueueCount };

std::uint32_t queued(const membership::PoolSummary &Summary, QueueIndex Index) {
  return Index < Summary.QueuedByClass.size() ? Summary.QueuedByClass[Index]
                                              : 0;
}

dispatch::PoolSummary fromHeartbeat(const membership::Peer &Owner,
                                    const membership::PoolSummary &Summary) {
  dispatch::PoolSummary Pool;
  Pool.Owner = Owner.Vm;
  Pool.Address = Owner.Address;
  Pool.DataCentre = Owner.DataCentre;
  Pool.Service = Summary.Service;
  Pool.Slots = Summary.FreeSlots + Summary.Running;
  Pool.Free = Summary.FreeSlots;
  Pool.UrgentQueued = queued(Summary, UrgentQueue);
  Pool.RoutineQueued = queued(Summary, RoutineQueue);
  Pool.DrainPerSecond = Summary.DrainPerSecond;
  return Pool;
}

} // namespace

std::vector<dispatch::PoolSummary>
PoolDirectory::pools(const ServiceId &Service) const {
  std::vector<dispatch::PoolSummary> Pools;
  std::set<DataCentreId> DataCentres;
  for (const membership::EntryInfo &Entry : Members_.aliveEntries())
    DataCentres.insert(Entry.Configured.DataCentre);
  for (const DataCentreId &DataCentre : DataCentres) {
    for (const membership::PoolReport &Report :
         Members_.summaries(DataCentre, Service)) {
      for (const membership::Peer &Owner : Members_.ownersOf(DataCentre))
        if (Owner.Vm == Report.Owner)
          Pools.push_back(fromHeartbeat(Owner, Report.Summary));
    }
  }
  return Pools;
}

std::optional<Endpoint> PoolDirectory::peerAddress(const VmId &Entry) const {
  for (const membership::EntryInfo &Info : Members_.entries())
    if (Info.Configured.Vm == Entry)
      return Info.Configured.Address;
  return std::nullopt;
}

membership::PoolSummary toHeartbeat(const dispatch::PoolSummary &Summary) {
  membership::PoolSummary Carried;
  Carried.Service = Summary.Service;
  Carried.FreeSlots = Summary.Free;
  Carried.Running = Summary.Slots - Summary.Free;
  Carried.DrainPerSecond = static_cast<std::uint32_t>(Summary.DrainPerSecond);
  Carried.QueuedByClass.resize(QueueCount);
  Carried.QueuedByClass[UrgentQueue] = Summary.UrgentQueued;
  Carried.QueuedByClass[RoutineQueue] = Summary.RoutineQueued;
  return Carried;
}

} // namespace geraniumbay::app
