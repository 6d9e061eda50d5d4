//===- ledgerrole.cpp - A process that keeps a ledger ---------------------===//
//
// Between the ledger and control.
//
//===----------------------------------------------------------------------===//

#include "app/internal/ledgerrole.h"

#include "app/internal/configuration.h"
#include "app/internal/datafolder.h"
#include "framework/log/log.h"
#include "ledger/ledgersetup.h"

namespace geraniumbay::app {

LedgerRole::LedgerRole(Registry &Services, BaseServices &Base,
                       const inventory::ProcessSettings &Settings,
                       control::IConfigSource &Source,
                       control::IControlClient &Control)
    : Services_(Services), Base_(Base), Settings_(Settings), Source_(Source),
      Control_(Control) {}

Ret LedgerRole::open() {
  BOOST_LEAF_AUTO(
      Storage,
      openRoleFolder(Base_.Loop, Settings_.Process.DataFolder, "ledger"));
  Services_.add<IStorage>(ledger::service_name::LedgerStorage, Storage);
  return {};
}

void LedgerRole::apply(
    const std::shared_ptr<const inventory::Document> &Document) {
  Document_ = Document;
  if (Ledger_ == nullptr)
    begin();
}

void LedgerRole::takeView() {
  const DataCentreId &Own = Settings_.Process.DataCentre;
  const control::LedgerViews &Views = Source_.current().Ledgers;
  auto View = Views.find(Own);
  if (Ledger_ != nullptr && View != Views.end())
    Ledger_->applyView(ledgerView(Own, View->second, Document_->Inv));
}

void LedgerRole::begin() {
  ledger::LedgerConfig Config;
  Config.DataCentre = Settings_.Process.DataCentre;
  Config.Vm = Settings_.Process.Vm;
  Config.Retention = Document_->Rule.Retention;
  ledger::setupLedger(
      Services_, Config,
      [this](const ledger::ViewProposal &Proposal) { propose(Proposal); },
      Base_.Numbers.bits());
  Ledger_ = &Services_.get<ledger::ILedger>(ledger::service_name::Ledger);
  auto Started = attempt([this] { return Ledger_->start(); });
  if (!Started.ok())
    logEvent(LogLevel::Error, "app", "ledger_not_started",
             {{"reason", Started.error().Message}});
}

void LedgerRole::propose(const ledger::ViewProposal &Proposal) {
  Control_.changeLedger(ledgerChange(Proposal),
                        [this](const Outcome<control::LedgerAnswer> &Answer) {
                          if (Answer.ok())
                            return Source_.refresh();
                          logEvent(LogLevel::Info, "app",
                                   "ledger_change_not_made",
                                   {{"reason", Answer.error().Message}});
                        });
}

Json::Value LedgerRole::status() const {
  Json::Value Status(Json::objectValue);
  if (Ledger_ == nullptr)
    return Status;
  ledger::LedgerStatus Now = Ledger_->status();
  Status["view"] = static_cast<Json::UInt64>(Now.View.value());
  Status["epoch"] = static_cast<Json::UInt64>(Now.Current.value());
  Status["primary"] = Now.IsPrimary;
  Status["member"] = Now.IsMember;
  Status["failed"] = Now.Failed;
  Status["stalled"] = Now.Stalled;
  Status["submissions"] = static_cast<Json::UInt64>(Now.Submissions);
  Status["records"] = static_cast<Json::UInt64>(Now.Records);
  Status["syncs"] = static_cast<Json::UInt64>(Now.Syncs);
  return Status;
}

} // namespace geraniumbay::app
