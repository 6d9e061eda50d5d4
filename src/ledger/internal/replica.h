//===- replica.h - One copy of the ledger -----------------------*- C++ -*-===//
//
// What a ledger process holds: the disk's journal, the claims that follow from
// it, the view it is in and its part in it. Primary and member work on it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_REPLICA_H
#define GERANIUMBAY_LEDGER_INTERNAL_REPLICA_H

#include "framework/random/random.h"
#include "ledger/internal/journal.h"
#include "ledger/ledgerconfig.h"

namespace geraniumbay::ledger {

/// The part of a process in its view.
enum class Role {
  Outsider, ///< In no view, or not in the latest: joins as a new member.
  Member,   ///< Holds every committed record and follows the primary.
  Primary,
};

/// One copy of the ledger.
class Replica {
public:
  Replica(const LedgerConfig &Config, const IClock &Clock, IStorage &Storage,
          Random &Numbers, Journal::Synced OnSynced);

  /// Reads the disk; one that is empty or has lost data becomes a new disk.
  /// After an Io failure the replica serves nothing.
  Ret open();

  /// After a failed sync: writes all claims anew, after which the replica takes
  /// records again. A copy that is coming in is given up.
  Ret repair();

  /// Takes a view handed out by control, durably. Returns whether it is newer.
  RetVal<bool> applyView(const LedgerView &Next);
  /// Remembers durably that \p Member is to be added to the view.
  Ret setJoining(const LedgerMember &Member);

  /// Appends a record of the primary; sets its place and age.
  RetVal<std::uint64_t> appendOwn(Record Next);
  /// Appends records that the primary sent; they follow the last one here.
  Ret appendCopied(const std::vector<Record> &Records);
  /// Takes a copy of the primary's ledger: a head and entries in parts.
  Ret beginCopy(const Record &Head);
  Ret addToCopy(const std::vector<Record> &Entries);
  Ret finishCopy();

  /// Forgets what is older than the retention and compacts the log.
  void prune();

  Role role() const;
  const LedgerMember &self() const { return Meta_.Self; }
  /// Counts the starts on this disk, this one included.
  std::uint64_t run() const { return Meta_.Run; }
  const std::optional<LedgerView> &view() const { return Meta_.View; }
  const std::optional<LedgerMember> &joining() const { return Meta_.Joining; }
  const Book &claims() const { return Claims_; }
  History &past() { return Past_; }
  const History &past() const { return Past_; }
  std::uint64_t durableIndex() const { return Journal_.durableIndex(); }
  bool failed() const { return Failed_ || Journal_.failed(); }
  /// Why a sync has failed; empty if none has.
  const std::string &failure() const { return Journal_.failure(); }
  const JournalStats &stats() const { return Journal_.stats(); }
  /// The ledger's age now.
  AgeMillis age() const;
  /// Whether callers' own keys may be claimed anew: control has confirmed this
  /// view since this process started, and not too long ago.
  bool takesOwnKeys() const;
  /// The Head record of a copy of this ledger.
  Record head() const;

private:
  /// What is written to the meta file.
  struct Identity {
    LedgerMember Self;
    std::uint64_t Run = 0;
    std::optional<LedgerView> View;
    std::optional<LedgerMember> Joining;
  };

  Ret formatDisk();
  Ret saveMeta(const Identity &Next);
  Meta metaOf(const Identity &From) const;
  HeadState headState() const;
  void raiseAge(AgeMillis To);
  Ret beginEpoch();

  const LedgerConfig &Config_;
  const IClock &Clock_;
  Random &Numbers_;
  Journal Journal_;
  Identity Meta_;
  Book Claims_;
  History Past_;
  /// The age at AgeFrom_; it grows with the monotonic clock.
  AgeMillis AgeBase_ = 0;
  Time AgeFrom_;
  std::optional<Time> ConfirmedAt_;
  bool Failed_ = true;
  /// The copy that is coming in.
  Book Copy_;
  Record CopyHead_;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_REPLICA_H
