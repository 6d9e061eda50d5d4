//===- controlrole.cpp - A process that is a control VM -------------------===//
//
// The control group from the settings, and the checks of documents.
//
//===----------------------------------------------------------------------===//

#include "app/internal/controlrole.h"

#include "app/internal/datafolder.h"
#include "control/controlsetup.h"
#include "framework/log/log.h"
#include "inventory/change.h"
#include "inventory/textfile.h"

namespace geraniumbay::app {

namespace {

constexpr const char *DocumentName = "document";
constexpr Duration BootstrapRetry = std::chrono::milliseconds(300);
/// All control VMs propose the same first document under the same operation,
/// so that it is accepted once.
const control::OperationId BootstrapOperation("bootstrap");

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

control::ControlOptions
controlOptions(const inventory::ProcessSettings &Settings, Random &Numbers) {
  control::ControlOptions Options;
  Options.Self = controlVmId(Settings.Process.Peer);
  for (const Endpoint &Peer : Settings.Control.Peers)
    Options.ControlVms.push_back({controlVmId(Peer), Peer});
  Options.MayFound = !Settings.Control.BootstrapDocuments.empty();
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
  return control::setUpControlVm(Services,
                                 controlOptions(Settings, Base.Numbers));
}

void Bootstrap::run() {
  if (Document_.empty() || Source_.current().Version.value() > 0)
    return;
  Control_.propose({BootstrapOperation, ConfigVersion(0), Document_},
                   [this](const Outcome<control::ConfigAnswer> &Answer) {
                     if (!Answer.ok())
                       logEvent(LogLevel::Info, "app", "bootstrap_waits",
                                {{"reason", Answer.error().Message}});
                     Timers_.after(BootstrapRetry, [this] { run(); });
                   });
}

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

} // namespace geraniumbay::app
