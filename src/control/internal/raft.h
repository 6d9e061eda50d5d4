//===- raft.h - The consensus core ------------------------------*- C++ -*-===//
//
// One member of the control group as a plain struct, and step(), which takes
// an event and returns what to do. No sockets, files or clock.
//
// Contract with the adapter: the actions of one step are carried out in this
// order, and completely before the next step: make Persist durable, then send
// Messages and apply Committed. So every message and every acknowledgement
// rests on state that is already on disk.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_RAFT_H
#define GERANIUMBAY_CONTROL_INTERNAL_RAFT_H

#include "control/internal/raftlog.h"
#include "framework/clock/iclock.h"
#include "framework/random/random.h"

#include <map>
#include <set>

namespace geraniumbay::control {

/// Intervals and settings of a member.
struct RaftSettings {
  /// The control VMs of the settings, this one included; sorted.
  std::vector<VmId> ControlVms;
  /// Whether this member may take part in founding a group.
  bool MayFound = false;
  /// Whether a VM that the settings do not list may join the group.
  bool AdmitsUnlisted = false;
  /// The group keeps so many voters, silent ones included; what is above may be
  /// dropped. Three bear the loss of one disk, five of two.
  std::size_t LeastVoters = 3;
  Duration Heartbeat = std::chrono::milliseconds(500);
  /// A follower waits this long to twice this long for its leader. A leader
  /// that has not heard from a majority for this long steps down.
  Duration ElectionTimeout = std::chrono::milliseconds(2000);
  /// How often a member without a group asks for one.
  Duration FindInterval = std::chrono::milliseconds(500);
  /// The log is compacted when it holds more entries or bytes than this.
  std::size_t MaxLogEntries = 256;
  std::size_t MaxLogBytes = std::size_t{4} << 20U;
};

enum class Role {
  Joining, ///< Without a group: asks for one, never votes.
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// What a leader knows of another member.
struct Progress {
  /// The last entry known to be on the member's disk.
  LogIndex Match;
  /// The next entry to send. Invariant: above Match.
  LogIndex Next;
  /// When the request was sent that the member answered last, or when this
  /// leader began to wait for it. The member follows this leader for an
  /// election timeout from then on at least.
  Time LastHeard;
  /// Whether it has answered this leader.
  bool Answered = false;
  /// A batch or snapshot is under way; no other is sent before this time
  /// unless the member answers.
  std::optional<Time> BusyUntil;
};

/// One member. Everything that must survive a crash is in Hard and Log.
struct RaftState {
  RaftSettings Settings;
  MemberId Self;
  Random Rng{0};

  HardState Hard;
  RaftLog Log;
  /// Cached latestMembership(Log): a membership counts once it is in the log.
  LoggedMembership Group;

  Role Current = Role::Joining;
  /// Invariant: at least Log.Base.Last and at most the last index.
  LogIndex Commit;
  std::optional<MemberId> Leader;
  /// When the leader was last heard; unset after a start.
  std::optional<Time> LeaderHeard;
  /// Of a member that starts in a group: it may have promised a leader to
  /// follow it, which it does not remember, so it gives no vote before.
  std::optional<Time> NoVoteUntil;
  Time ElectionDue;

  /// Of a candidate: who granted the (pre-)vote, itself included.
  std::set<MemberId> Votes;
  /// Of a pre-candidate: the voters that do not lead, itself included, those of
  /// lost disks too.
  std::set<MemberId> NotLeading;
  /// Of a leader.
  std::map<MemberId, Progress> Peers;
  Time HeartbeatDue;

  /// Of a joining member: who answered that its folder is empty too.
  std::map<VmId, Generation> EmptyPeers;
  Time FindDue;
};

/// What the disk must hold before anything else of the step is done.
struct Persist {
  bool HardChanged = false;
  /// The snapshot in the log is new: write it and drop what it covers.
  bool SnapshotChanged = false;
  /// The log changed from this entry on.
  std::optional<LogIndex> LogFrom;

  bool empty() const { return !HardChanged && !SnapshotChanged && !LogFrom; }
};

struct Actions {
  Persist ToDisk;
  std::vector<Message> Messages;
};

// Events.
struct Tick {};
struct Received {
  Message Body;
};
/// Only to a leader; see mayPropose().
struct Propose {
  Command Body;
};
/// Asks a leader to hand over to the member that is furthest.
struct HandOver {};
using Event = std::variant<Tick, Received, Propose, HandOver>;

/// Returns a member as it starts. \p Log and \p Hard come from its disk; both
/// are empty for a new member.
RaftState startMember(RaftSettings Settings, MemberId Self, HardState Hard,
                      RaftLog Log, std::uint64_t Seed, Time Now);

/// Handles one event. Committed entries are those up to State.Commit.
Actions step(RaftState &State, const Event &What, Time Now);

/// Ends the leadership or candidacy of a member whose disk has failed. Nothing
/// that must survive a crash changes.
void stepDown(RaftState &State, Time Now);

/// Whether this member is a leader that has committed an entry of its term, so
/// that its applied state is the newest there is.
bool mayPropose(const RaftState &State);

/// Whether this member leads and no other can before \p Now plus the margin
/// for clock drift: a majority has followed it within the election timeout.
bool holdsLease(const RaftState &State, Time Now);

/// Returns the membership without the voter \p Vm, or nothing if the leader
/// cannot change the membership now or it is not there or the last.
std::optional<Membership> withoutVoter(const RaftState &State, const VmId &Vm);

/// Whether \p Vm has a vote that the group can do without: it mends itself and
/// is above its least size.
bool maySpareVoter(const RaftState &State, const VmId &Vm);

/// Whether the log has outgrown its bounds and Commit allows compaction.
bool wantsCompaction(const RaftState &State);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_RAFT_H
