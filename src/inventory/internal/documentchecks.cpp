//===- documentchecks.cpp - Checks across sections ------------------------===//
//
// One small function for each kind of mistake between sections.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/documentchecks.h"

namespace geraniumbay::inventory {
namespace {

/// The most control VMs that the operators set aside.
constexpr std::size_t MaxControlVms = 9;

/// What every check works on.
struct Check {
  const Document &Doc;
  const SectionIndex &Index;
  ProblemList &Found;

  void report(const std::string &Title, const std::string &Key,
              std::string Message) const {
    if (!Found.reported(Title + "." + Key))
      Found.add(Index.problem(Title, Key, std::move(Message)));
  }
};

template <typename IdT> std::string title(const char *Kind, const IdT &Name) {
  return std::string(Kind) + " " + Name.value();
}

/// Reports that \p Name is no key of \p Known. A name that could not be read
/// is empty and was reported before.
template <typename IdT, typename ValueT>
void checkName(const Check &C, const std::string &Title, const char *Key,
               const char *Kind, const IdT &Name,
               const std::map<IdT, ValueT> &Known) {
  if (Name.value().empty() || Known.contains(Name))
    return;
  C.report(Title, Key,
           "there is no section [" + title(Kind, Name) + "] of that name");
}

void checkNames(const Check &C) {
  const Inventory &Inv = C.Doc.Inv;
  for (const auto &[Name, Value] : Inv.Vms)
    checkName(C, title("vm", Name), "data_centre", "data_centre",
              Value.DataCentre, Inv.DataCentres);
  for (const auto &[Name, Value] : Inv.Racks)
    checkName(C, title("rack", Name), "data_centre", "data_centre",
              Value.DataCentre, Inv.DataCentres);
  for (const auto &[Name, Value] : Inv.Callers) {
    std::string Title = title("caller", Name);
    checkName(C, Title, "home", "data_centre", Value.Home, Inv.DataCentres);
    checkName(C, Title, "team", "team", Value.Team, Inv.Teams);
  }
  for (const RequestKind &Kind : C.Doc.Rule.NotRepeatable)
    checkName(C, "rules", "not_repeatable", "service", Kind.Service,
              Inv.Services);
}

void checkRoles(const Check &C) {
  for (const auto &[Name, Value] : C.Doc.Inv.Vms) {
    std::string Title = title("vm", Name);
    if (Value.Roles.contains(Role::Entry) && !Value.Caller)
      C.report(Title, "caller_address", "missing; an entry needs one");
    bool NeedsDisk = Value.Roles.contains(Role::Ledger) ||
                     Value.Roles.contains(Role::Control);
    if (NeedsDisk && !Value.Disk)
      C.report(Title, "disk", "a ledger or control VM needs disk = yes");
  }
}

/// Addresses that were seen, with the section that has them.
using SeenAddresses = std::map<Endpoint, std::string>;

void checkAddress(const Check &C, const std::string &Title, const char *Key,
                  const Endpoint &Address, SeenAddresses &Seen) {
  if (Address.Port == 0)
    return;
  auto [Place, Fresh] = Seen.emplace(Address, Title + "." + Key);
  if (!Fresh)
    C.report(Title, Key,
             Address.text() + " already stands at " + Place->second);
}

void checkAddresses(const Check &C) {
  SeenAddresses Seen;
  for (const auto &[Name, Value] : C.Doc.Inv.Vms) {
    std::string Title = title("vm", Name);
    checkAddress(C, Title, "peer_address", Value.Peer, Seen);
    if (Value.Caller)
      checkAddress(C, Title, "caller_address", *Value.Caller, Seen);
    if (Value.Admin)
      checkAddress(C, Title, "admin_address", *Value.Admin, Seen);
  }
}

/// A data centre that keeps claims needs a ledger to keep them in.
void checkHomes(const Check &C) {
  std::set<DataCentreId> WithLedger;
  for (const Vm &Ledger : vmsWithRole(C.Doc.Inv, Role::Ledger))
    WithLedger.insert(Ledger.DataCentre);
  for (const auto &[Name, Value] : C.Doc.Inv.Callers) {
    const DataCentre *Home = findByName(C.Doc.Inv.DataCentres, Value.Home);
    if (Value.Closed || !Home)
      continue;
    std::string Subject = "data centre " + quoted(Value.Home.value());
    if (!WithLedger.contains(Value.Home))
      C.report(title("caller", Name), "home",
               Subject + " has no VM with the role ledger");
    else if (Home->Closed)
      C.report(title("caller", Name), "home", Subject + " is closed");
  }
}

void checkControl(const Check &C) {
  std::size_t Count = vmsWithRole(C.Doc.Inv, Role::Control).size();
  if (Count == 0)
    C.Found.add({"", 0, "", "no VM has the role control; wanted: 1 to 9"});
  else if (Count > MaxControlVms)
    C.Found.add({"", 0, "",
                 std::to_string(Count) +
                     " VMs have the role control; allowed: at most " +
                     std::to_string(MaxControlVms)});
}

void checkServices(const Check &C) {
  for (const auto &[Name, Value] : C.Doc.Inv.Services) {
    std::string Title = title("service", Name);
    if (Value.LargestTask.Cores > Value.Worker.Cores)
      C.report(Title, "largest_task_cores", "more than worker_cores");
    if (Value.LargestTask.Memory > Value.Worker.Memory)
      C.report(Title, "largest_task_memory", "more than worker_memory");
    if (Value.MaxPayload > C.Doc.Rule.Limit.MaxBody)
      C.report(Title, "max_payload", "more than limits.max_body");
    if (Value.ExpectedMedian && Value.ExpectedP99 &&
        *Value.ExpectedMedian > *Value.ExpectedP99)
      C.report(Title, "expected_median", "more than expected_p99");
  }
}

void checkTimeouts(const Check &C) {
  const Timeouts &Times = C.Doc.Rule.Timeout;
  if (Times.DefaultDeadline > Times.MaxDeadline)
    C.report("timeouts", "default_deadline", "later than max_deadline");
}

} // namespace

void checkDocument(const Document &Doc, const SectionIndex &Index,
                   ProblemList &Found) {
  const Check C{Doc, Index, Found};
  checkNames(C);
  checkRoles(C);
  checkAddresses(C);
  checkHomes(C);
  checkControl(C);
  checkServices(C);
  checkTimeouts(C);
}

} // namespace geraniumbay::inventory
