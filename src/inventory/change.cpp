//===- change.cpp - Is it safe to go from one document to the next --------===//
//
// One small function for each kind of dangerous step.
//
//===----------------------------------------------------------------------===//

#include "inventory/change.h"

#include <algorithm>

namespace geraniumbay::inventory {
namespace {

/// The two documents, and where refusals go.
struct Comparison {
  const Document &Old;
  const Document &New;
  const ChangeFacts &Facts;
  Problems &Refused;

  void refuse(std::string Key, std::string Message) const {
    Refused.push_back({"", 0, std::move(Key), std::move(Message)});
  }
};

/// Whether what \p Facts say of \p Name lasted for the retention time, so that
/// no claim of it is left.
template <typename IdT>
bool closedLongEnough(const Comparison &C,
                      const std::map<IdT, Duration> &Closed, const IdT &Name) {
  auto Found = Closed.find(Name);
  return Found != Closed.end() && Found->second >= C.Old.Rule.Retention;
}

std::set<VmId> names(const std::vector<Vm> &Vms) {
  std::set<VmId> Result;
  for (const Vm &Value : Vms)
    Result.insert(Value.Name);
  return Result;
}

/// Returns how many of \p From are not in \p Among.
std::size_t missing(const std::set<VmId> &From, const std::set<VmId> &Among) {
  return static_cast<std::size_t>(
      std::count_if(From.begin(), From.end(),
                    [&](const VmId &Name) { return !Among.contains(Name); }));
}

/// A data centre goes last: its claims, then its ledgers, then the name.
void checkRemovedDataCentres(const Comparison &C) {
  for (const auto &[Name, Value] : C.Old.Inv.DataCentres) {
    if (C.New.Inv.DataCentres.contains(Name) ||
        closedLongEnough(C, C.Facts.DataCentresClosedFor, Name))
      continue;
    if (vmsWithRole(C.Old.Inv, Role::Ledger, Name).empty())
      continue;
    C.refuse("data_centre " + Name.value(),
             "removed or renamed while its ledgers may hold claims; first set "
             "closed = yes, wait for the retention time, then remove it (a "
             "new name is a new data centre)");
  }
}

/// A data centre's ledgers are replaced one at a time, and the last one goes
/// only when no claim is left.
void checkLedgers(const Comparison &C) {
  for (const auto &[Name, Value] : C.Old.Inv.DataCentres) {
    if (closedLongEnough(C, C.Facts.DataCentresClosedFor, Name) ||
        !C.New.Inv.DataCentres.contains(Name))
      continue;
    auto Before = names(vmsWithRole(C.Old.Inv, Role::Ledger, Name));
    auto After = names(vmsWithRole(C.New.Inv, Role::Ledger, Name));
    std::size_t Lost = missing(Before, After);
    std::string Key = "data_centre " + Name.value();
    if (!Before.empty() && Lost == Before.size())
      C.refuse(Key, "loses every ledger that holds its claims; first add a new "
                    "ledger, wait until status shows it caught up, then "
                    "remove the old one");
    else if (Lost > 1)
      C.refuse(Key, "loses " + std::to_string(Lost) +
                        " ledgers at once; remove one, wait until status "
                        "shows the others caught up, then the next");
  }
}

void checkEntries(const Comparison &C) {
  for (const auto &[Name, Value] : C.New.Inv.DataCentres) {
    bool HadEntry = !vmsWithRole(C.Old.Inv, Role::Entry, Name).empty();
    if (HadEntry && vmsWithRole(C.New.Inv, Role::Entry, Name).empty())
      C.refuse("data_centre " + Name.value(),
               "loses its last entry; first add another entry, or remove the "
               "data centre in steps");
  }
}

/// Control VMs come and go one at a time: two majorities that differ by one
/// member always share one.
void checkControl(const Comparison &C) {
  auto Before = names(vmsWithRole(C.Old.Inv, Role::Control));
  auto After = names(vmsWithRole(C.New.Inv, Role::Control));
  std::size_t Changed = missing(Before, After) + missing(After, Before);
  if (!Before.empty() && Changed > 1)
    C.refuse("vm", std::to_string(Changed) +
                       " control VMs added or removed at once; change one, "
                       "wait until status shows the rest in agreement, then "
                       "the next");
}

/// A VM that holds durable state keeps its place and address.
void checkMovedVms(const Comparison &C) {
  for (const auto &[Name, Before] : C.Old.Inv.Vms) {
    const Vm *After = findByName(C.New.Inv.Vms, Name);
    bool HoldsState = Before.Roles.contains(Role::Ledger) ||
                      Before.Roles.contains(Role::Control);
    if (!After || !HoldsState)
      continue;
    if (After->DataCentre != Before.DataCentre)
      C.refuse("vm " + Name.value() + ".data_centre",
               "a ledger or control VM does not move; remove it, then add the "
               "new one under another name");
    if (After->Peer != Before.Peer)
      C.refuse("vm " + Name.value() + ".peer_address",
               "a ledger or control VM keeps its address; remove it, then add "
               "the new one under another name");
  }
}

/// A renamed VM would be taken for a new one with the old one's disk.
void checkRenamedVms(const Comparison &C) {
  std::map<Endpoint, VmId> Before;
  for (const auto &[Name, Value] : C.Old.Inv.Vms)
    if (!C.New.Inv.Vms.contains(Name))
      Before.emplace(Value.Peer, Name);
  for (const auto &[Name, Value] : C.New.Inv.Vms) {
    auto Found = Before.find(Value.Peer);
    if (Found != Before.end())
      C.refuse("vm " + Name.value(),
               "takes over the address of " + Found->second.value() +
                   "; renaming is refused: remove the old VM in one change, "
                   "then add the new one");
  }
}

/// The home of a caller decides where its submissions are found again.
void checkCallers(const Comparison &C) {
  for (const auto &[Name, Before] : C.Old.Inv.Callers) {
    if (closedLongEnough(C, C.Facts.CallersClosedFor, Name))
      continue;
    const Caller *After = findByName(C.New.Inv.Callers, Name);
    std::string Key = "caller " + Name.value();
    if (!After)
      C.refuse(Key, "removed or renamed while its claims may be held; first "
                    "set closed = yes, wait for the retention time, then "
                    "remove it (a new name is a new caller)");
    else if (After->Home != Before.Home)
      C.refuse(Key + ".home",
               "moves while claims may be held at " + Before.Home.value() +
                   "; add a caller of another name with the new home and "
                   "let the old one end, or close it for the retention time");
  }
}

} // namespace

Problems checkChange(const Document &Old, const Document &New,
                     const ChangeFacts &Facts) {
  Problems Refused;
  const Comparison C{Old, New, Facts, Refused};
  checkRemovedDataCentres(C);
  checkLedgers(C);
  checkEntries(C);
  checkControl(C);
  checkMovedVms(C);
  checkRenamedVms(C);
  checkCallers(C);
  return Refused;
}

} // namespace geraniumbay::inventory
