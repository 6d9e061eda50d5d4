//===- admission.h - Checking a request -------------------------*- C++ -*-===//
//
// Turns the body of a caller's request into a checked submission, or into the
// failure that tells what is wrong. Everything refused here did not run.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_ADMISSION_H
#define GERANIUMBAY_ENTRY_INTERNAL_ADMISSION_H

#include "entry/entryconfig.h"
#include "entry/result.h"
#include "entry/submission.h"

#include <variant>

namespace geraniumbay::entry {

/// What a caller sent.
struct RawRequest {
  /// The body, not yet read.
  std::string Body;
  /// The Idempotency-Key; may be empty.
  std::string Key;
  /// Whether the caller asked for one task, which may be repeatable.
  bool SingleTask = false;
};

/// The longest Idempotency-Key, in bytes.
constexpr std::size_t MaxKeyLength = 128;

using Admission = std::variant<Submission, Result>;

/// Checks \p Raw against \p Config. \p FreshKey names a repeatable task, which
/// comes without a key.
Admission admit(const RawRequest &Raw, const EntryConfig &Config,
                const SubmissionId &FreshKey, Time Now);

/// The answer to a request that this entry does not take now. Under a key, an
/// earlier submission may have run: the ledger was not asked.
Result notTaken(const RawRequest &Raw, FailureReason Reason,
                std::string Detail);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_ADMISSION_H
