//===- controlrole.cpp - A process that is a control VM -------------------===//
//
// The control group from the settings, and the checks of documents.
//
//===----------------------------------------------------------------------===//

#include "app/internal/controlrole.h"

#include "app/internal/datafolder.h"
#include "control/controlsetup.h"
#include "inventory/change.h"
#include "inventory/textfile.h"

namespace geraniumbay::app {

namespace {

constexpr const char *DocumentName = "document";

Ret validateDocument(const std::string &Old, const std::string &New) {
  auto Wanted = inventory::parseDocument(New, DocumentName);
  if (!Wanted)
    return fail(inventory::problemsAsError(Wanted.problems()));
  if (Old.empty())
    return {};
  auto InForce = inventory::parseDocument(Old, DocumentName);
  if (!InForce)
    return {};
  inventory::Problems Found = inventory::checkChange(*InForce, *Wanted);
  if (Found.empty())
    return {};
  return fail(inventory::problemsAsError(Found));
}

std::vector<VmId> expectedVms(const std::string &Document) {
  std::vector<VmId> Vms;
  auto Parsed = inventory::parseDocument(Document, DocumentName);
  if (Parsed)
    for (const auto &Entry : Parsed->Inv.Vms)
      Vms.push_back(Entry.first);
  return Vms;
}

/// Control VMs are known to each other by their address: the settings give
/// nothing else before there is an inventory.
VmId controlVmId(const Endpoint &Address) { return VmId(Address.text()); }

/// Reads the bootstrap documents as one; empty if there are none.
RetVal<std::string>
readBootstrapDocument(const inventory::ProcessSettings &Settings) {
  if (Settings.Control.BootstrapDocuments.empty())
    return std::string();
  BOOST_LEAF_AUTO(Sources,
                  inventory::readSources(Settings.Control.BootstrapDocuments));
  auto Parsed = inventory::parseDocument(Sources);
  if (!Parsed)
    return fail(inventory::problemsAsError(Parsed.problems()));
  return inventory::joinSources(Sources);
}

control::ControlOptions
controlOptions(const inventory::ProcessSettings &Settings,
               std::string FirstDocument, Random &Numbers) {
  control::ControlOptions Options;
  Options.Self = controlVmId(Settings.Process.Peer);
  for (const Endpoint &Peer : Settings.Control.Peers)
    Options.ControlVms.push_back({controlVmId(Peer), Peer});
  Options.MayFound = !Settings.Control.BootstrapDocuments.empty();
  Options.FirstDocument = std::move(FirstDocument);
  Options.Seed = Numbers.bits();
  Options.Validate = validateDocument;
  Options.ExpectedVms = expectedVms;
  return Options;
}

} // namespace

Ret setUpControlRole(Registry &Services, BaseServices &Base,
                     const inventory::ProcessSettings &Settings) {
  BOOST_LEAF_AUTO(
      Storage,
      openRoleFolder(Base.Loop, Settings.Process.DataFolder, "control"));
  Services.add<IStorage>(control::service_name::ControlStorage, Storage);
  BOOST_LEAF_AUTO(Document, readBootstrapDocument(Settings));
  return control::setUpControlVm(
      Services, controlOptions(Settings, Document, Base.Numbers));
}

} // namespace geraniumbay::app
