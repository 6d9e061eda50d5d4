//===- inventory.h - What the operators' register lists ---------*- C++ -*-===//
//
// The inventory: data centres, VMs of the system, racks, services, teams and
// callers. Plain structs, read from an INI document by parseDocument().
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INVENTORY_H
#define GERANIUMBAY_INVENTORY_INVENTORY_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "framework/types/strongid.h"
#include "inventory/role.h"
#include "inventory/units.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumbay::inventory {

/// The configured name of a rack.
using RackId = StrongId<struct RackTag, std::string>;

/// A data centre. Partitions separate data centres, not parts of one.
struct DataCentre {
  DataCentreId Name;
  /// Data centres of one region are close to each other; may be empty.
  std::string Region;
  /// A closed data centre takes no new claims. Only one that was closed for
  /// the whole retention time may lose its ledgers.
  bool Closed = false;

  bool operator==(const DataCentre &) const = default;
};

/// A VM that runs a process of the system.
struct Vm {
  VmId Name;
  /// Names a data centre of the inventory.
  DataCentreId DataCentre;
  /// Never empty.
  std::set<Role> Roles;
  /// Where other processes of the system reach it; unique.
  Endpoint Peer;
  /// Where callers and upstreams reach it; set for every entry.
  std::optional<Endpoint> Caller;
  /// Where operators reach it.
  std::optional<Endpoint> Admin;
  /// Whether it has a disk; always true for ledger and control.
  bool Disk = false;

  bool operator==(const Vm &) const = default;
};

/// A rack of workers: they share a switch and fail together.
struct Rack {
  RackId Name;
  /// Names a data centre of the inventory.
  DataCentreId DataCentre;

  bool operator==(const Rack &) const = default;
};

/// Processors and memory of a worker, or needed by a task.
struct Resources {
  CoreCount Cores;
  ByteCount Memory;

  bool operator==(const Resources &) const = default;
};

/// A service that upstreams offer.
struct Service {
  ServiceId Name;
  /// The most tasks that run at once on one worker, whatever it announces.
  std::optional<SlotCount> MaxTasksPerWorker;
  /// The largest payload of one task.
  ByteCount MaxPayload;
  /// What one worker has.
  Resources Worker;
  /// The largest task that fits a worker; never above Worker.
  Resources LargestTask;
  /// What is expected before anything was learned. If both are set, the
  /// median is not above the 99th percentile.
  std::optional<Duration> ExpectedMedian;
  std::optional<Duration> ExpectedP99;

  bool operator==(const Service &) const = default;
};

/// A team, the unit of quotas.
struct Team {
  TeamId Name;
  /// Its share under load, relative to other teams; at least 1.
  std::uint32_t Weight = 1;
  /// The most slots it holds at once in one data centre; no limit if unset.
  std::optional<SlotCount> QuotaSlots;

  bool operator==(const Team &) const = default;
};

/// How much a caller's work matters.
enum class CallerClass {
  Urgent,  ///< Served ahead of routine work.
  Routine, ///< Served when no urgent work waits, or by its reserved share.
};

/// A caller of the system.
struct Caller {
  CallerId Name;
  /// Where submissions with the caller's own keys are claimed. Never changes
  /// while a claim may be held there.
  DataCentreId Home;
  /// Names a team of the inventory.
  TeamId Team;
  CallerClass Class = CallerClass::Routine;
  /// A closed caller is refused. Only one that was closed for the whole
  /// retention time may move home or be removed.
  bool Closed = false;

  bool operator==(const Caller &) const = default;
};

/// All that the register lists. Invariant: each value stands under its own
/// name, and every name that a value refers to is listed.
struct Inventory {
  std::map<DataCentreId, DataCentre> DataCentres;
  std::map<VmId, Vm> Vms;
  std::map<RackId, Rack> Racks;
  std::map<ServiceId, Service> Services;
  std::map<TeamId, Team> Teams;
  std::map<CallerId, Caller> Callers;

  bool operator==(const Inventory &) const = default;
};

/// Returns the VMs that have \p Wanted, in order of their names.
std::vector<Vm> vmsWithRole(const Inventory &Inv, Role Wanted);

/// Returns the VMs of \p Where that have \p Wanted, in order of their names.
std::vector<Vm> vmsWithRole(const Inventory &Inv, Role Wanted,
                            const DataCentreId &Where);

/// Returns the entry of \p Map under \p Name, or null.
template <typename IdT, typename ValueT>
const ValueT *findByName(const std::map<IdT, ValueT> &Map, const IdT &Name) {
  auto Found = Map.find(Name);
  return Found == Map.end() ? nullptr : &Found->second;
}

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INVENTORY_H
