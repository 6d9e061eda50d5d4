//===- ledgerclient.h - An entry's way to the ledgers -----------*- C++ -*-===//
//
// Claims, answers and releases of one entry process. It keeps the list of what
// the entry holds, so that a submission is never granted to the same entry
// twice at a time, and renews its lease as long as the list is not empty.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_LEDGERCLIENT_H
#define GERANIUMBAY_LEDGER_INTERNAL_LEDGERCLIENT_H

#include "ledger/iledgerclient.h"
#include "ledger/internal/ledgercall.h"

#include <unordered_map>

namespace geraniumbay::ledger {

/// The client of one entry process.
class LedgerClient : public ILedgerClient {
public:
  LedgerClient(const LedgerClientConfig &Config, const IClock &Clock,
               ITimers &Timers, IRpcClient &Rpc, Holder Self);
  LedgerClient(const LedgerClient &) = delete;
  LedgerClient &operator=(const LedgerClient &) = delete;
  ~LedgerClient() override;

  void claim(const DataCentreId &Home, const SubmissionId &Submission,
             const std::string &Digest, Time Deadline,
             ClaimCallback Done) override;
  void record(const DataCentreId &Home, const SubmissionId &Submission,
              const std::string &Answer, Time Deadline,
              AnswerCallback Done) override;
  void release(const DataCentreId &Home, const SubmissionId &Submission,
               Time Deadline, ReleaseCallback Done) override;
  void applyView(const LedgerView &View) override;
  std::optional<Epoch> epochOf(const DataCentreId &Home) const override;

private:
  /// A submission that this entry claims, holds, answers or releases.
  struct Active {
    DataCentreId Home;
    std::uint64_t Attempt = 0;
    bool Releasing = false;
  };

  Json::Value claimParams(const SubmissionId &Submission,
                          const std::string &Digest, Time Deadline);
  void onClaimed(const SubmissionId &Submission,
                 const Outcome<Json::Value> &Result, const ClaimCallback &Done);
  void releaseInBackground(const SubmissionId &Submission,
                           const Active &Claimed);
  void begin(const DataCentreId &Home, const char *Method, Time Deadline,
             LedgerCall::MakeParams Params, LedgerCall::IsFinal Final,
             LedgerCall::Callback Done);
  void renewAll();

  std::shared_ptr<CallContext> Context_;
  const Holder Self_;
  std::unordered_map<SubmissionId, Active> Active_;
  std::uint64_t LastAttempt_ = 0;
  TimerId NextRenewal_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_LEDGERCLIENT_H
