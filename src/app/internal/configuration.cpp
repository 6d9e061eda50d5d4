//===- configuration.cpp - The configuration as the modules see it --------===//
//
// One function for each module's settings.
//
//===----------------------------------------------------------------------===//

#include "app/internal/configuration.h"

namespace geraniumbay::app {

namespace {

constexpr double PercentToShare = 0.01;

ledger::LedgerMember toLedger(const control::LedgerMember &Member) {
  return {Member.Vm, ledger::DiskId(Member.Disk.value())};
}

control::LedgerMember toControl(const ledger::LedgerMember &Member) {
  return {Member.Vm, control::DiskId(Member.Disk.value())};
}

control::LedgerAction toControl(ledger::ViewAction Action) {
  switch (Action) {
  case ledger::ViewAction::Open:
    return control::LedgerAction::Open;
  case ledger::ViewAction::Remove:
    return control::LedgerAction::Remove;
  case ledger::ViewAction::Add:
    return control::LedgerAction::Add;
  case ledger::ViewAction::Promote:
    return control::LedgerAction::Promote;
  case ledger::ViewAction::ReportLost:
    return control::LedgerAction::ReportLost;
  }
  return control::LedgerAction::Open;
}

} // namespace

std::vector<membership::Peer> entryPeers(const inventory::Inventory &Inv) {
  std::vector<membership::Peer> Peers;
  for (const inventory::Vm &Vm :
       inventory::vmsWithRole(Inv, inventory::Role::Entry))
    Peers.push_back({Vm.Name, Vm.DataCentre, Vm.Peer});
  return Peers;
}

dispatch::PoolPolicy poolPolicy(const inventory::Document &Doc) {
  dispatch::PoolPolicy Policy;
  Policy.RoutineShare = Doc.Rule.RoutineShare.value() * PercentToShare;
  Policy.MaxQueuedTasks = Doc.Rule.Limit.MaxQueuedTasks;
  Policy.MaxRoutineWait =
      std::min(Policy.MaxRoutineWait, Doc.Rule.Limit.MaxQueueTime);
  Policy.MaxUrgentWait =
      std::min(Policy.MaxUrgentWait, Doc.Rule.Limit.MaxQueueTime);
  Policy.SilentAfter = Doc.Rule.Timeout.UpstreamSilence;
  for (const auto &[Name, Team] : Doc.Inv.Teams) {
    dispatch::TeamPolicy &Share = Policy.Teams[Name];
    Share.Weight = Team.Weight;
    Share.MaxLeases = Team.QuotaSlots ? Team.QuotaSlots->value() : 0;
  }
  return Policy;
}

ledger::LedgerView ledgerView(const DataCentreId &DataCentre,
                              const control::LedgerView &View,
                              const inventory::Inventory &Inv) {
  ledger::LedgerView Result;
  Result.DataCentre = DataCentre;
  Result.Number = ledger::ViewNumber(View.Number.value());
  Result.LedgerEpoch = View.LedgerEpoch;
  Result.Primary = View.Primary;
  for (const control::LedgerMember &Member : View.Members)
    Result.Members.push_back(toLedger(Member));
  for (const inventory::Vm &Vm :
       inventory::vmsWithRole(Inv, inventory::Role::Ledger, DataCentre))
    Result.Peers.push_back({Vm.Name, Vm.Peer});
  Result.KeysRefusedUntil = View.KeysRefusedUntil;
  return Result;
}

control::LedgerChange ledgerChange(const ledger::ViewProposal &Proposal) {
  control::LedgerChange Change;
  Change.DataCentre = Proposal.DataCentre;
  Change.Base = control::ViewNumber(Proposal.Base.value());
  Change.Action = toControl(Proposal.Action);
  Change.By = toControl(Proposal.By);
  Change.Subject = toControl(Proposal.Subject);
  Change.RefuseKeysUntil = Proposal.RefuseKeysUntil;
  return Change;
}

} // namespace geraniumbay::app
