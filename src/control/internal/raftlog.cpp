//===- raftlog.cpp - The log in memory ------------------------------------===//
//
// Index arithmetic over the snapshot and the entries after it.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raftlog.h"

#include <cassert>

namespace geraniumbay::control {

namespace {

constexpr std::size_t MaxEntriesInMessage = 64;
constexpr std::size_t MaxBytesInMessage = std::size_t{1} << 20U;
constexpr std::size_t EntryOverhead = 128;

std::size_t positionOf(const RaftLog &Log, LogIndex Index) {
  return Index.value() - Log.Base.Last.value() - 1;
}

} // namespace

LogIndex lastIndex(const RaftLog &Log) {
  return LogIndex(Log.Base.Last.value() + Log.Entries.size());
}

Term lastTerm(const RaftLog &Log) {
  return Log.Entries.empty() ? Log.Base.LastTerm : Log.Entries.back().At;
}

std::optional<Term> termAt(const RaftLog &Log, LogIndex Index) {
  if (Index < Log.Base.Last || Index > lastIndex(Log))
    return std::nullopt;
  if (Index == Log.Base.Last)
    return Log.Base.LastTerm;
  return entryAt(Log, Index).At;
}

const LogEntry &entryAt(const RaftLog &Log, LogIndex Index) {
  assert(Index > Log.Base.Last && Index <= lastIndex(Log));
  return Log.Entries[positionOf(Log, Index)];
}

std::vector<LogEntry> entriesAfter(const RaftLog &Log, LogIndex Previous) {
  std::vector<LogEntry> Result;
  std::size_t Bytes = 0;
  for (LogIndex I = next(Previous); I <= lastIndex(Log); I = next(I)) {
    const LogEntry &Entry = entryAt(Log, I);
    Bytes += weightOf(Entry);
    bool Full =
        Result.size() == MaxEntriesInMessage || Bytes > MaxBytesInMessage;
    if (Full && !Result.empty())
      break;
    Result.push_back(Entry);
  }
  return Result;
}

void truncateFrom(RaftLog &Log, LogIndex Index) {
  assert(Index > Log.Base.Last);
  if (Index <= lastIndex(Log))
    Log.Entries.resize(positionOf(Log, Index));
}

LoggedMembership latestMembership(const RaftLog &Log) {
  return membershipAt(Log, lastIndex(Log));
}

LoggedMembership membershipAt(const RaftLog &Log, LogIndex Index) {
  for (LogIndex I = Index; I > Log.Base.Last; I = previous(I))
    if (const auto *Members = std::get_if<Membership>(&entryAt(Log, I).Body))
      return {*Members, I};
  return {Log.Base.Members, Log.Base.Last};
}

void compact(RaftLog &Log, Snapshot State) {
  assert(termAt(Log, State.Last) == State.LastTerm);
  auto End = Log.Entries.begin() +
             static_cast<std::ptrdiff_t>(positionOf(Log, next(State.Last)));
  Log.Entries.erase(Log.Entries.begin(), End);
  Log.Base = std::move(State);
}

void installSnapshot(RaftLog &Log, Snapshot State) {
  if (termAt(Log, State.Last) == State.LastTerm) {
    compact(Log, std::move(State));
    return;
  }
  Log.Entries.clear();
  Log.Base = std::move(State);
}

std::size_t weightOf(const LogEntry &Entry) {
  const auto *Change = std::get_if<ConfigChange>(&Entry.Body);
  const auto *Batch = std::get_if<ModuleBatch>(&Entry.Body);
  return EntryOverhead + (Change ? Change->Document.size() : 0) +
         (Batch ? Batch->Changes.size() : 0);
}

} // namespace geraniumbay::control
