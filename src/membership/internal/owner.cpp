//===- owner.cpp - Which entry owns a worker ------------------------------===//
//
// Rendezvous hashing by SHA-256.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/owner.h"

#include <algorithm>
#include <cassert>
#include <openssl/sha.h>
#include <utility>

namespace geraniumbay::membership {

namespace {

/// An entry with its weight; the greater one wins, the id breaks ties.
using Weighted = std::pair<std::uint64_t, VmId>;

} // namespace

std::uint64_t rendezvousWeight(const std::string &Key, const VmId &Vm) {
  // The length keeps ("ab", "c") apart from ("a", "bc").
  std::string Text = std::to_string(Key.size()) + ':' + Key + Vm.value();
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest);
  std::uint64_t Weight = 0;
  for (std::size_t Byte = 0; Byte < sizeof(Weight); ++Byte)
    Weight = (Weight << 8U) | Digest[Byte];
  return Weight;
}

std::vector<VmId> ownersAmong(std::vector<OwnerCandidate> Candidates,
                              const DataCentreId &DataCentre,
                              std::size_t PoolShards) {
  assert(PoolShards > 0);
  std::vector<std::pair<Weighted, bool>> Ranked;
  for (OwnerCandidate &Candidate : Candidates) {
    std::uint64_t Weight = rendezvousWeight(DataCentre.value(), Candidate.Vm);
    Ranked.push_back({{Weight, std::move(Candidate.Vm)}, Candidate.Eligible});
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::vector<VmId> Owners;
  for (std::size_t Rank = 0; Rank < Ranked.size(); ++Rank) {
    if (Rank % PoolShards == 0 && !Owners.empty())
      break;
    if (Ranked[Rank].second)
      Owners.push_back(Ranked[Rank].first.second);
  }
  return Owners;
}

std::optional<VmId> ownerAmong(const std::vector<VmId> &Owners,
                               const WorkerId &Worker) {
  std::optional<Weighted> Best;
  for (const VmId &Owner : Owners) {
    Weighted Next(rendezvousWeight(Worker.value(), Owner), Owner);
    if (!Best || *Best < Next)
      Best = std::move(Next);
  }
  if (!Best)
    return std::nullopt;
  return Best->second;
}

} // namespace geraniumbay::membership
