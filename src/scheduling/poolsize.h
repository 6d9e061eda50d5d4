//===- poolsize.h - Grouping of racks into pools ----------------*- C++ -*-===//
//
// One entry cannot schedule thousands of starts a second on hundreds of
// workers. Pools that are too small, on the other hand, waste processor time on
// choosing between them and capacity on tasks that fit into none. Operators
// size racks for other reasons, so racks are grouped until a pool has about as
// many workers as one entry can serve.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_POOLSIZE_H
#define GERANIUMBAY_SCHEDULING_POOLSIZE_H

#include "scheduling/ownership.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace geraniumbay::scheduling {

/// The number of workers that an owner serves within an eighth of a core, with
/// headroom for bursts: about 300 starts a second.
constexpr std::size_t TargetWorkersPerPool = 40;

/// The number of workers per pool where entries have \p Capacities: the target,
/// or less if the narrowest link does not carry the messages for as many.
std::size_t workersPerPool(const std::vector<VmCapacity> &Capacities);

/// Partitions the racks of a data centre, given with their numbers of workers,
/// into groups of about \p Target workers and of similar size. Returns the
/// group of each rack; a group is named after its alphabetically first rack.
std::map<std::string, std::string>
groupRacks(const std::map<std::string, std::size_t> &Racks, std::size_t Target);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_POOLSIZE_H
