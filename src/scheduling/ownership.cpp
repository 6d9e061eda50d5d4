//===- ownership.cpp - Assignment of pools to unequal owners --------------===//
//
// Greedy assignment by the share of capacity in use.
//
//===----------------------------------------------------------------------===//

#include "scheduling/ownership.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace geraniumbay::scheduling {

namespace {

/// The part of the smallest VM's capacity that each VM keeps for the requests
/// of its own callers. Callers are spread evenly over the VMs, whatever their
/// size, so a VM that could not spare this much could not serve its callers.
constexpr double CallerReserve = 0.5;

/// An owner keeps its pool unless another candidate would use less than this
/// part of the share that the owner uses. While a pool changes hands, its jobs
/// wait for a tenth of a second, longer than the allowance of short ones.
constexpr double MoveThreshold = 0.5;

/// How many times the smallest VM each candidate is, by whichever of processor
/// and link it has less of, after the reserve for callers.
std::vector<double> usableCapacities(const std::vector<VmCapacity> &All) {
  std::uint32_t Cpu = smallestKnown(All, &VmCapacity::CpuMillis);
  std::uint32_t Link = smallestKnown(All, &VmCapacity::LinkKbits);
  auto Times = [](std::uint32_t Value, std::uint32_t Smallest) {
    // A limit that nobody states does not count; an unknown one counts as the
    // smallest.
    if (Smallest == 0)
      return std::numeric_limits<double>::infinity();
    return Value == 0
               ? 1.0
               : static_cast<double>(Value) / static_cast<double>(Smallest);
  };
  std::vector<double> Result;
  Result.reserve(All.size());
  for (const VmCapacity &Each : All) {
    double Least =
        std::min(Times(Each.CpuMillis, Cpu), Times(Each.LinkKbits, Link));
    Result.push_back((std::isinf(Least) ? 1.0 : Least) - CallerReserve);
  }
  return Result;
}

std::size_t hashOf(const OwnedPool &Pool, const OwnerCandidate &Candidate) {
  return std::hash<std::string>()(Pool.Name + " " + Candidate.Name);
}

class Assignment {
public:
  Assignment(const std::vector<OwnerCandidate> &Candidates,
             const std::vector<OwnedPool> &Pools)
      : Candidates_(Candidates), Pools_(Pools), Owned_(Candidates.size(), 0) {
    std::vector<VmCapacity> Capacities;
    Capacities.reserve(Candidates.size());
    for (const OwnerCandidate &Each : Candidates)
      Capacities.push_back(Each.Capacity);
    Usable_ = usableCapacities(Capacities);
    Assigned_.reserve(Pools.size());
    for (const OwnedPool &Each : Pools)
      Assigned_.push_back(Each.Owner);
    for (const OwnedPool &Each : Pools)
      if (Each.Owner)
        ++Owned_[*Each.Owner];
    Hashes_.reserve(Pools.size() * Candidates.size());
    for (const OwnedPool &Pool : Pools)
      for (const OwnerCandidate &Each : Candidates)
        Hashes_.push_back(hashOf(Pool, Each));
    assignUnowned();
  }

  /// All candidates, the preferable ones first.
  std::vector<std::size_t> ranksOf(std::size_t Pool) const {
    std::vector<std::size_t> Result(Candidates_.size());
    for (std::size_t I = 0; I < Result.size(); ++I)
      Result[I] = I;
    std::sort(Result.begin(), Result.end(),
              [&](std::size_t One, std::size_t Other) {
                return isPreferable(Pool, One, Other);
              });
    return Result;
  }

private:
  /// In the order of the pools, each to the candidate that is used least with
  /// it.
  void assignUnowned() {
    for (std::size_t Pool = 0; Pool < Pools_.size(); ++Pool) {
      if (Assigned_[Pool] || Candidates_.empty())
        continue;
      std::size_t Best = 0;
      for (std::size_t I = 1; I < Candidates_.size(); ++I)
        if (isPreferable(Pool, I, Best))
          Best = I;
      Assigned_[Pool] = Best;
      ++Owned_[Best];
    }
  }

  /// The share of a candidate's capacity in use if it owns \p Pool; a part of
  /// it for the present owner.
  double useWith(std::size_t Pool, std::size_t Candidate) const {
    std::size_t Others =
        Owned_[Candidate] - (Assigned_[Pool] == Candidate ? 1 : 0);
    double Use = static_cast<double>(Others + 1) / Usable_[Candidate];
    return Pools_[Pool].Owner == Candidate ? Use * MoveThreshold : Use;
  }

  bool isPreferable(std::size_t Pool, std::size_t One,
                    std::size_t Other) const {
    double Use = useWith(Pool, One);
    double OtherUse = useWith(Pool, Other);
    if (Use != OtherUse)
      return Use < OtherUse;
    if (Assigned_[Pool] == One || Assigned_[Pool] == Other)
      return Assigned_[Pool] == One && One != Other;
    std::size_t Hash = Hashes_[Pool * Candidates_.size() + One];
    std::size_t OtherHash = Hashes_[Pool * Candidates_.size() + Other];
    return Hash != OtherHash ? Hash > OtherHash
                             : Candidates_[One].Name < Candidates_[Other].Name;
  }

  const std::vector<OwnerCandidate> &Candidates_;
  const std::vector<OwnedPool> &Pools_;
  std::vector<double> Usable_;
  /// By pool and candidate, computed once for all comparisons.
  std::vector<std::size_t> Hashes_;
  /// The pools that each candidate owns or is assigned.
  std::vector<std::size_t> Owned_;
  /// The owner of each pool, or the candidate that it is assigned to.
  std::vector<std::optional<std::size_t>> Assigned_;
};

} // namespace

std::uint32_t smallestKnown(const std::vector<VmCapacity> &Capacities,
                            std::uint32_t VmCapacity::*Field) {
  std::uint32_t Result = 0;
  for (const VmCapacity &Each : Capacities)
    if (Each.*Field != 0 && (Result == 0 || Each.*Field < Result))
      Result = Each.*Field;
  return Result;
}

bool areAlike(const std::vector<VmCapacity> &Capacities) {
  for (auto Field : {&VmCapacity::CpuMillis, &VmCapacity::LinkKbits}) {
    std::uint32_t Smallest = smallestKnown(Capacities, Field);
    for (const VmCapacity &Each : Capacities)
      if (Each.*Field != 0 && Each.*Field != Smallest)
        return false;
  }
  return true;
}

std::vector<std::vector<std::size_t>>
rankOwners(const std::vector<OwnerCandidate> &Candidates,
           const std::vector<OwnedPool> &Pools) {
  Assignment Assigned(Candidates, Pools);
  std::vector<std::vector<std::size_t>> Result;
  Result.reserve(Pools.size());
  for (std::size_t I = 0; I < Pools.size(); ++I)
    Result.push_back(Assigned.ranksOf(I));
  return Result;
}

} // namespace geraniumbay::scheduling
