//===- ledgerservice.h - A ledger process -----------------------*- C++ -*-===//
//
// Puts the parts of a ledger together: offers its methods to entries and other
// ledgers, and drives the parts by a timer.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_LEDGERSERVICE_H
#define GERANIUMBAY_LEDGER_INTERNAL_LEDGERSERVICE_H

#include "framework/clock/itimers.h"
#include "framework/rpc/irpcserver.h"
#include "ledger/iledger.h"
#include "ledger/internal/follower.h"
#include "ledger/internal/primary.h"

namespace geraniumbay::ledger {

/// One ledger process.
class LedgerService : public ILedger {
public:
  LedgerService(const LedgerConfig &Config, const IClock &Clock,
                ITimers &Timers, IStorage &Storage, IRpcServer &Server,
                IRpcClient &Client, const ProposeView &Propose,
                std::uint64_t Seed);
  LedgerService(const LedgerService &) = delete;
  LedgerService &operator=(const LedgerService &) = delete;
  ~LedgerService() override;

  Ret start() override;
  void applyView(const LedgerView &View) override;
  LedgerStatus status() override;

private:
  void offerMethods(IRpcServer &Server);
  void offerToEntries(IRpcServer &Server);
  void offerToLedgers(IRpcServer &Server);
  void onSynced();
  void onTick();
  /// Logs a failure of the disk and tries to write the ledger anew.
  void watchDisk();
  void notePause();
  void onViewChanged();

  const LedgerConfig Config_;
  const IClock &Clock_;
  ITimers &Timers_;
  Random Numbers_;
  Replica Replica_;
  Replicator Replicator_;
  Primary Primary_;
  Follower Follower_;
  TimerId NextTick_;
  Time LastTick_;
  bool Started_ = false;
  /// Since when the disk has failed.
  std::optional<Time> FailedSince_;
  Time RepairAt_;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_LEDGERSERVICE_H
