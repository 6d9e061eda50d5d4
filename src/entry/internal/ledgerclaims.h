//===- ledgerclaims.h - Claims by the ledger module -------------*- C++ -*-===//
//
// Says what the ledger's replies mean for a submission.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_LEDGERCLAIMS_H
#define GERANIUMBAY_ENTRY_INTERNAL_LEDGERCLAIMS_H

#include "entry/internal/iclaims.h"
#include "framework/clock/itimers.h"
#include "ledger/iledgerclient.h"

namespace geraniumbay::entry {

/// IClaims over ILedgerClient.
class LedgerClaims : public IClaims {
public:
  LedgerClaims(ledger::ILedgerClient &Ledger, const IClock &Clock,
               ITimers &Timers)
      : Ledger_(Ledger), Clock_(Clock), Timers_(Timers) {}

  void claim(const Submission &Request, ClaimCallback Done) override;
  void record(const Submission &Request, const Result &Answer, Time GiveUpAt,
              RecordCallback Done) override;
  void release(const Submission &Request) override;

private:
  ledger::ILedgerClient &Ledger_;
  const IClock &Clock_;
  ITimers &Timers_;
};

/// What the outcome of a claim means for its submission.
ClaimEvent readClaimOutcome(const Outcome<ledger::ClaimReply> &Reply);

/// Reads a recorded answer. One that the ledger wrote itself, for a holder that
/// was lost, reads as CoordinatorLost.
Result readRecorded(const std::string &Text);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_LEDGERCLAIMS_H
