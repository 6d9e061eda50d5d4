//===- claim.h - What is said about a submission ----------------*- C++ -*-===//
//
// Plain types of claims, answers, releases and their outcomes.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_CLAIM_H
#define GERANIUMBAY_LEDGER_CLAIM_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <string>

namespace geraniumbay::ledger {

/// The entry process that claims: a restart makes another one.
struct Holder {
  VmId Entry;
  Incarnation Start;

  auto operator<=>(const Holder &) const = default; // NOLINT
  bool operator==(const Holder &) const = default;
};

/// A wish to run a submission.
struct ClaimRequest {
  SubmissionId Submission;
  /// Digest of the request, to tell a resubmission from a reused key.
  std::string Digest;
  Holder By;
  /// Rises with each try of the holder; a try that was released is refused.
  std::uint64_t Attempt = 0;
  /// How long to wait for the answer if another holds the claim.
  Duration Wait{0};
};

/// What became of a claim.
enum class ClaimState {
  Granted,      ///< Durable: the claimant, and nobody else, may run it.
  Answered,     ///< It has an answer.
  Held,         ///< Another holds it and has not answered yet.
  Mismatch,     ///< The key was used for another request.
  UnknownEpoch, ///< An id of before a loss; it will never be run.
};

/// The reply to a claim.
struct ClaimReply {
  ClaimState State = ClaimState::Held;
  /// The recorded answer, if State is Answered.
  std::string Answer;

  bool operator==(const ClaimReply &) const = default;
};

/// An answer to be recorded. Text in UTF-8.
struct AnswerRequest {
  SubmissionId Submission;
  Holder By;
  std::string Answer;
};

/// Gives up a claim of which nothing was started.
struct ReleaseRequest {
  SubmissionId Submission;
  Holder By;
  /// Tries up to this one are given up.
  std::uint64_t Attempt = 0;
};

/// The answer that the ledger records for a submission whose holder died.
constexpr const char *HolderLostAnswer =
    R"({"failed":"holder_lost","may_have_run":true})";

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_CLAIM_H
