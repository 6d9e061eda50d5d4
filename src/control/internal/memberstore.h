//===- memberstore.h - A member's files -------------------------*- C++ -*-===//
//
// What a control member keeps on its disk:
//
//   member    its generation and hard state, replaced as a whole
//   snapshot  the latest snapshot, replaced as a whole
//   log-N     the entries after the snapshot that ends with entry N
//
// A log file starts with a record that names the generation; entries are only
// appended. An entry with the index of an earlier one and another term takes
// back that one and all after it, so the file is never cut while in use.
//
// The folder counts as lost when it is empty or does not check (a missing or
// damaged file; a torn tail of the log is none, it was never acknowledged). A
// lost folder gets a new generation, so the member starts as a new one. What
// is left of a corrupt folder is kept under names that start with "lost-".
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_MEMBERSTORE_H
#define GERANIUMBAY_CONTROL_INTERNAL_MEMBERSTORE_H

#include "control/internal/raft.h"
#include "framework/storage/istorage.h"

namespace geraniumbay::control {

/// What a member starts from.
struct RecoveredMember {
  Generation Disk;
  HardState Hard;
  RaftLog Log;
  /// Why the folder was given up, if it was corrupt.
  std::optional<Error> Damage;
};

/// Reads and writes the files of one member.
class MemberStore {
public:
  using Callback = std::function<void(Outcome<Done>)>;

  /// \p Fresh is the generation to take if the folder is lost; it must not
  /// have been used before.
  MemberStore(IStorage &Storage, Generation Fresh)
      : Storage_(Storage), Fresh_(Fresh) {}

  /// Reads the folder; makes a new member if it is lost. Fails with Io if the
  /// disk cannot be used.
  RetVal<RecoveredMember> recover();

  /// Makes what \p What names of \p State durable, then calls \p Done, perhaps
  /// before persist() returns. After a failure only rewrite() may be called. No
  /// call may start before the one before it is done.
  void persist(const RaftState &State, const Persist &What, Callback Done);

  /// Writes all of \p State into new files after a failure, and relies on
  /// nothing that the folder holds: a later sync of a file may succeed without
  /// the bytes that an earlier one has failed to write. Blocks. May be called
  /// again after it has failed.
  Ret rewrite(const RaftState &State);

private:
  RetVal<RecoveredMember> read();
  Ret readLog(RecoveredMember &Member);
  RetVal<RecoveredMember> startAnew(std::optional<Error> Damage);
  Ret keepDamaged();
  Ret writeMember(const HardState &Hard);
  Ret writeSnapshot(const RaftLog &Log);
  Ret writeSegment(const RaftLog &Log);
  Ret appendEntries(const RaftLog &Log, LogIndex From);
  Ret removeAllBut(const std::vector<std::string> &Kept);

  IStorage &Storage_;
  Generation Fresh_;
  /// The generation in use; 0 before recover().
  Generation Disk_;
  /// The hard state that was last written durably.
  HardState Written_;
  /// The log file in use: its N.
  LogIndex Segment_;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_MEMBERSTORE_H
