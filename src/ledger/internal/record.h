//===- record.h - Records of the ledger -------------------------*- C++ -*-===//
//
// What the ledger writes to disk and sends to its members, as one line of JSON.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_RECORD_H
#define GERANIUMBAY_LEDGER_INTERNAL_RECORD_H

#include "framework/errors/error.h"
#include "ledger/claim.h"
#include "ledger/ledgerview.h"

#include <json/value.h>
#include <optional>
#include <string_view>

namespace geraniumbay::ledger {

/// The age of a ledger in milliseconds: how long it has been running, over all
/// restarts. It follows the monotonic clock, so that a step of the wall clock
/// can neither shorten the retention nor the time that keys are refused.
using AgeMillis = std::uint64_t;

/// The place of a record in the log, and who wrote it. A view has one primary,
/// each start of which is a run of its own, and a member takes a record only
/// behind the same place: so equal positions mean equal logs up to there.
struct Position {
  std::uint64_t Index = 0;
  ViewNumber View;
  /// Counts the starts of the primary. A restart may have lost records that
  /// were sent but not synced, and writes others in their places.
  std::uint64_t Run = 0;

  /// Whether the same run of the same primary wrote both.
  bool sameWriter(const Position &Other) const {
    return View == Other.View && Run == Other.Run;
  }

  bool operator==(const Position &) const = default;
};

/// What a record says.
enum class RecordKind {
  Claim,   ///< By claims Submission.
  Answer,  ///< Submission has its answer.
  Release, ///< Submission is no longer claimed.
  Epoch,   ///< NewEpoch begins; own keys are refused until RefuseUntil.
  Entry,   ///< Restates a claim and its answer, if any; not a place in the log.
  Head,    ///< Begins a file: the place in the log and the ledger's state.
};

/// One record. Which fields matter depends on Kind.
struct Record {
  RecordKind Kind = RecordKind::Claim;
  Position At;
  AgeMillis Age = 0;
  SubmissionId Submission;
  std::string Digest;
  Holder By;
  /// The holder's try that this claim is of.
  std::uint64_t Attempt = 0;
  std::optional<std::string> Answer;
  Epoch NewEpoch;
  AgeMillis RefuseUntil = 0;

  bool operator==(const Record &) const = default;
};

Json::Value toJson(const Record &Value);
RetVal<Record> recordFromJson(const Json::Value &Value);

/// Writes \p Value as the payload of a framed record.
std::string encode(const Record &Value);
/// Reads a payload; fails with Corrupt.
RetVal<Record> decode(std::string_view Payload);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_RECORD_H
