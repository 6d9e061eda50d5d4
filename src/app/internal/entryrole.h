//===- entryrole.h - A process that takes callers' requests -----*- C++ -*-===//
//
// Sets up membership, announcements, pool and entry, in that order, and opens
// the callers' address once the membership is trusted: before that this process
// does not know whether it has replaced an earlier one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_ENTRYROLE_H
#define GERANIUMBAY_APP_INTERNAL_ENTRYROLE_H

#include "app/internal/baseservices.h"
#include "control/configtypes.h"
#include "dispatch/ipoolowner.h"
#include "entry/ientry.h"
#include "ledger/iledgerclient.h"
#include "membership/imembership.h"
#include "membership/imembershipcontrol.h"

#include <map>

namespace geraniumbay::app {

/// The entry role of a process.
class EntryRole {
public:
  /// All arguments outlive the role.
  EntryRole(Registry &Services, BaseServices &Base,
            const inventory::ProcessSettings &Settings);

  /// Begins to talk to the other entries.
  void start();
  /// Puts a configuration in force.
  void apply(const control::ConfigSnapshot &Snapshot,
             const std::shared_ptr<const inventory::Document> &Document);
  /// Takes no new work; the balancer's check fails from now on.
  void drain();
  /// Tells the other entries that this one has gone.
  void stop();
  /// Submissions without an answer.
  std::size_t running() const;
  /// What status shows of the role.
  Json::Value status() const;

private:
  void openWhenTrusted();
  /// Opens the callers' address; tries again while something else holds it.
  void listenForCallers();
  void applyToEntry();
  void watchEntries();

  Registry &Services_;
  BaseServices &Base_;
  const inventory::ProcessSettings &Settings_;
  membership::IMembership &Members_;
  membership::IMembershipControl &MembersControl_;
  dispatch::IPoolOwner *Pool_ = nullptr;
  ledger::ILedgerClient *Ledger_ = nullptr;
  /// Null until the membership was trusted for the first time.
  entry::IEntry *Entry_ = nullptr;
  bool Draining_ = false;
  control::ConfigSnapshot Snapshot_;
  std::shared_ptr<const inventory::Document> Document_;
  /// The newest incarnation seen of each entry that was alive.
  std::map<VmId, Incarnation> AliveEntries_;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_ENTRYROLE_H
