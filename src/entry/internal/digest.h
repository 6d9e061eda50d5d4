//===- digest.h - Digests of submissions ------------------------*- C++ -*-===//
//
// SHA-256 digests: to tell a resubmission from a reused key, and to name tasks
// at workers without giving a caller's key away.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_DIGEST_H
#define GERANIUMBAY_ENTRY_INTERNAL_DIGEST_H

#include "entry/submission.h"

#include <string_view>

namespace geraniumbay::entry {

/// Returns the SHA-256 of \p Text in lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

/// Returns the digest of what \p Request asks for, without its id and times.
std::string requestDigest(const Submission &Request);

/// Returns the first part of the ids of the tasks of \p Request at workers: the
/// same for every resubmission.
std::string taskPrefix(const Submission &Request);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_DIGEST_H
