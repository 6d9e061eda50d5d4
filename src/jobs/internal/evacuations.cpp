//===- evacuations.cpp - Data centres that are to be empty ----------------===//
//
// The state machine of the orders.
//
//===----------------------------------------------------------------------===//

#include "jobs/evacuations.h"

namespace geraniumbay::jobs {

EvacuationRecord recordOf(const Evacuations &State,
                          const DataCentreId &DataCentre) {
  auto Found = State.Records.find(DataCentre);
  return Found == State.Records.end() ? EvacuationRecord() : Found->second;
}

bool takesEffect(const Evacuations &State, const EvacuationOrder &Order) {
  EvacuationRecord Now = recordOf(State, Order.DataCentre);
  return Now.Evacuated == Order.Evacuate || Now.Number == Order.Base;
}

void apply(Evacuations &State, const EvacuationOrder &Order) {
  if (!takesEffect(State, Order))
    return;
  EvacuationRecord &Record = State.Records[Order.DataCentre];
  State.Last = EvacuationNumber(State.Last.value() + 1);
  // Operators want to know since when it has been evacuated.
  if (Record.Evacuated != Order.Evacuate)
    Record.At = Order.At;
  Record.Evacuated = Order.Evacuate;
  Record.Number = State.Last;
}

std::set<DataCentreId> evacuatedOf(const Evacuations &State) {
  std::set<DataCentreId> Result;
  for (const auto &[DataCentre, Record] : State.Records)
    if (Record.Evacuated)
      Result.insert(DataCentre);
  return Result;
}

} // namespace geraniumbay::jobs
