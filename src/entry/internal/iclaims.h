//===- iclaims.h - What the coordinator needs of the ledger -----*- C++ -*-===//
//
// Claims, answers and releases of submissions, in the entry's own words.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_ICLAIMS_H
#define GERANIUMBAY_ENTRY_INTERNAL_ICLAIMS_H

#include "entry/internal/job.h"

#include <functional>
#include <optional>

namespace geraniumbay::entry {

/// Makes and keeps the claims of this entry. Callbacks run once, and never
/// before the call that caused them returns.
class IClaims {
public:
  using ClaimCallback = std::function<void(const ClaimEvent &)>;
  /// Gets the recorded answer, or nothing if the ledger was not reached.
  using RecordCallback = std::function<void(const std::optional<Result> &)>;

  virtual ~IClaims() = default;

  /// Claims \p Request at its home until its deadline at the latest.
  virtual void claim(const Submission &Request, ClaimCallback Done) = 0;
  /// Records \p Answer; tries until \p GiveUpAt before it calls \p Done with
  /// nothing, and goes on trying after that.
  virtual void record(const Submission &Request, const Result &Answer,
                      Time GiveUpAt, RecordCallback Done) = 0;
  /// Gives up a claim of which nothing was started, also one that is still
  /// under way.
  virtual void release(const Submission &Request) = 0;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_ICLAIMS_H
