//===- tombstoneset.h - The tombstones that are in force --------*- C++ -*-===//
//
// Remembers which workers left, for a bounded time, and picks those that the
// next heartbeat spreads. The age travels with a tombstone, so that entries
// that pass it to each other do not keep it alive for ever.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_TOMBSTONESET_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_TOMBSTONESET_H

#include "framework/clock/iclock.h"
#include "membership/tombstone.h"

#include <map>
#include <vector>

namespace geraniumbay::membership {

/// A tombstone under way: how long ago the worker left.
struct AgedTombstone {
  Tombstone Mark;
  Duration Age{0};

  bool operator==(const AgedTombstone &) const = default;
};

/// The workers that left, by id.
struct TombstoneSet {
  struct Held {
    Revision LeftAt;
    Time Since;
  };
  std::map<WorkerId, Held> ByWorker;
  /// The last one that spreadNext() picked.
  WorkerId Cursor;
};

/// Remembers \p Left unless it is older than \p Life or than what is known.
/// Returns whether it says something new: a worker or a higher incarnation.
bool buryIn(TombstoneSet &Set, const AgedTombstone &Left, Duration Life,
            Time Now);

/// Whether \p Worker left in \p Incarnation or in a later one.
bool leftIn(const TombstoneSet &Set, const WorkerId &Worker,
            Incarnation Incarnation);

/// Forgets the tombstones older than \p Life.
void expireTombstones(TombstoneSet &Set, Duration Life, Time Now);

/// Picks up to \p Limit tombstones to spread, in turns.
std::vector<AgedTombstone> spreadNext(TombstoneSet &Set, std::size_t Limit,
                                      Time Now);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_TOMBSTONESET_H
