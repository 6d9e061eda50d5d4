//===- pools.h - How the workers are divided into pools ---------*- C++ -*-===//
//
// A pool is a set of workers that one entry schedules. A small deployment has
// one pool of all workers, so that no slot idles while a task waits. One entry
// cannot schedule hundreds of workers (0.39 cores at 350 workers and 3,300
// starts a second, measured at 195 us a task), so a large deployment has pools
// of some racks of one data centre: one that is cut off keeps its owners, and a
// task finds the rack that holds its data in one pool.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLS_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLS_H

#include "framework/net/endpoint.h"
#include "jobs/workerdirectory.h"
#include "scheduling/arrivals.h"
#include "scheduling/steadyload.h"

namespace geraniumbay::jobs {

using PoolName = StrongId<struct PoolNameTag, std::string>;

/// Above this number of workers they are divided by racks, for good: an entry
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

/// Processes of one build agree on it.
std::uint64_t digestOf(const EntryPlace &Place);

/// The addresses by data centre, each with a space behind it: one text for
/// hundreds of entries is written in a tenth of the time of a list.
Json::Value write(const std::vector<EntryPlace> &Entries);
/// Leaves out what is malformed.
std::vector<EntryPlace> readEntries(const Json::Value &From);

/// Who may own a pool: the entries of its data centre, or all where it has
/// none or there is one pool only. Sorted by address.
std::vector<Endpoint> candidatesFor(PoolPlan Plan,
                                    const DataCentreId &DataCentre,
                                    const std::vector<EntryPlace> &Entries);

/// The order in which candidates take over the \p Number-th pool of a data
/// centre: it begins at another candidate for each pool, and those in \p Busy,
/// which own other pools, come last.
std::vector<Endpoint> ranksFor(std::size_t Number,
                               std::vector<Endpoint> Candidates,
                               const std::set<Endpoint> &Busy);

/// What an owner says about its pool's room, for entries to choose a pool.
struct PoolLoad {
  /// Of the workers that answer, in thousandths of a core.
  std::uint64_t Capacity = 0;
  std::uint64_t Used = 0;
  /// How long the tasks that wait would keep the whole pool busy, by priority:
  /// 0, 1, and 2 or more.
  std::array<Duration, scheduling::PriorityClasses> Backlog{};

  bool operator==(const PoolLoad &) const = default;
};

/// How long a job of \p Priority, whose first tasks take \p Cores together (in
/// thousandths), may wait for its last start.
Duration expectedWait(const PoolLoad &Load, std::uint32_t Priority,
                      std::uint64_t Cores);

/// A pool's load as it is told to all entries.
struct SmoothedPoolLoad {
  scheduling::SteadyValue Use;
  std::array<scheduling::SteadyValue, scheduling::PriorityClasses> Backlog;
};

/// Takes the load of now and returns the one to tell, which changes by steps
/// that matter for a choice between pools.
PoolLoad smoothLoad(SmoothedPoolLoad &State, const PoolLoad &Load, Time Now);

Json::Value write(const PoolLoad &Value);
/// Fields that are missing are zero.
PoolLoad readPoolLoad(const Json::Value &From);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLS_H
