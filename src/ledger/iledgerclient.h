//===- iledgerclient.h - An entry's way to the ledgers ----------*- C++ -*-===//
//
// What entries call to claim submissions at their home data centre and to
// record or release them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_ILEDGERCLIENT_H
#define GERANIUMBAY_LEDGER_ILEDGERCLIENT_H

#include "framework/errors/error.h"
#include "ledger/claim.h"
#include "ledger/ledgerview.h"

#include <functional>
#include <optional>

namespace geraniumbay::ledger {

/// Reaches the primary of a home data centre, over changes of its view, until a
/// deadline. Callbacks run once and never before the call returns.
///
/// Error codes: Unavailable: certainly not claimed (recorded, released), a
/// later try may succeed. Timeout: unknown; the ledger may have carried it out.
/// Conflict: this entry or claim has been replaced. InvalidArgument: refused.
class ILedgerClient {
public:
  using ClaimCallback = std::function<void(Outcome<ClaimReply>)>;
  /// Gets the recorded answer: the first one, perhaps not the caller's.
  using AnswerCallback = std::function<void(Outcome<std::string>)>;
  using ReleaseCallback = std::function<void(Outcome<Done>)>;

  virtual ~ILedgerClient() = default;

  /// Claims \p Submission of \p Home; a claim that another holds is waited for
  /// until \p Deadline. A claim of unknown outcome is released in the
  /// background; nothing of it may be started.
  virtual void claim(const DataCentreId &Home, const SubmissionId &Submission,
                     const std::string &Digest, Time Deadline,
                     ClaimCallback Done) = 0;
  /// Records \p Answer of a submission that this entry holds.
  virtual void record(const DataCentreId &Home, const SubmissionId &Submission,
                      const std::string &Answer, Time Deadline,
                      AnswerCallback Done) = 0;
  /// Releases a claim of which nothing was started.
  virtual void release(const DataCentreId &Home, const SubmissionId &Submission,
                       Time Deadline, ReleaseCallback Done) = 0;

  /// Takes a newer view of a data centre's ledger; an older one is ignored.
  virtual void applyView(const LedgerView &View) = 0;
  /// The epoch of \p Home's ledger, for new ids; nothing if it is not known.
  virtual std::optional<Epoch> epochOf(const DataCentreId &Home) const = 0;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_ILEDGERCLIENT_H
