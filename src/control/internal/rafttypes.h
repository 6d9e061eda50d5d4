//===- rafttypes.h - Types of the replicated log ----------------*- C++ -*-===//
//
// Members, log entries, snapshots and messages of the control group's
// consensus (Raft with pre-vote, check-quorum, learners, snapshots and
// single-server membership changes).
//
// Who may vote. A member is a VM together with a generation: a random number
// that is drawn when its folder is empty or corrupt and is kept on its disk. A
// VM that lost its disk is therefore another member: the votes and
// acknowledgements that the old one gave can never be given again by the new
// one, and nobody counts the new one before the group has made it a voter.
//
// Founding. A member with an empty folder asks all control VMs of its settings
// (FindGroup). If one knows a group, it joins as a learner. Only if the
// settings allow founding and every one of them has answered that its folder
// is empty too, the first of them founds a group of exactly these members:
// there is then no disk left that could hold an earlier group. A VM that is
// silent blocks founding, because it may hold one; so does a VM whose folder is
// corrupt, because it proves that there was one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_RAFTTYPES_H
#define GERANIUMBAY_CONTROL_INTERNAL_RAFTTYPES_H

#include "control/internal/machine.h"

#include <optional>
#include <variant>
#include <vector>

namespace geraniumbay::control {

/// The index of a log entry; the first entry has 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// The id of a control group; 0 is none.
using GroupId = StrongId<struct GroupTag, std::uint64_t>;
/// The random number of a member's disk; 0 is none.
using Generation = StrongId<struct GenerationTag, std::uint64_t>;

inline LogIndex next(LogIndex Index) { return LogIndex(Index.value() + 1); }
inline LogIndex previous(LogIndex Index) { return LogIndex(Index.value() - 1); }
inline Term next(Term At) { return Term(At.value() + 1); }

/// A control VM together with the disk that holds its state.
struct MemberId {
  VmId Vm;
  Generation Disk;

  auto operator<=>(const MemberId &) const = default; // NOLINT
  bool operator==(const MemberId &) const = default;
};

/// The members of the group. A change adds or removes one voter at most.
struct Membership {
  /// Invariant: both are sorted and have no member in common.
  std::vector<MemberId> Voters;
  std::vector<MemberId> Learners;

  bool operator==(const Membership &) const = default;
};

/// The entry by which a new leader commits what came before it.
struct Noop {
  bool operator==(const Noop &) const = default;
};

/// A batch of changes for the state machine of another module.
struct ModuleBatch {
  std::string Changes;

  bool operator==(const ModuleBatch &) const = default;
};

using Command =
    std::variant<Noop, Membership, ConfigChange, LedgerChange, ModuleBatch>;

struct LogEntry {
  Term At;
  Command Body;

  bool operator==(const LogEntry &) const = default;
};

/// The state up to and including one entry.
struct Snapshot {
  LogIndex Last;
  Term LastTerm;
  Membership Members;
  MachineState Machine;

  bool operator==(const Snapshot &) const = default;
};

/// What a member must not forget besides its log.
struct HardState {
  /// The folder was found corrupt: a group exists or existed.
  bool HadGroup = false;
  /// 0 until the member belongs to a group.
  GroupId Group;
  /// The first members of the group if this one was among them.
  Membership Founders;
  Term Current;
  /// Whom this member has voted for in the current term.
  std::optional<MemberId> Vote;

  bool operator==(const HardState &) const = default;
};

/// Asks for a vote, or with Pre whether a vote would be given.
struct VoteRequest {
  bool Pre = false;
  LogIndex LastIndex;
  Term LastTerm;
  /// The leader has handed over: a member that hears it may vote all the same.
  bool HandedOver = false;
  /// Every voter has told the candidate that it does not lead: one that is
  /// bound by a promise from before its start only may vote.
  bool NobodyLeads = false;
};

struct VoteResponse {
  bool Pre = false;
  bool Granted = false;
  /// Of a pre-vote that is not granted: all that stands against it is what this
  /// member, or the earlier disk of its VM, may have promised before its
  /// process began. It does not lead.
  bool OnlyPromised = false;
};

/// Appends entries after Previous; without entries it is a heartbeat.
struct AppendRequest {
  LogIndex Previous;
  Term PreviousTerm;
  std::vector<LogEntry> Entries;
  LogIndex Commit;
};

/// Replaces all that the follower has by a snapshot.
struct SnapshotRequest {
  Snapshot State;
};

/// Answers AppendRequest and SnapshotRequest.
struct AppendResponse {
  bool Success = false;
  /// On success the last entry that is known to be the leader's; else where
  /// the follower's log ends or starts to differ.
  LogIndex Match;
};

/// From the leader to a member that has the whole log: campaign at once.
struct TakeOver {};

/// From a member without a group: is there one, may I join?
struct FindGroup {};

struct FindGroupAnswer {
  /// The sender is in a group or knows that there was one.
  bool KnowsGroup = false;
  /// Whom the sender follows: only a leader lets members in.
  std::optional<VmId> Leader = std::nullopt;
};

/// From the founder: the group consists of these members.
struct FoundGroup {
  Membership Founders;
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest,
                                 AppendResponse, SnapshotRequest, FindGroup,
                                 FindGroupAnswer, FoundGroup, TakeOver>;

struct Message {
  GroupId Group;
  MemberId From;
  /// Generation 0 for FindGroup, which does not know it yet.
  MemberId To;
  /// The sender's term; for a pre-vote the term it would campaign in.
  Term At;
  /// Set by the receiver's adapter to a request; its answer carries it back.
  std::uint64_t Call = 0;
  MessageBody Body;
  /// Set by the receiver's adapter to an answer: when its request was sent, so
  /// that the sender of the answer had heard from this member no earlier.
  std::optional<Time> RequestSent = std::nullopt;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_RAFTTYPES_H
