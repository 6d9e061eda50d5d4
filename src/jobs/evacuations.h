//===- evacuations.h - Evacuation of data centres ---------------*- C++ -*-===//
//
// Operators evacuate a data centre before maintenance: its workers get no new
// tasks, tasks that run there finish undisturbed, and its entries serve their
// callers with workers elsewhere. The orders are part of the replicated state.
//
// An order may be delayed on its way to the leader while the operator, who got
// no answer, gives the opposite one. So each order carries the number of the
// data centre's last order that was known to the control VM that accepted it,
// and has no effect if another order has been recorded since. An order for the
// state that already holds is recorded too, so that an opposite one still in
// flight has no effect after it.
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

/// Numbers the recorded orders from 1; 0 stands for none.
using EvacuationNumber = StrongId<struct EvacuationNumberTag, std::uint64_t>;

/// An operator's order about one data centre.
struct EvacuationOrder {
  DataCentreId DataCentre;
  /// True to evacuate, false to end the evacuation.
  bool Evacuate = true;
  /// The data centre's last recorded order when this one was given.
  EvacuationNumber Base;
  /// By the clock of the control VM that accepted the order.
  WallMillis OrderedAt = 0;

  bool operator==(const EvacuationOrder &) const = default;
};

/// The last recorded order about a data centre.
struct EvacuationRecord {
  bool Evacuated = false;
  EvacuationNumber Number;
  WallMillis OrderedAt = 0;

  bool operator==(const EvacuationRecord &) const = default;
};

struct Evacuations {
  std::map<DataCentreId, EvacuationRecord> Records;
  /// The number of the last recorded order.
  EvacuationNumber Last;

  bool operator==(const Evacuations &) const = default;
};

/// Whether the state is as \p Order wants once it is recorded, that is, no
/// opposite order has been recorded since it was given.
bool takesEffect(const Evacuations &State, const EvacuationOrder &Order);

/// Records \p Order if it takes effect.
void apply(Evacuations &State, const EvacuationOrder &Order);

/// The last recorded order about \p DataCentre; its number is 0 if there is
/// none.
EvacuationRecord findEvacuationRecord(const Evacuations &State,
                                      const DataCentreId &DataCentre);

std::set<DataCentreId> evacuatedDataCentres(const Evacuations &State);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_EVACUATIONS_H
