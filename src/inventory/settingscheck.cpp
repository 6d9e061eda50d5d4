//===- settingscheck.cpp - Settings against what is around them -----------===//
//
// Compares a process's settings with the inventory, and checks its secret
// files.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/codecs.h"
#include "inventory/settings.h"
#include "inventory/textfile.h"

#include <algorithm>

namespace geraniumbay::inventory {
namespace {

std::string shown(const std::optional<Endpoint> &Address) {
  return Address ? Address->text() : "none";
}

/// Adds a problem of \p Key if \p Here and \p There differ.
void compare(const char *Key, const std::string &Here, const std::string &There,
             Problems &Into) {
  if (Here != There)
    Into.push_back(
        {"", 0, Key, "is " + Here + ", but the inventory says " + There});
}

/// Every control VM of the inventory should be among the peers; others may be,
/// for instance one that is about to be added.
void comparePeers(const ControlSettings &Control, const Inventory &Inv,
                  Problems &Into) {
  for (const Vm &Member : vmsWithRole(Inv, Role::Control))
    if (std::find(Control.Peers.begin(), Control.Peers.end(), Member.Peer) ==
        Control.Peers.end())
      Into.push_back({"", 0, "control.peers",
                      Member.Peer.text() + " of control VM " +
                          Member.Name.value() + " is missing"});
}

} // namespace

Problems compareWithInventory(const ProcessSettings &Settings,
                              const Inventory &Inv) {
  const ProcessIdentity &Process = Settings.Process;
  const Vm *Listed = findByName(Inv.Vms, Process.Vm);
  if (!Listed)
    return {{"", 0, "process.vm",
             "the inventory lists no VM " + Process.Vm.value()}};
  Problems Result;
  const ListCodec<std::set<Role>, ChoiceCodec<Role>> Roles{roleCodec()};
  compare("process.data_centre", Process.DataCentre.value(),
          Listed->DataCentre.value(), Result);
  compare("process.roles", Roles.write(Process.Roles),
          Roles.write(Listed->Roles), Result);
  compare("process.peer_address", Process.Peer.text(), Listed->Peer.text(),
          Result);
  compare("process.caller_address", shown(Process.Caller),
          shown(Listed->Caller), Result);
  compare("process.admin_address", shown(Process.Admin), shown(Listed->Admin),
          Result);
  comparePeers(Settings.Control, Inv, Result);
  return Result;
}

Problems checkSecretFiles(const ProcessSettings &Settings) {
  const SecuritySettings &Security = Settings.Security;
  const std::pair<const char *, const std::string &> Files[] = {
      {"security.admin_token_file", Security.AdminTokenFile},
      {"security.peer_key_file", Security.PeerKeyFile},
      {"security.admin_private_key_file", Security.AdminPrivateKeyFile},
  };
  Problems Result;
  for (const auto &[Key, Path] : Files) {
    if (Path.empty())
      continue;
    auto Secret = attempt([&Path = Path] { return readSecretFile(Path); });
    if (!Secret)
      Result.push_back({"", 0, Key, Secret.error().Message});
  }
  return Result;
}

} // namespace geraniumbay::inventory
