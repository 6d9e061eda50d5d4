//===- tombstoneset.cpp - The tombstones that are in force ----------------===//
//
// Remembering, forgetting and spreading of tombstones.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/tombstoneset.h"

#include <algorithm>

namespace geraniumbay::membership {

bool buryIn(TombstoneSet &Set, const AgedTombstone &Left, Duration Life,
            Time Now) {
  if (Left.Age >= Life)
    return false;
  const Revision &LeftAt = Left.Mark.LeftAt;
  auto [Found, Fresh] = Set.ByWorker.try_emplace(
      Left.Mark.Worker, TombstoneSet::Held{LeftAt, Now - Left.Age});
  if (Fresh)
    return true;
  if (LeftAt.Incarnation <= Found->second.LeftAt.Incarnation)
    return false;
  Found->second = {LeftAt, Now - Left.Age};
  return true;
}

bool leftIn(const TombstoneSet &Set, const WorkerId &Worker,
            Incarnation Incarnation) {
  auto Found = Set.ByWorker.find(Worker);
  return Found != Set.ByWorker.end() &&
         Incarnation <= Found->second.LeftAt.Incarnation;
}

void expireTombstones(TombstoneSet &Set, Duration Life, Time Now) {
  std::erase_if(Set.ByWorker, [&](const auto &Item) {
    return Now - Item.second.Since >= Life;
  });
}

std::vector<AgedTombstone> spreadNext(TombstoneSet &Set, std::size_t Limit,
                                      Time Now) {
  std::vector<AgedTombstone> Picked;
  std::size_t Count = std::min(Limit, Set.ByWorker.size());
  auto Next = Set.ByWorker.upper_bound(Set.Cursor);
  while (Picked.size() < Count) {
    if (Next == Set.ByWorker.end())
      Next = Set.ByWorker.begin();
    Picked.push_back({{Next->first, Next->second.LeftAt},
                      std::max(Duration(0), Now - Next->second.Since)});
    Set.Cursor = Next->first;
    ++Next;
  }
  return Picked;
}

} // namespace geraniumbay::membership
