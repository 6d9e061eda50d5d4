//===- book.h - Claims and answers of a data centre -------------*- C++ -*-===//
//
// The decision core of the ledger: what is known of each submission, and what
// is to be recorded and replied when one is claimed, answered or released. It
// knows no sockets, files or clocks.
//
// A decision is made on all records written so far, also those that are not
// durable yet: its reply must not leave before the record After is committed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_BOOK_H
#define GERANIUMBAY_LEDGER_INTERNAL_BOOK_H

#include "ledger/internal/record.h"

#include <map>
#include <set>
#include <unordered_map>

namespace geraniumbay::ledger {

/// What is known of one submission.
struct Entry {
  std::string Digest;
  Holder By;
  /// The holder's latest try. A release of an earlier one that comes late must
  /// not take the claim away.
  std::uint64_t Attempt = 0;
  std::optional<std::string> Answer;
  /// The last record about it.
  std::uint64_t Index = 0;
  /// When it was answered; 0 before.
  AgeMillis AnsweredAt = 0;

  bool operator==(const Entry &) const = default;
};

/// All submissions of a data centre.
struct Book {
  DataCentreId Home;
  Epoch Current;
  AgeMillis KeysRefusedUntil = 0;
  std::unordered_map<SubmissionId, Entry> Entries;
  /// Answered submissions in order of their answer, for retention.
  std::set<std::pair<AgeMillis, SubmissionId>> Answered;
};

/// What the primary has heard of the entries' processes. It is not durable: a
/// new primary gives every holder a whole lease.
struct Liveness {
  Duration Lease{std::chrono::seconds(10)};
  /// Holders not heard of count as heard of then.
  Time Since;
  struct Seen {
    Incarnation Newest;
    Time At;
  };
  std::map<VmId, Seen> Entries;
};

/// A decision: what to write, what to reply and after which record.
template <typename ReplyT> struct Decision {
  ReplyT Reply;
  /// To be written before the reply; its At and Age are still to be set.
  std::optional<Record> Write;
  /// The reply waits for this record, or for Write if there is one.
  std::uint64_t After = 0;
};

/// Notes a message of \p By. Returns false if \p By has been replaced by a
/// newer incarnation of the same entry.
bool noteSeen(Liveness &Known, const Holder &By, Time Now);
/// Whether \p By can not be running any more, or has been silent for a lease.
bool isDead(const Liveness &Known, const Holder &By, Time Now);

/// Decides on a claim. \p Age is the ledger's age; \p TakeOwnKeys is false if
/// callers' own keys must not be claimed anew at present. Fails with
/// Unavailable ("not run") or InvalidArgument.
RetVal<Decision<ClaimReply>> decideClaim(const Book &State,
                                         const Liveness &Known,
                                         const ClaimRequest &Request, Time Now,
                                         AgeMillis Age, bool TakeOwnKeys);
/// Decides on an answer; the reply is the one that counts. Fails with NotFound
/// or Conflict.
RetVal<Decision<std::string>> decideAnswer(const Book &State,
                                           const AnswerRequest &Request);
/// Decides on a release. Fails with Conflict if it is not to be released.
RetVal<Decision<Done>> decideRelease(const Book &State,
                                     const ReleaseRequest &Request);

/// Carries out \p Written.
void apply(Book &State, const Record &Written);
/// Forgets submissions that were answered before \p Before.
void expire(Book &State, AgeMillis Before);
/// The record that restates \p Known of \p Submission.
Record restate(const SubmissionId &Submission, const Entry &Known);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_BOOK_H
