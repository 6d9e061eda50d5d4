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
  /// Takes a configuration. The ledger begins with the first one, which says
  /// how long answers are kept.
  void apply(const std::shared_ptr<const inventory::Document> &Document);
  /// Gives the ledger its view. To be called when control has changed or
  /// confirmed it, never for a copy of old: a ledger that control has not
  /// confirmed for long refuses callers' own keys.
  void takeView();
  /// What status shows of the role.
  Json::Value status() const;

private:
  void begin();
  void propose(const ledger::ViewProposal &Proposal);

  Registry &Services_;
  BaseServices &Base_;
  const inventory::ProcessSettings &Settings_;
  control::IConfigSource &Source_;
  control::IControlClient &Control_;
  /// What is in force; null before the first configuration.
  std::shared_ptr<const inventory::Document> Document_;
  /// Null until the first configuration.
  ledger::ILedger *Ledger_ = nullptr;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_LEDGERROLE_H
