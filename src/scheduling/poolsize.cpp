//===- poolsize.cpp - Grouping of racks into pools ------------------------===//
//
// Greedy partition: racks in descending order of size, each into the smallest
// group.
//
//===----------------------------------------------------------------------===//

#include "scheduling/poolsize.h"

#include <algorithm>
#include <vector>

namespace geraniumbay::scheduling {

namespace {

/// What an owner's link carries for each worker when the pool is busy: orders
/// with their payloads, holds and jobs take about a tenth of a megabit a
/// second; the rest is for bursts and for the entry's own callers.
constexpr std::size_t LinkKbitsPerWorker = 250;

struct Group {
  std::size_t Workers = 0;
  std::vector<std::string> Racks;
};

std::vector<std::pair<std::size_t, std::string>>
largestFirst(const std::map<std::string, std::size_t> &Racks) {
  std::vector<std::pair<std::size_t, std::string>> Result;
  Result.reserve(Racks.size());
  for (const auto &[Rack, Workers] : Racks)
    Result.emplace_back(Workers, Rack);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  return Result;
}

} // namespace

std::size_t workersPerPool(const std::vector<VmCapacity> &Capacities) {
  std::size_t Narrowest = smallestKnown(Capacities, &VmCapacity::LinkKbits);
  if (Narrowest == 0)
    return TargetWorkersPerPool;
  return std::clamp<std::size_t>(Narrowest / LinkKbitsPerWorker, 1,
                                 TargetWorkersPerPool);
}

std::map<std::string, std::string>
groupRacks(const std::map<std::string, std::size_t> &Racks,
           std::size_t Target) {
  std::size_t Workers = 0;
  for (const auto &[Rack, Count] : Racks)
    Workers += Count;
  std::size_t Wanted = (Workers + Target / 2) / Target;
  std::vector<Group> Groups(std::clamp<std::size_t>(
      Wanted, 1, std::max<std::size_t>(Racks.size(), 1)));
  for (const auto &[Count, Rack] : largestFirst(Racks)) {
    Group &Smallest =
        *std::min_element(Groups.begin(), Groups.end(),
                          [](const Group &Left, const Group &Right) {
                            return Left.Workers < Right.Workers;
                          });
    Smallest.Workers += Count;
    Smallest.Racks.push_back(Rack);
  }
  std::map<std::string, std::string> Result;
  for (const Group &Each : Groups)
    for (const std::string &Rack : Each.Racks)
      Result[Rack] = *std::min_element(Each.Racks.begin(), Each.Racks.end());
  return Result;
}

} // namespace geraniumbay::scheduling
