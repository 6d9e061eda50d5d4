//===- raftlog.h - The log in memory ----------------------------*- C++ -*-===//
//
// The entries after the latest snapshot, with free functions over them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_RAFTLOG_H
#define GERANIUMBAY_CONTROL_INTERNAL_RAFTLOG_H

#include "control/internal/rafttypes.h"

namespace geraniumbay::control {

struct RaftLog {
  Snapshot Base;
  /// Invariant: Entries[I] has the index Base.Last + 1 + I.
  std::vector<LogEntry> Entries;
};

LogIndex lastIndex(const RaftLog &Log);
Term lastTerm(const RaftLog &Log);

/// Returns the term of entry \p Index, or nothing if the log does not hold it
/// (it is after the end, or before the snapshot's last entry).
std::optional<Term> termAt(const RaftLog &Log, LogIndex Index);

/// Returns the entry \p Index, which the log holds after its snapshot.
const LogEntry &entryAt(const RaftLog &Log, LogIndex Index);

/// Returns the first entries after \p Previous, within the limits of one
/// message. \p Previous is not before the snapshot's last entry.
std::vector<LogEntry> entriesAfter(const RaftLog &Log, LogIndex Previous);

/// Drops the entry \p Index and all after it.
void truncateFrom(RaftLog &Log, LogIndex Index);

/// The latest membership in the log and the index of its entry.
struct LoggedMembership {
  Membership Members;
  LogIndex Index;
};

LoggedMembership latestMembership(const RaftLog &Log);

/// The membership as of entry \p Index, which is not before the snapshot.
LoggedMembership membershipAt(const RaftLog &Log, LogIndex Index);

/// Replaces all entries up to the last of \p State, which the log holds, by
/// \p State.
void compact(RaftLog &Log, Snapshot State);

/// Takes a leader's snapshot: keeps the entries after it if the log agrees
/// with its last entry, and drops them otherwise.
void installSnapshot(RaftLog &Log, Snapshot State);

/// An estimate of the bytes that \p Entry takes in a message.
std::size_t weightOf(const LogEntry &Entry);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_RAFTLOG_H
