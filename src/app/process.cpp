//===- process.cpp - One process of the system ----------------------------===//
//
// The kernel of a process: its services, its roles, and its end.
//
//===----------------------------------------------------------------------===//

#include "app/process.h"

#include "app/internal/controlrole.h"
#include "app/internal/datafolder.h"
#include "app/internal/drainer.h"
#include "app/internal/entryrole.h"
#include "app/internal/ledgerrole.h"
#include "control/controlsetup.h"
#include "framework/log/log.h"
#include "inventory/textfile.h"
#include "membership/incarnation.h"

#include <csignal>
#include <optional>

namespace geraniumbay::app {

using inventory::Role;

namespace {

RetVal<std::string> readOptionalSecret(const std::string &File) {
  if (File.empty())
    return std::string();
  return inventory::readSecretFile(File);
}

RetVal<Secrets> readSecrets(const inventory::SecuritySettings &Security) {
  // Better no start than a token in clear text behind a promise of TLS.
  if (!Security.AdminCertificateFile.empty())
    return fail(ErrorCode::InvalidArgument,
                "security.admin_certificate_file: TLS of the administration is "
                "not built yet; keep its address on loopback");
  Secrets Shared;
  BOOST_LEAF_ASSIGN(Shared.PeerKey, readOptionalSecret(Security.PeerKeyFile));
  BOOST_LEAF_ASSIGN(Shared.AdminToken,
                    readOptionalSecret(Security.AdminTokenFile));
  return Shared;
}

/// Whom a process asks that reaches no control VM: the others of its own data
/// centre first, since those of others may be cut off as well.
std::vector<Endpoint>
peersToAsk(const std::shared_ptr<const inventory::Document> &Document,
           const inventory::ProcessIdentity &Own) {
  std::vector<Endpoint> Near;
  std::vector<Endpoint> Far;
  if (Document == nullptr)
    return Near;
  for (const auto &[Name, Vm] : Document->Inv.Vms)
    if (Name != Own.Vm)
      (Vm.DataCentre == Own.DataCentre ? Near : Far).push_back(Vm.Peer);
  Near.insert(Near.end(), Far.begin(), Far.end());
  return Near;
}

} // namespace

struct Process::Impl {
  Impl(inventory::ProcessSettings Given, const Secrets &Shared);

  Ret openConfigFolder();
  Ret setUpRoles();
  void setUpConfigSource();
  void setUpAdmin();
  void configChanged(const control::ConfigSnapshot &Snapshot);
  Json::Value status() const;

  const inventory::ProcessSettings Settings;
  BaseServices Base;
  Registry Services;
  control::IConfigSource *Source = nullptr;
  /// What is in force; null before the first configuration.
  std::shared_ptr<const inventory::Document> Document;
  std::optional<EntryRole> Entry;
  std::optional<LedgerRole> Ledger;
  Drainer Stop;
  std::size_t CutOff = 0;
};

Process::Impl::Impl(inventory::ProcessSettings Given, const Secrets &Shared)
    : Settings(std::move(Given)), Base(Settings, Shared),
      Stop(Base.Clock, Base.Loop.timers(), Settings.Process.DrainTimeout,
           DrainHooks{[this] {
                        if (Entry)
                          Entry->drain();
                      },
                      [this] { return Entry ? Entry->running() : 0; },
                      [this](std::size_t Left) {
                        CutOff = Left;
                        Base.Loop.stop();
                      }}) {}

Ret Process::Impl::openConfigFolder() {
  if (Settings.Process.DataFolder.empty())
    return {};
  BOOST_LEAF_AUTO(
      Storage,
      openRoleFolder(Base.Loop, Settings.Process.DataFolder, "config"));
  Services.add<IStorage>(control::service_name::ConfigStorage, Storage);
  return {};
}

void Process::Impl::setUpConfigSource() {
  control::ConfigSourceOptions Options;
  Options.Self.Vm = Settings.Process.Vm;
  for (Role Each : Settings.Process.Roles)
    Options.Self.Process += (Options.Self.Process.empty() ? "" : ",") +
                            std::string(inventory::roleName(Each));
  Options.Start = membership::wallIncarnation(Base.Clock, Base.Numbers);
  Options.ControlVms = Settings.Control.Peers;
  Options.Peers = [this] { return peersToAsk(Document, Settings.Process); };
  control::setUpConfig(Services, std::move(Options));
  Source = &Services.get<control::IConfigSource>(
      control::service_name::ConfigSource);
}

Ret Process::Impl::setUpRoles() {
  if (Settings.hasRole(Role::Control))
    BOOST_LEAF_CHECK(setUpControlRole(Services, Base, Settings));
  BOOST_LEAF_CHECK(openConfigFolder());
  setUpConfigSource();
  auto &Control = Services.get<control::IControlClient>(
      control::service_name::ControlClient);
  if (Settings.hasRole(Role::Ledger)) {
    Ledger.emplace(Services, Base, Settings, *Source, Control);
    BOOST_LEAF_CHECK(Ledger->open());
  }
  if (Settings.hasRole(Role::Entry)) {
    Entry.emplace(Services, Base, Settings);
    Entry->start();
  }
  Source->subscribe([this](const control::ConfigSnapshot &Snapshot) {
    configChanged(Snapshot);
    if (Ledger)
      Ledger->takeView();
  });
  Source->onConfirmed([this] {
    if (Ledger)
      Ledger->takeView();
  });
  configChanged(Source->current());
  return {};
}

void Process::Impl::configChanged(const control::ConfigSnapshot &Snapshot) {
  if (Snapshot.Version.value() == 0)
    return;
  auto Parsed = inventory::parseDocument(Snapshot.Document, "document");
  if (!Parsed) {
    // Control has checked it; only an older program can fail to read it.
    logEvent(LogLevel::Error, "app", "document_not_readable",
             {{"version", Snapshot.Version},
              {"problem", Parsed.problems().front().text()}});
    return;
  }
  Document = std::make_shared<const inventory::Document>(*Parsed);
  if (Ledger)
    Ledger->apply(Document);
  if (Entry)
    Entry->apply(Snapshot, Document);
}

void Process::Impl::setUpAdmin() {
  Base.Admin.route("GET", "/metrics",
                   [this](const std::shared_ptr<IHttpExchange> &Exchange) {
                     Exchange->reply({200,
                                      {{"content-type", "text/plain"}},
                                      Base.Measured.text()});
                   });
  Base.AdminRpc.method("admin.status", [this](const Json::Value &,
                                              const IRpcServer::Reply &Answer) {
    Answer(status());
  });
  Base.AdminRpc.method("admin.drain", [this](const Json::Value &,
                                             const IRpcServer::Reply &Answer) {
    Stop.begin(/*ThenStop=*/false);
    Answer(status());
  });
}

Json::Value Process::Impl::status() const {
  Json::Value Status = Entry ? Entry->status() : Json::Value(Json::objectValue);
  Status["vm"] = Settings.Process.Vm.value();
  Status["version"] =
      static_cast<Json::UInt64>(Source->current().Version.value());
  if (!Entry)
    Status["running"] = 0;
  if (Ledger)
    Status["ledger"] = Ledger->status();
  return Status;
}

Process::Process(inventory::ProcessSettings Settings)
    : Settings_(std::move(Settings)) {}

Process::~Process() = default;

Ret Process::start() {
  BOOST_LEAF_AUTO(Shared, readSecrets(Settings_.Security));
  Impl_ = std::make_unique<Impl>(Settings_, Shared);
  Impl &Self = *Impl_;
  Self.Base.registerAll(Self.Services);
  Self.Base.Loop.onSignal(SIGTERM, [&Self] { Self.Stop.begin(true); });
  Self.Base.Loop.onSignal(SIGINT, [&Self] { Self.Stop.begin(true); });
  BOOST_LEAF_CHECK(Self.setUpRoles());
  Self.setUpAdmin();
  return Self.Base.listen(Self.Settings);
}

std::size_t Process::run() {
  Impl &Self = *Impl_;
  const VmId &Vm = Self.Settings.Process.Vm;
  logEvent(LogLevel::Info, "app", "started", {{"vm", Vm}});
  Self.Base.Loop.run();
  if (Self.Entry)
    Self.Entry->stop();
  // Answers that were just handed over still have to leave the sockets.
  constexpr Duration FlushTime = std::chrono::milliseconds(50);
  Self.Base.Loop.turn(FlushTime);
  logEvent(Self.CutOff == 0 ? LogLevel::Info : LogLevel::Warning, "app",
           "stopped", {{"vm", Vm}, {"cut_off", Self.CutOff}});
  return Self.CutOff;
}

} // namespace geraniumbay::app
