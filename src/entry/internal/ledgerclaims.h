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

#include <unordered_map>

namespace geraniumbay::entry {

/// IClaims over ILedgerClient. The client tries a claim again and again until
/// its deadline, also when it is released meanwhile. So a release waits for the
/// end of the claim, and no second claim of the submission is made before.
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
  /// What a claim is about, without the payloads.
  struct Wanted {
    DataCentreId Home;
    SubmissionId Id;
    std::string Digest;
    Time Deadline;
  };

  void ask(const Wanted &Claim, ClaimCallback Done);
  /// A claim whose outcome is not known yet.
  struct Pending {
    /// Nobody wants it any more: if it is granted, it is given back.
    bool Released = false;
  };

  void claimed(const DataCentreId &Home, const SubmissionId &Id,
               const Outcome<ledger::ClaimReply> &Reply);
  void giveBack(const DataCentreId &Home, const SubmissionId &Id);

  ledger::ILedgerClient &Ledger_;
  const IClock &Clock_;
  ITimers &Timers_;
  // Invariant: holds exactly the submissions whose claim was sent and has not
  // come back.
  std::unordered_map<SubmissionId, Pending> Pending_;
};

/// What the outcome of a claim means for its submission.
ClaimEvent readClaimOutcome(const Outcome<ledger::ClaimReply> &Reply);

/// Reads a recorded answer. One that the ledger wrote itself, for a holder that
/// was lost, reads as CoordinatorLost.
Result readRecorded(const std::string &Text);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_LEDGERCLAIMS_H
