//===- primary.h - Claims at the primary ------------------------*- C++ -*-===//
//
// Takes entries' requests, has the decisions of book.h written, and replies
// when they are committed.
//
// Errors of replies: Refused: certainly not carried out, come back later.
// Timeout: written, but not known to be committed. Conflict, NotFound and
// InvalidArgument: refused for good.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_PRIMARY_H
#define GERANIUMBAY_LEDGER_INTERNAL_PRIMARY_H

#include "ledger/internal/book.h"
#include "ledger/internal/replica.h"
#include "ledger/internal/replicator.h"

#include <map>

namespace geraniumbay::ledger {

/// Serves entries.
class Primary {
public:
  template <typename T> using Reply = std::function<void(const Outcome<T> &)>;

  Primary(const LedgerConfig &Config, const IClock &Clock, Replica &Copy,
          Replicator &Others);

  void claim(const ClaimRequest &Request, Reply<ClaimReply> Answer);
  void record(const AnswerRequest &Request, Reply<std::string> Answer);
  void release(const ReleaseRequest &Request, Reply<Done> Answer);
  void renew(const Holder &By, const Reply<Epoch> &Answer);

  /// Replies to what has been committed.
  void onProgress();
  void viewChanged();
  void tick();
  /// Takes the silence of the past for the process's own.
  void forgiveSilence();

  /// Figures for metrics.
  std::size_t waitingReplies() const { return Waiting_.size(); }

private:
  /// A reply that waits for a record to be committed.
  struct Waiter {
    Time Deadline;
    std::function<void(bool Committed)> Finish;
  };
  /// A claimant that waits for the answer of another.
  struct Parked {
    ClaimRequest Request;
    Time Deadline;
    Reply<ClaimReply> Answer;
  };
  /// The tries of a holder that were released, for those that come late.
  struct Released {
    std::uint64_t Attempt = 0;
    Time At;
  };
  using ReleaseKey = std::pair<SubmissionId, Holder>;

  std::optional<Error> refusal(const Holder &By);
  template <typename T>
  void finish(const Outcome<Decision<T>> &Made, Reply<T> Answer);
  template <typename T>
  void waitFor(std::uint64_t Index, T Value, Reply<T> Answer);
  bool wasReleased(const ClaimRequest &Request) const;
  void park(const ClaimRequest &Request, const Reply<ClaimReply> &Answer);
  void wake(const SubmissionId &Submission);
  void recheckParked();

  const LedgerConfig &Config_;
  const IClock &Clock_;
  Replica &Replica_;
  Replicator &Replicator_;
  Liveness Alive_;
  std::multimap<std::uint64_t, Waiter> Waiting_;
  std::unordered_multimap<SubmissionId, Parked> Parked_;
  std::map<ReleaseKey, Released> Released_;
  Time LastRecheck_;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_PRIMARY_H
