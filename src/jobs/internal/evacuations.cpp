//===- evacuations.cpp - Evacuation of data centres -----------------------===//
//
// The state machine of evacuation orders.
//
//===----------------------------------------------------------------------===//

#include "jobs/evacuations.h"

namespace geraniumbay::jobs {

EvacuationRecord findEvacuationRecord(const Evacuations &State,
                                      const DataCentreId &DataCentre) {
  auto Found = State.Records.find(DataCentre);
  return Found == State.Records.end() ? EvacuationRecord() : Found->second;
}

bool takesEffect(const Evacuations &State, const EvacuationOrder &Order) {
  EvacuationRecord Now = findEvacuationRecord(State, Order.DataCentre);
  return Now.Evacuated == Order.Evacuate || Now.Number == Order.Base;
}

void apply(Evacuations &State, const EvacuationOrder &Order) {
  if (!takesEffect(State, Order))
    return;
  EvacuationRecord &Record = State.Records[Order.DataCentre];
  State.Last = EvacuationNumber(State.Last.value() + 1);
  // A repeated order keeps the time: operators are shown since when the data
  // centre has been evacuated.
  if (Record.Evacuated != Order.Evacuate)
    Record.OrderedAt = Order.OrderedAt;
  Record.Evacuated = Order.Evacuate;
  Record.Number = State.Last;
}

std::set<DataCentreId> evacuatedDataCentres(const Evacuations &State) {
  std::set<DataCentreId> Result;
  for (const auto &[DataCentre, Record] : State.Records)
    if (Record.Evacuated)
      Result.insert(DataCentre);
  return Result;
}

} // namespace geraniumbay::jobs
