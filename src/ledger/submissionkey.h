//===- submissionkey.h - Keys of submissions --------------------*- C++ -*-===//
//
// A submission is known by an id that the system issued, "dc.epoch.random", or
// by a key of its caller's own, "caller/key". The home data centre and epoch of
// an issued id stand in it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_SUBMISSIONKEY_H
#define GERANIUMBAY_LEDGER_SUBMISSIONKEY_H

#include "framework/random/random.h"
#include "framework/types/strongid.h"

#include <optional>
#include <string_view>

namespace geraniumbay::ledger {

/// An id that the system issued.
struct IssuedKey {
  DataCentreId Home;
  Epoch IssuedIn;
  std::uint64_t Number = 0;

  bool operator==(const IssuedKey &) const = default;
};

/// Writes \p Key as "dc.epoch.random", the random part as 16 hex digits.
SubmissionId formatIssuedKey(const IssuedKey &Key);

/// Reads an issued id; nothing if \p Text is anything else. The data centre's
/// name may have dots, but no '/'.
std::optional<IssuedKey> parseIssuedKey(std::string_view Text);

/// A new id of \p Home in its epoch.
SubmissionId issueKey(const DataCentreId &Home, Epoch Current, Random &Numbers);

/// A caller's own key, which only that caller can use.
SubmissionId callerKey(const CallerId &Caller, std::string_view Key);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_SUBMISSIONKEY_H
