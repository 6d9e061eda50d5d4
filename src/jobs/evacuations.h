//===- evacuations.h - Data centres that are to be empty --------*- C++ -*-===//
//
// Operators evacuate a data centre before work on it: its workers get no more
// tasks, what runs there ends undisturbed, and its entries serve their callers
// with workers elsewhere. The orders are part of the replicated state.
//
// An order may be held up on its way to the leader while the operator, who got
// no answer, gives the opposite one. So each order carries the number of the
// data centre's last order, as the control VM knew it that took it from the
// operator, and changes nothing if another one has been recorded since. An
// order for the state that is there already is recorded too: an opposite one
// that is still on its way has no effect after it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_EVACUATIONS_H
#define GERANIUMBAY_JOBS_EVACUATIONS_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <cstdint>
#include <map>
#include <set>

namespace geraniumbay::jobs {

/// Numbers the recorded orders, from 1; 0 is before the first.
using EvacuationNumber = StrongId<struct EvacuationNumberTag, std::uint64_t>;

/// An operator's order about one data centre.
struct EvacuationOrder {
  DataCentreId DataCentre;
  /// Evacuate it; else the evacuation ends.
  bool Evacuate = true;
  /// The data centre's last order when this one was given.
  EvacuationNumber Base;
  /// When it was given, by the clock of the control VM that took it.
  WallMillis At = 0;

  bool operator==(const EvacuationOrder &) const = default;
};

/// The last recorded order about a data centre.
struct EvacuationRecord {
  bool Evacuated = false;
  EvacuationNumber Number;
  WallMillis At = 0;

  bool operator==(const EvacuationRecord &) const = default;
};

struct Evacuations {
  std::map<DataCentreId, EvacuationRecord> Records;
  /// The number of the last recorded order.
  EvacuationNumber Last;

  bool operator==(const Evacuations &) const = default;
};

/// Whether recording \p Order would leave the state as it wants: no opposite
/// order has been recorded since it was given.
bool takesEffect(const Evacuations &State, const EvacuationOrder &Order);

/// Records \p Order if it takes effect.
void apply(Evacuations &State, const EvacuationOrder &Order);

/// The last order about \p DataCentre; number 0 if there was none.
EvacuationRecord recordOf(const Evacuations &State,
                          const DataCentreId &DataCentre);

/// The data centres that are evacuated now.
std::set<DataCentreId> evacuatedOf(const Evacuations &State);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_EVACUATIONS_H
