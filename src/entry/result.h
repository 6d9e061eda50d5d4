//===- result.h - The one answer to a submission ----------------*- C++ -*-===//
//
// The answer that a caller gets and that the ledger keeps. It is complete or
// failed, never partial.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_RESULT_H
#define GERANIUMBAY_ENTRY_RESULT_H

#include "framework/clock/iclock.h"
#include "framework/errors/error.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace geraniumbay::entry {

/// Whether tasks of a failed submission were started.
enum class Ran {
  No,    ///< Certainly none, and none will be.
  Maybe, ///< At least one was or may have been.
};

/// Why a submission failed.
enum class FailureReason {
  None,              ///< It did not fail.
  BadRequest,        ///< The request is malformed.
  UnknownService,    ///< No such service is configured.
  UnknownCaller,     ///< No such caller is configured, or it is closed.
  TooManyTasks,      ///< More tasks than a job may have.
  TooLarge,          ///< A payload or the body is over its limit.
  NeverFits,         ///< No worker could ever run it.
  Overloaded,        ///< Shed before it started.
  NoWorkers,         ///< The service has no workers now.
  Draining,          ///< This entry is stopping; another one may take it.
  NotReady,          ///< This entry has no configuration yet.
  LedgerUnavailable, ///< The home ledger cannot take the claim now.
  KeyReused,         ///< The key belongs to another request.
  UnknownEpoch,      ///< The id is older than the ledger; it will not be run.
  HeldElsewhere,     ///< Another entry runs it and has no answer yet.
  DeadlineExceeded,  ///< It cannot be, or was not, done in time.
  TaskFailed,        ///< A worker answered that a task failed.
  WorkerLost,        ///< A worker was lost with a task out.
  Cancelled,         ///< The caller cancelled it.
  CoordinatorLost,   ///< The entry that ran it was lost.
  AnswerNotRecorded, ///< It ran, but the ledger cannot be reached; ask again.
};

/// Returns the stable lower-case name, as in answers and logs.
const char *failureReasonName(FailureReason Reason);

/// The answer to a submission.
struct Result {
  /// None if and only if it is complete.
  FailureReason Reason = FailureReason::None;
  /// Meaningful for a failed one only.
  Ran DidRun = Ran::No;
  /// When to come back; zero if that cannot help. Never stored.
  Duration RetryAfter{0};
  /// One line for people about a failure.
  std::string Detail;
  /// One answer for each task, in their order; empty for a failed one.
  std::vector<std::string> Answers;

  bool complete() const { return Reason == FailureReason::None; }
  bool operator==(const Result &) const = default;
};

/// A failed result of which nothing ran.
Result notRun(FailureReason Reason, std::string Detail,
              Duration RetryAfter = Duration::zero());
/// A failed result of which something may have run.
Result mayHaveRun(FailureReason Reason, std::string Detail);

/// Writes \p Answer as callers and the ledger see it, without the id.
Json::Value resultJson(const Result &Answer);
/// Reads what resultJson wrote; fails with Corrupt.
RetVal<Result> readResult(const Json::Value &Value);

/// Returns the HTTP status that tells \p Answer to a caller.
int httpStatus(const Result &Answer);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_RESULT_H
