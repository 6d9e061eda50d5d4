//===- ownership.h - Assignment of pools to unequal owners ------*- C++ -*-===//
//
// Answers load on VMs that differ: one entry with a third of the processor
// time of another owns as many pools, and its orders arrive late although the
// workers have free capacity. Each pool is assigned to the candidate that it
// leaves with the smallest share of its capacity in use, so that the most
// heavily used one is used as little as possible.
//
// All processes that know the same candidates and owners compute the same
// ranks. Ties are broken by a hash of pool and candidate, so that a change of
// one candidate moves few pools.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_OWNERSHIP_H
#define GERANIUMBAY_SCHEDULING_OWNERSHIP_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::scheduling {

/// What a VM may use, from its settings. Zero means that it is unknown.
struct VmCapacity {
  /// Thousandths of a core.
  std::uint32_t CpuMillis = 0;
  /// Thousands of bits a second on its network link.
  std::uint32_t LinkKbits = 0;

  auto operator<=>(const VmCapacity &) const = default; // NOLINT
  bool operator==(const VmCapacity &) const = default;
};

/// The smallest value of \p Field that is known, or 0.
std::uint32_t smallestKnown(const std::vector<VmCapacity> &Capacities,
                            std::uint32_t VmCapacity::*Field);

/// Whether all known capacities are equal, so that no candidate is preferable.
bool areAlike(const std::vector<VmCapacity> &Capacities);

/// A VM that may own pools.
struct OwnerCandidate {
  /// Identifies it in all processes.
  std::string Name;
  VmCapacity Capacity;
};

/// A pool of workers that needs an owner.
struct OwnedPool {
  /// Identifies it in all processes.
  std::string Name;
  /// The index of the candidate that owns it; empty if it has no owner.
  std::optional<std::size_t> Owner;
};

/// For each pool, the indices of all candidates in the order in which they
/// take it over. Pools count alike, since they are divided into similar sizes.
/// An owner keeps its pool unless another candidate would use less than half of
/// the share of its capacity.
std::vector<std::vector<std::size_t>>
rankOwners(const std::vector<OwnerCandidate> &Candidates,
           const std::vector<OwnedPool> &Pools);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_OWNERSHIP_H
