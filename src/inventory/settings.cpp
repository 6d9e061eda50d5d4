//===- settings.cpp - The settings of one process -------------------------===//
//
// Reads the sections of the settings by their tables and checks them together.
//
//===----------------------------------------------------------------------===//

#include "inventory/settings.h"
#include "inventory/internal/sectionindex.h"
#include "inventory/internal/settingskeys.h"

namespace geraniumbay::inventory {
namespace {

/// The longest settings file that is read.
constexpr std::size_t MaxSettingsBytes = 1U << 20U;

/// Reads \p Section into the part of \p Settings that it belongs to.
void readPart(const IniSection &Section, ProcessSettings &Settings,
              ProblemList &Found) {
  std::string Title = Section.title();
  if (Title == "process")
    readSection(Section, processKeys(), Settings.Process, Found);
  else if (Title == "control")
    readSection(Section, controlKeys(), Settings.Control, Found);
  else if (Title == "log")
    readSection(Section, logKeys(), Settings.Log, Found);
  else if (Title == "trace")
    readSection(Section, traceKeys(), Settings.Trace, Found);
  else if (Title == "security")
    readSection(Section, securityKeys(), Settings.Security, Found);
  else if (Title == "limits")
    readSection(Section, listenerKeys(), Settings.Limits, Found);
  else
    Found.add({Section.File, Section.Line, printable(Title),
               "unknown section; allowed: [process], [control], [log], "
               "[trace], [security], [limits]"});
}

void checkRoles(const ProcessSettings &Settings, const SectionIndex &Index,
                ProblemList &Found) {
  const ProcessIdentity &Process = Settings.Process;
  if (Settings.hasRole(Role::Entry) && !Process.Caller &&
      !Index.hasKey("process", "caller_address"))
    Found.add(Index.problem("process", "caller_address",
                            "missing; an entry needs one"));
  bool NeedsFolder =
      Settings.hasRole(Role::Ledger) || Settings.hasRole(Role::Control);
  if (NeedsFolder && Process.DataFolder.empty() &&
      !Index.hasKey("process", "data_folder"))
    Found.add(Index.problem("process", "data_folder",
                            "missing; a ledger or control needs one"));
}

void checkAddresses(const ProcessIdentity &Process, const SectionIndex &Index,
                    ProblemList &Found) {
  bool PeerSet = Process.Peer.Port != 0;
  if (PeerSet && Process.Caller == Process.Peer)
    Found.add(
        Index.problem("process", "caller_address", "the same as peer_address"));
  if (PeerSet && Process.Admin == Process.Peer)
    Found.add(
        Index.problem("process", "admin_address", "the same as peer_address"));
  if (Process.Admin && Process.Admin == Process.Caller)
    Found.add(Index.problem("process", "admin_address",
                            "the same as caller_address"));
}

void checkTls(const SecuritySettings &Security, const SectionIndex &Index,
              ProblemList &Found) {
  if (Security.AdminCertificateFile.empty() !=
      Security.AdminPrivateKeyFile.empty())
    Found.add(Index.problem(
        "security", "admin_certificate_file",
        "admin_certificate_file and admin_private_key_file go together"));
}

/// Whoever can reach an address beyond loopback must show a secret.
void checkSecretsNamed(const ProcessSettings &Settings,
                       const SectionIndex &Index, ProblemList &Found) {
  auto Reachable = [](const Endpoint &Address) {
    return Address.Port != 0 && !Address.Address.starts_with("127.");
  };
  const ProcessIdentity &Process = Settings.Process;
  const char *Wanted = "missing; wanted because the address is not on loopback";
  if (Reachable(Process.Peer) && !Index.hasKey("security", "peer_key_file"))
    Found.add(
        Index.problem("process", "peer_address",
                      std::string("security.peer_key_file is ") + Wanted));
  if (Process.Admin && Reachable(*Process.Admin) &&
      !Index.hasKey("security", "admin_token_file"))
    Found.add(
        Index.problem("process", "admin_address",
                      std::string("security.admin_token_file is ") + Wanted));
}

/// Reports required sections that are missing altogether.
void checkSections(const std::string &File, const SectionIndex &Index,
                   ProblemList &Found) {
  for (const char *Title : {"process", "control"})
    if (!Index.sections().contains(Title))
      Found.add({File, 0, Title, "missing; wanted: a section of that name"});
}

} // namespace

Checked<ProcessSettings> parseSettings(std::string_view Text,
                                       const std::string &File) {
  if (Text.size() > MaxSettingsBytes)
    return Problems{
        {File, 0, "",
         "too long; allowed: " + std::to_string(MaxSettingsBytes) + " bytes"}};
  ProblemList Found;
  SectionIndex Index(readIni({File, std::string(Text)}, Found), Found);
  ProcessSettings Settings;
  for (const auto &[Title, Section] : Index.sections())
    readPart(Section, Settings, Found);
  checkSections(File, Index, Found);
  checkRoles(Settings, Index, Found);
  checkAddresses(Settings.Process, Index, Found);
  checkTls(Settings.Security, Index, Found);
  checkSecretsNamed(Settings, Index, Found);
  if (!Found.empty())
    return Found.take();
  return Settings;
}

std::vector<KeyInfo> settingsKeys() {
  std::vector<KeyInfo> Result;
  listKeys("process", processKeys(), Result);
  listKeys("control", controlKeys(), Result);
  listKeys("log", logKeys(), Result);
  listKeys("trace", traceKeys(), Result);
  listKeys("security", securityKeys(), Result);
  listKeys("limits", listenerKeys(), Result);
  return Result;
}

} // namespace geraniumbay::inventory
