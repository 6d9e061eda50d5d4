//===- ledgerrole.h - A process that keeps a ledger -------------*- C++ -*-===//
//
// Sets up the ledger of this process and takes its proposals to control.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_LEDGERROLE_H
#define GERANIUMBAY_APP_INTERNAL_LEDGERROLE_H

#include "app/internal/baseservices.h"
#include "control/iconfigsource.h"
#include "control/icontrolclient.h"
#include "inventory/document.h"
#include "ledger/iledger.h"

namespace geraniumbay::app {

/// The ledger role of a process.
class LedgerRole {
public:
  /// All arguments outlive the role.
  LedgerRole(Registry &Services, BaseServices &Base,
             const inventory::ProcessSettings &Settings,
             control::IConfigSource &Source, control::IControlClient &Control);

  /// Opens the folder of the ledger. To be called before apply().
  Ret open();
  /// Takes the ledger's view. The ledger begins with the first configuration,
  /// which says how long answers are kept.
  void apply(const control::ConfigSnapshot &Snapshot,
             const inventory::Document &Document);
  /// What status shows of the role.
  Json::Value status() const;

private:
  void begin(const inventory::Document &Document);
  void propose(const ledger::ViewProposal &Proposal);

  Registry &Services_;
  BaseServices &Base_;
  const inventory::ProcessSettings &Settings_;
  control::IConfigSource &Source_;
  control::IControlClient &Control_;
  /// Null until the first configuration.
  ledger::ILedger *Ledger_ = nullptr;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_LEDGERROLE_H
