//===- pools.h - Division of the workers into pools -------------*- C++ -*-===//
//
// A pool is a set of workers that one entry schedules. A small deployment has
// one pool of all workers, so that no slot idles while a task waits. One entry
// cannot schedule hundreds of workers (195 us of processor time a task: 0.39
// cores at 350 workers and 3,300 starts a second), so a large deployment has
// pools of some racks of one data centre: a data centre that is cut off keeps
// the owners of its pools, and a task finds the rack that holds its data within
// one pool.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLS_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLS_H

#include "framework/net/endpoint.h"
#include "jobs/workerdirectory.h"
#include "scheduling/arrivals.h"
#include "scheduling/ownership.h"
#include "scheduling/steadyload.h"

namespace geraniumbay::jobs {

using PoolName = StrongId<struct PoolNameTag, std::string>;

/// Above this number the workers are divided by racks, permanently: an entry
/// with an eighth of a core serves about 100 workers.
constexpr std::size_t MaxWorkersOfOnePool = 100;

/// The pool of all workers.
const PoolName &poolOfAll();

/// The pool of a rack where the workers are divided.
PoolName poolOfRack(const RackGroups &Groups, const DataCentreId &DataCentre,
                    const std::string &Rack);
PoolName poolOf(PoolPlan Plan, const RackGroups &Groups,
                const WorkerInfo &Worker);

/// An entry and where it is.
struct EntryPlace {
  Endpoint At;
  DataCentreId DataCentre;

  auto operator<=>(const EntryPlace &) const = default; // NOLINT
  bool operator==(const EntryPlace &) const = default;
};

/// An entry as control lists it.
struct ListedEntry {
  EntryPlace Place;
  /// Unknown in lists of entries that are all alike.
  scheduling::VmCapacity Capacity;

  bool operator==(const ListedEntry &) const = default;
};

/// The same in all processes of one build.
std::uint64_t digestOf(const ListedEntry &Entry);

/// The addresses by data centre, each followed by a space: for hundreds of
/// entries one string is written in a tenth of the time of a JSON array.
Json::Value write(const std::vector<ListedEntry> &Entries);
/// The addresses of the entries whose capacity is known by capacity, which is
/// written as the two numbers of VmCapacity; null if there are none.
Json::Value writeCapacities(const std::vector<ListedEntry> &Entries);
/// Skips malformed addresses, and capacities of entries that \p Entries does
/// not contain.
std::vector<ListedEntry> readEntries(const Json::Value &Entries,
                                     const Json::Value &Capacities);

/// The entries that may own a pool: those of its data centre, or all if it has
/// none or there is a single pool. Sorted by address.
std::vector<Endpoint> candidatesFor(PoolPlan Plan,
                                    const DataCentreId &DataCentre,
                                    const std::vector<EntryPlace> &Entries);

/// The order in which candidates take over the \p Number-th pool of a data
/// centre: each pool begins with a different candidate, and those in \p Busy,
/// which own other pools, come last.
std::vector<Endpoint> ranksFor(std::size_t Number,
                               std::vector<Endpoint> Candidates,
                               const std::set<Endpoint> &Busy);

/// The same for all pools of a data centre, given by name with their owners
/// that are alive, where the candidates differ: each pool begins with the
/// candidate that carries it best (see scheduling/ownership.h).
std::map<PoolName, std::vector<Endpoint>>
ranksByCapacity(const std::map<PoolName, std::optional<Endpoint>> &Owners,
                const std::vector<Endpoint> &Candidates,
                const std::map<Endpoint, scheduling::VmCapacity> &Capacities);

/// The capacity and load of a pool as its owner reports it, from which entries
/// choose a pool.
struct PoolLoad {
  /// Of the workers that respond, in thousandths of a core.
  std::uint64_t Capacity = 0;
  std::uint64_t Used = 0;
  /// How long the queued tasks would keep the whole pool busy, by priority: 0,
  /// 1, and 2 or more.
  std::array<Duration, scheduling::PriorityClasses> Backlog{};

  bool operator==(const PoolLoad &) const = default;
};

/// An estimate of how long a job of \p Priority waits until the last of its
/// first tasks starts. These need \p Cores together, in thousandths of a core.
Duration expectedWait(const PoolLoad &Load, std::uint32_t Priority,
                      std::uint64_t Cores);

/// A pool's load, smoothed for the reports to all entries.
struct SmoothedPoolLoad {
  scheduling::SmoothedValue Use;
  std::array<scheduling::SmoothedValue, scheduling::PriorityClasses> Backlog;
};

/// Adds the current load and returns the one to report, which changes only in
/// steps that matter for the choice between pools.
PoolLoad smoothLoad(SmoothedPoolLoad &State, const PoolLoad &Load, Time Now);

Json::Value write(const PoolLoad &Value);
/// Missing fields are zero.
PoolLoad readPoolLoad(const Json::Value &From);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLS_H
