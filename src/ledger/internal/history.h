//===- history.h - Which view wrote which part of the log -------*- C++ -*-===//
//
// Enough of the past of a log to tell whether another log is a prefix of it,
// and the last records, to bring a member up to date.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_HISTORY_H
#define GERANIUMBAY_LEDGER_INTERNAL_HISTORY_H

#include "ledger/internal/record.h"

#include <deque>
#include <vector>

namespace geraniumbay::ledger {

constexpr std::size_t DefaultMaxTail = 20'000;

/// The past of a log.
struct History {
  /// The first place of each writer, rising; what is before the first is
  /// unknown.
  std::vector<Position> Spans;
  Position Last;
  /// The last records. Invariant: they end at Last, one place after the other.
  std::deque<Record> Tail;
  /// More records than this are not kept; a member further behind gets a copy
  /// of the whole ledger.
  std::size_t MaxTail = DefaultMaxTail;
};

/// Starts the past anew at \p At, for instance behind a copied ledger.
void restart(History &Past, Position At);
/// Adds a record, which stands one place behind the last.
void extend(History &Past, const Record &Next);
/// Whether the log has a record at \p At, and so the same records before it.
bool contains(const History &Past, Position At);
/// Whether all records behind \p Index are still kept.
bool keepsAfter(const History &Past, std::uint64_t Index);
/// Up to \p Limit records behind \p Index, which are kept.
std::vector<Record> recordsAfter(const History &Past, std::uint64_t Index,
                                 std::size_t Limit);
/// The place \p Index, which is kept or the last.
Position positionOf(const History &Past, std::uint64_t Index);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_HISTORY_H
