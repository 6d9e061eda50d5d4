//===- submission.h - What a caller asks for --------------------*- C++ -*-===//
//
// A checked submission, as the caller's interface hands it on.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_SUBMISSION_H
#define GERANIUMBAY_ENTRY_SUBMISSION_H

#include "dispatch/types.h"
#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <string>
#include <vector>

namespace geraniumbay::entry {

/// A checked submission: a job, or a single task.
struct Submission {
  /// The key under which it is claimed; unused for a repeatable single task.
  SubmissionId Id;
  /// The data centre whose ledger decides about it.
  DataCentreId Home;
  /// SHA-256 of the request, to tell a resubmission from a reused key.
  std::string Digest;
  CallerId Caller;
  TeamId Team;
  ServiceId Service;
  dispatch::WorkClass Class = dispatch::WorkClass::Routine;
  /// Whether it may run more than once; always false for a job.
  bool Repeatable = false;
  /// When the answer is of no use any more.
  Time Deadline;
  /// Run time of one task as declared; zero if not declared.
  Duration DeclaredRun{0};
  /// Whether the caller says that it never submitted under this key before. If
  /// not, only the ledger knows whether the submission ran.
  bool First = false;
  /// Whether the caller comes back after a Retry-After.
  bool Returning = false;
  /// One payload for each task; at least one.
  std::vector<std::string> Payloads;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_SUBMISSION_H
