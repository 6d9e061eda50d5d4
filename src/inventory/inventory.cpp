//===- inventory.cpp - What the operators' register lists -----------------===//
//
// Look-ups in the inventory.
//
//===----------------------------------------------------------------------===//

#include "inventory/inventory.h"

namespace geraniumbay::inventory {

std::vector<Vm> vmsWithRole(const Inventory &Inv, Role Wanted) {
  std::vector<Vm> Result;
  for (const auto &[Name, Candidate] : Inv.Vms)
    if (Candidate.Roles.contains(Wanted))
      Result.push_back(Candidate);
  return Result;
}

std::vector<Vm> vmsWithRole(const Inventory &Inv, Role Wanted,
                            const DataCentreId &Where) {
  std::vector<Vm> Result;
  for (const Vm &Candidate : vmsWithRole(Inv, Wanted))
    if (Candidate.DataCentre == Where)
      Result.push_back(Candidate);
  return Result;
}

} // namespace geraniumbay::inventory
