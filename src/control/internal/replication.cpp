//===- replication.cpp - Log replication ----------------------------------===//
//
// The leader sends its log, counts what is on the disks of a majority and
// steps down when it no longer hears one; followers take the leader's log.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raftparts.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay::control::raft {

namespace {

bool isRecent(const RaftState &State, const Progress &Peer, Time Now) {
  return Now - Peer.LastHeard < State.Settings.ElectionTimeout;
}

/// The member to hand over to: a voter that has the whole log.
std::optional<MemberId> successor(const RaftState &State, Time Now) {
  for (const auto &[Member, Peer] : State.Peers)
    if (isVoter(State.Group.Members, Member) && isRecent(State, Peer, Now) &&
        Peer.Match == lastIndex(State.Log))
      return Member;
  return std::nullopt;
}

/// Gives every other member of the latest membership its progress.
void syncPeers(RaftState &State, Time Now) {
  std::map<MemberId, Progress> Peers;
  Progress Fresh{LogIndex(0), next(lastIndex(State.Log)), Now, false, {}};
  auto Take = [&](const MemberId &Member) {
    auto Known = State.Peers.find(Member);
    if (Member != State.Self)
      Peers[Member] = Known == State.Peers.end() ? Fresh : Known->second;
  };
  std::for_each(State.Group.Members.Voters.begin(),
                State.Group.Members.Voters.end(), Take);
  std::for_each(State.Group.Members.Learners.begin(),
                State.Group.Members.Learners.end(), Take);
  State.Peers = std::move(Peers);
}

/// Sends entries, a snapshot, or with \p Probe neither.
void sendAppend(RaftState &State, Actions &Out, const MemberId &To, bool Probe,
                Time Now) {
  Progress &Peer = State.Peers.at(To);
  LogIndex Previous = previous(Peer.Next);
  auto PreviousTerm = termAt(State.Log, Previous);
  if (!PreviousTerm && !Probe) {
    Peer.BusyUntil = Now + State.Settings.ElectionTimeout;
    return send(State, Out, To, SnapshotRequest{State.Log.Base});
  }
  AppendRequest Request;
  Request.Previous = PreviousTerm ? Previous : lastIndex(State.Log);
  Request.PreviousTerm = PreviousTerm.value_or(lastTerm(State.Log));
  Request.Commit = State.Commit;
  if (!Probe) {
    Request.Entries = entriesAfter(State.Log, Previous);
    Peer.BusyUntil = Now + State.Settings.Heartbeat * 2;
  }
  send(State, Out, To, std::move(Request));
}

/// Sends what \p To lacks unless something is under way to it.
void feed(RaftState &State, Actions &Out, const MemberId &To, Time Now) {
  const Progress &Peer = State.Peers.at(To);
  bool Busy = Peer.BusyUntil && Now < *Peer.BusyUntil;
  if (!Busy && Peer.Next <= lastIndex(State.Log) && isRecent(State, Peer, Now))
    sendAppend(State, Out, To, false, Now);
}

/// Commits what a majority of the voters has on disk. An entry of an earlier
/// term commits only through one of the leader's own term.
void advanceCommit(RaftState &State) {
  std::vector<LogIndex> Matches;
  for (const MemberId &Voter : State.Group.Members.Voters)
    Matches.push_back(Voter == State.Self ? lastIndex(State.Log)
                                          : State.Peers.at(Voter).Match);
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  LogIndex Held = Matches[Matches.size() / 2];
  if (Held > State.Commit && termAt(State.Log, Held) == State.Hard.Current)
    State.Commit = Held;
}

void followLeader(RaftState &State, Actions &Out, const Message &From,
                  Time Now) {
  becomeFollower(State, Out, From.At, Now);
  State.Leader = From.From;
  State.LeaderHeard = Now;
}

/// Takes the entries that the log lacks; drops those that differ.
void takeEntries(RaftState &State, Actions &Out, const AppendRequest &Body) {
  LogIndex Index = Body.Previous;
  for (const LogEntry &Entry : Body.Entries) {
    Index = next(Index);
    if (Index <= State.Log.Base.Last || termAt(State.Log, Index) == Entry.At)
      continue;
    assert(Index > State.Commit && "a committed entry would be lost");
    truncateFrom(State.Log, Index);
    State.Log.Entries.push_back(Entry);
    logChanged(State, Out, Index);
  }
}

bool agreesAt(const RaftState &State, LogIndex Index, Term At) {
  // What the snapshot covers is committed, so the leader has it too.
  return Index < State.Log.Base.Last || termAt(State.Log, Index) == At;
}

} // namespace

bool hearsMajority(const RaftState &State, Duration Within, Time Now) {
  std::size_t Heard = 0;
  for (const MemberId &Voter : State.Group.Members.Voters)
    if (Voter == State.Self || Now - State.Peers.at(Voter).LastHeard < Within)
      ++Heard;
  return isMajority(State.Group.Members, Heard);
}

void handOver(RaftState &State, Actions &Out, Time Now) {
  auto To = State.Current == Role::Leader ? successor(State, Now)
                                          : std::optional<MemberId>();
  if (!To)
    return;
  send(State, Out, *To, TakeOver{});
  // The successor needs no vote of this member's lease any more.
  becomeFollower(State, Out, State.Hard.Current, Now);
}

void startReplication(RaftState &State, Actions &Out, Time Now) {
  State.Current = Role::Leader;
  State.Leader = State.Self;
  State.Votes.clear();
  State.Peers.clear();
  State.HeartbeatDue = Now + State.Settings.Heartbeat;
  syncPeers(State, Now);
  appendAsLeader(State, Out, Noop{}, Now);
}

void appendAsLeader(RaftState &State, Actions &Out, Command Body, Time Now) {
  assert(State.Current == Role::Leader);
  State.Log.Entries.push_back({State.Hard.Current, std::move(Body)});
  logChanged(State, Out, lastIndex(State.Log));
  syncPeers(State, Now);
  advanceCommit(State);
  for (const auto &[Member, Peer] : State.Peers)
    feed(State, Out, Member, Now);
}

void tickLeader(RaftState &State, Actions &Out, Time Now) {
  if (!hearsMajority(State, State.Settings.ElectionTimeout, Now))
    return becomeFollower(State, Out, State.Hard.Current, Now);
  tickMembership(State, Out, Now);
  if (Now < State.HeartbeatDue)
    return;
  State.HeartbeatDue = Now + State.Settings.Heartbeat;
  for (const auto &[Member, Peer] : State.Peers)
    sendAppend(State, Out, Member, true, Now);
}

void onAppend(RaftState &State, Actions &Out, const Message &From,
              const AppendRequest &Body, Time Now) {
  if (From.At < State.Hard.Current)
    return answer(State, Out, From, AppendResponse{false, State.Commit});
  followLeader(State, Out, From, Now);
  if (!agreesAt(State, Body.Previous, Body.PreviousTerm)) {
    LogIndex Before = previous(Body.Previous);
    LogIndex Hint = std::min(Before, lastIndex(State.Log));
    return answer(State, Out, From,
                  AppendResponse{false, std::max(Hint, State.Commit)});
  }
  takeEntries(State, Out, Body);
  LogIndex Match(Body.Previous.value() + Body.Entries.size());
  Match = std::max(Match, State.Log.Base.Last);
  State.Commit = std::max(State.Commit, std::min(Body.Commit, Match));
  answer(State, Out, From, AppendResponse{true, Match});
}

void onSnapshot(RaftState &State, Actions &Out, const Message &From,
                const SnapshotRequest &Body, Time Now) {
  if (From.At < State.Hard.Current)
    return answer(State, Out, From, AppendResponse{false, State.Commit});
  followLeader(State, Out, From, Now);
  if (Body.State.Last > State.Commit) {
    State.Commit = Body.State.Last;
    installSnapshot(State.Log, Body.State);
    State.Group = latestMembership(State.Log);
    Out.ToDisk.SnapshotChanged = true;
  }
  answer(State, Out, From, AppendResponse{true, Body.State.Last});
}

void onAppendResponse(RaftState &State, Actions &Out, const Message &From,
                      const AppendResponse &Body, Time Now) {
  auto Found = State.Peers.find(From.From);
  if (State.Current != Role::Leader || From.At != State.Hard.Current ||
      Found == State.Peers.end())
    return;
  Progress &Peer = Found->second;
  Peer.LastHeard = std::max(Peer.LastHeard, From.RequestSent.value_or(Now));
  Peer.Answered = true;
  LogIndex Before = Peer.Next;
  if (Body.Success) {
    if (Body.Match > Peer.Match)
      Peer.BusyUntil.reset();
    Peer.Match = std::max(Peer.Match, Body.Match);
    Peer.Next = std::max(Peer.Next, next(Peer.Match));
  } else {
    LogIndex Back = std::min(Peer.Next, next(Body.Match));
    Peer.Next = std::max(Back, next(Peer.Match));
    if (Peer.Next != Before)
      Peer.BusyUntil.reset();
  }
  advanceCommit(State);
  feed(State, Out, From.From, Now);
}

} // namespace geraniumbay::control::raft
