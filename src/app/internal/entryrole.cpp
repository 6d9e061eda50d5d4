//===- entryrole.cpp - A process that takes callers' requests -------------===//
//
// Puts the modules of an entry together.
//
//===----------------------------------------------------------------------===//

#include "app/internal/entryrole.h"

#include "app/internal/configuration.h"
#include "app/internal/pooldirectory.h"
#include "app/internal/workersink.h"
#include "dispatch/dispatchsetup.h"
#include "entry/entrysetup.h"
#include "framework/log/log.h"
#include "ledger/ledgersetup.h"
#include "membership/incarnation.h"
#include "membership/membershipsetup.h"

namespace geraniumbay::app {

namespace {

/// How often a process that is not trusted yet looks again.
constexpr Duration TrustCheck = std::chrono::milliseconds(50);
/// How soon an address that something else holds is tried again.
constexpr Duration ListenRetry = std::chrono::seconds(1);

/// Registers the membership; returns its view.
membership::IMembership &joinMembership(Registry &Services, BaseServices &Base,
                                        const inventory::ProcessIdentity &Own) {
  Incarnation Start = membership::wallIncarnation(Base.Clock, Base.Numbers);
  membership::setupMembership(Services, {Own.Vm, Own.DataCentre, Own.Peer},
                              Start, {});
  return Services.get<membership::IMembership>(
      membership::service_name::Membership);
}

/// Whether the inventory lists \p Vm as an entry. One that it does not list any
/// more takes no new work, and the balancer is told.
bool isEntry(const inventory::Inventory &Inv, const VmId &Vm) {
  const inventory::Vm *Listed = inventory::findByName(Inv.Vms, Vm);
  return Listed != nullptr && Listed->Roles.contains(inventory::Role::Entry);
}

std::vector<membership::PoolSummary>
ownSummaries(const dispatch::IPoolOwner &Pool) {
  std::vector<membership::PoolSummary> Summaries;
  for (const dispatch::PoolSummary &Summary : Pool.summaries())
    Summaries.push_back(toHeartbeat(Summary));
  return Summaries;
}

} // namespace

EntryRole::EntryRole(Registry &Services, BaseServices &Base,
                     const inventory::ProcessSettings &Settings)
    : Services_(Services), Base_(Base), Settings_(Settings),
      Members_(joinMembership(Services, Base, Settings.Process)),
      MembersControl_(Services.get<membership::IMembershipControl>(
          membership::service_name::Control)) {
  Services_.add<dispatch::IPoolDirectory>(
      dispatch::service_name::PoolDirectory,
      std::make_shared<PoolDirectory>(Members_));
  dispatch::setupDispatch(Services_, {});
  Pool_ =
      &Services_.get<dispatch::IPoolOwner>(dispatch::service_name::PoolOwner);
  Services_.add<membership::IAnnouncementSink>(
      membership::service_name::AnnouncementSink,
      std::make_shared<WorkerSink>(*Pool_));
  membership::setupAnnouncements(Services_, {});
  MembersControl_.publishPools([this] { return ownSummaries(*Pool_); });
  Members_.subscribe(
      [this](const membership::MembershipChange &) { watchEntries(); });
}

void EntryRole::start() {
  MembersControl_.start();
  openWhenTrusted();
}

void EntryRole::openWhenTrusted() {
  // Without a configuration this process knows no peers to hear.
  if (Document_ == nullptr || !Members_.trusted()) {
    Base_.Loop.timers().after(TrustCheck, [this] { openWhenTrusted(); });
    return;
  }
  const inventory::ProcessIdentity &Own = Settings_.Process;
  ledger::setupLedgerClient(Services_, {Own.Vm, Members_.incarnation()}, {});
  Ledger_ =
      &Services_.get<ledger::ILedgerClient>(ledger::service_name::LedgerClient);
  entry::setupEntry(Services_, Own.Vm, Own.DataCentre);
  Entry_ = &Services_.get<entry::IEntry>(entry::service_name::Entry);
  applyToEntry();
  if (Draining_)
    Entry_->drain();
  listenForCallers();
}

void EntryRole::listenForCallers() {
  const inventory::ProcessIdentity &Own = Settings_.Process;
  auto Listening = attempt([&] { return Base_.Callers.listen(*Own.Caller); });
  if (!Listening.ok()) {
    logEvent(LogLevel::Error, "app", "entry_not_open",
             {{"address", Own.Caller->text()},
              {"reason", Listening.error().Message}});
    Base_.Loop.timers().after(ListenRetry, [this] { listenForCallers(); });
    return;
  }
  logEvent(LogLevel::Info, "app", "entry_open",
           {{"vm", Own.Vm},
            {"incarnation", Members_.incarnation()},
            {"address", Own.Caller->text()}});
}

void EntryRole::apply(
    const control::ConfigSnapshot &Snapshot,
    const std::shared_ptr<const inventory::Document> &Document) {
  Snapshot_ = Snapshot;
  Document_ = Document;
  MembersControl_.setPeers(entryPeers(Document->Inv), Snapshot.Version);
  Pool_->setPolicy(poolPolicy(*Document));
  if (Entry_ != nullptr)
    applyToEntry();
  if (!Draining_ && !isEntry(Document->Inv, Settings_.Process.Vm)) {
    logEvent(LogLevel::Warning, "app", "entry_removed",
             {{"vm", Settings_.Process.Vm}, {"version", Snapshot.Version}});
    drain();
  }
}

void EntryRole::applyToEntry() {
  for (const auto &[DataCentre, View] : Snapshot_.Ledgers)
    Ledger_->applyView(ledgerView(DataCentre, View, Document_->Inv));
  Entry_->setConfig({Snapshot_.Version, Document_});
}

void EntryRole::watchEntries() {
  std::map<VmId, Incarnation> Now;
  for (const membership::EntryInfo &Entry : Members_.aliveEntries())
    Now[Entry.Configured.Vm] = Entry.Incarnation;
  for (const auto &[Vm, Last] : AliveEntries_) {
    auto Found = Now.find(Vm);
    if (Found == Now.end() || Found->second > Last)
      Pool_->entryDied(Vm, Last);
  }
  AliveEntries_ = std::move(Now);
}

void EntryRole::drain() {
  Draining_ = true;
  MembersControl_.setDraining(true);
  Pool_->drain();
  if (Entry_ != nullptr)
    Entry_->drain();
}

void EntryRole::stop() { MembersControl_.stop(); }

std::size_t EntryRole::running() const {
  return Entry_ != nullptr ? Entry_->running() : 0;
}

Json::Value EntryRole::status() const {
  Json::Value Status(Json::objectValue);
  Status["running"] = static_cast<Json::UInt64>(running());
  Status["draining"] = Draining_;
  Status["trusted"] = Members_.trusted();
  Status["entries"] = Json::Value(Json::arrayValue);
  for (const membership::EntryInfo &Entry : Members_.entries()) {
    Json::Value Row(Json::objectValue);
    Row["vm"] = Entry.Configured.Vm.value();
    Row["state"] = membership::entryStateName(Entry.State);
    Row["version"] = static_cast<Json::UInt64>(Entry.InForce.value());
    Status["entries"].append(Row);
  }
  Status["pools"] = Json::Value(Json::arrayValue);
  for (const dispatch::PoolSummary &Pool : Pool_->summaries()) {
    Json::Value Row(Json::objectValue);
    Row["service"] = Pool.Service.value();
    Row["slots"] = Pool.Slots;
    Row["free"] = Pool.Free;
    Row["urgent_queued"] = Pool.UrgentQueued;
    Row["routine_queued"] = Pool.RoutineQueued;
    Status["pools"].append(Row);
  }
  return Status;
}

} // namespace geraniumbay::app
