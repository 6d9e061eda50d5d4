//===- owner.h - Which entry owns a worker ----------------------*- C++ -*-===//
//
// Rendezvous hashing of workers over the entries of their data centre. The
// hash is SHA-256, so that every process and every build gives the same.
//
// The configured entries of a data centre are ranked by the data centre's name
// and cut into blocks of pool_shards. The workers belong to the first block
// that has an eligible entry. So a death moves only the dead entry's workers:
// a spare entry of a later block takes over only when the whole block is gone.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_OWNER_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_OWNER_H

#include "framework/types/strongid.h"

#include <optional>
#include <vector>

namespace geraniumbay::membership {

/// A configured entry of one data centre.
struct OwnerCandidate {
  VmId Vm;
  /// Not dead and not draining.
  bool Eligible = false;
};

/// Returns the rendezvous weight of \p Vm for \p Key.
std::uint64_t rendezvousWeight(const std::string &Key, const VmId &Vm);

/// Returns the eligible entries of the first block that has one; at most
/// \p PoolShards, which is at least 1.
std::vector<VmId> ownersAmong(std::vector<OwnerCandidate> Candidates,
                              const DataCentreId &DataCentre,
                              std::size_t PoolShards);

/// Returns which of \p Owners owns \p Worker, or nothing if there is none.
std::optional<VmId> ownerAmong(const std::vector<VmId> &Owners,
                               const WorkerId &Worker);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_OWNER_H
