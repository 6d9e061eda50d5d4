//===- raft.cpp - The consensus core --------------------------------------===//
//
// Start, dispatch of events and what all parts share.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raft.h"

#include "control/internal/raftparts.h"

#include <algorithm>

namespace geraniumbay::control {

namespace raft {

void send(const RaftState &State, Actions &Out, const MemberId &To,
          MessageBody Body) {
  Out.Messages.push_back({State.Hard.Group, State.Self, To, State.Hard.Current,
                          0, std::move(Body)});
}

void answer(const RaftState &State, Actions &Out, const Message &Request,
            MessageBody Body) {
  send(State, Out, Request.From, std::move(Body));
  Out.Messages.back().Call = Request.Call;
}

bool isVoter(const Membership &Members, const MemberId &Member) {
  return std::binary_search(Members.Voters.begin(), Members.Voters.end(),
                            Member);
}

bool isLearner(const Membership &Members, const MemberId &Member) {
  return std::binary_search(Members.Learners.begin(), Members.Learners.end(),
                            Member);
}

bool isMajority(const Membership &Members, std::size_t Count) {
  return Count > Members.Voters.size() / 2;
}

void logChanged(RaftState &State, Actions &Out, LogIndex Index) {
  LogIndex From = Out.ToDisk.LogFrom.value_or(Index);
  Out.ToDisk.LogFrom = std::min(From, Index);
  State.Group = latestMembership(State.Log);
}

void becomeFollower(RaftState &State, Actions &Out, Term At, Time Now) {
  if (At > State.Hard.Current) {
    State.Hard.Current = At;
    State.Hard.Vote.reset();
    Out.ToDisk.HardChanged = true;
    State.Leader.reset();
  }
  if (State.Current == Role::Leader)
    State.Leader.reset();
  State.Current = Role::Follower;
  State.Votes.clear();
  State.Peers.clear();
  resetElectionTimer(State, Now);
}

void resetElectionTimer(RaftState &State, Time Now) {
  Duration Timeout = State.Settings.ElectionTimeout;
  auto Spread = static_cast<std::uint64_t>(Timeout.count());
  State.ElectionDue =
      Now + Timeout +
      Duration(static_cast<Duration::rep>(State.Rng.below(Spread)));
}

void retryElectionSoon(RaftState &State, Time Now) {
  auto Spread = static_cast<std::uint64_t>(State.Settings.Heartbeat.count());
  State.ElectionDue =
      Now + Duration(static_cast<Duration::rep>(State.Rng.below(Spread)));
}

namespace {

bool isFromLeader(const MessageBody &Body) {
  return std::holds_alternative<AppendRequest>(Body) ||
         std::holds_alternative<SnapshotRequest>(Body);
}

/// Whether \p From is meant for this member: its disk and its group.
bool concerns(const RaftState &State, const Message &From) {
  if (From.To.Vm != State.Self.Vm)
    return false;
  if (std::holds_alternative<FindGroup>(From.Body))
    return true;
  if (From.To.Disk != State.Self.Disk)
    return false;
  // A member that was replaced asks too, and hears who leads.
  if (std::holds_alternative<FindGroupAnswer>(From.Body))
    return true;
  bool ForJoining = std::holds_alternative<FoundGroup>(From.Body);
  if (State.Current == Role::Joining)
    return ForJoining || isFromLeader(From.Body);
  return !ForJoining && From.Group == State.Hard.Group;
}

/// Asks for the pre-vote of a disk that this VM had before, so that whoever led
/// from it is no more.
bool asksAnEarlierDisk(const RaftState &State, const Message &From) {
  const auto *Vote = std::get_if<VoteRequest>(&From.Body);
  return Vote && Vote->Pre && From.To.Vm == State.Self.Vm &&
         From.To.Disk != State.Self.Disk;
}

void answerForEarlierDisk(const RaftState &State, Actions &Out,
                          const Message &From) {
  answer(State, Out, From, VoteResponse{true, false, true});
  Out.Messages.back().Group = From.Group;
  Out.Messages.back().At = From.At;
}

/// Adopts a higher term. Votes have their own rules (see onVoteRequest); the
/// term of a granted pre-vote is not yet anybody's.
void adoptTerm(RaftState &State, Actions &Out, const Message &From, Time Now) {
  const auto *Vote = std::get_if<VoteResponse>(&From.Body);
  if (std::holds_alternative<VoteRequest>(From.Body) ||
      (Vote && Vote->Pre && (Vote->Granted || Vote->OnlyPromised)))
    return;
  if (From.At > State.Hard.Current)
    becomeFollower(State, Out, From.At, Now);
}

void onJoinMessage(RaftState &State, Actions &Out, const Message &From,
                   Time Now) {
  if (std::holds_alternative<FindGroup>(From.Body))
    onFindGroup(State, Out, From, Now);
  if (const auto *Found = std::get_if<FindGroupAnswer>(&From.Body))
    onFindGroupAnswer(State, Out, From, *Found, Now);
  if (const auto *Found = std::get_if<FoundGroup>(&From.Body))
    onFoundGroup(State, Out, From, *Found, Now);
}

void onGroupMessage(RaftState &State, Actions &Out, const Message &From,
                    Time Now) {
  if (State.Current == Role::Joining)
    adoptGroup(State, Out, From.Group, Now);
  adoptTerm(State, Out, From, Now);
  if (const auto *Vote = std::get_if<VoteRequest>(&From.Body))
    onVoteRequest(State, Out, From, *Vote, Now);
  if (const auto *Vote = std::get_if<VoteResponse>(&From.Body))
    onVoteResponse(State, Out, From, *Vote, Now);
  if (const auto *Append = std::get_if<AppendRequest>(&From.Body))
    onAppend(State, Out, From, *Append, Now);
  if (const auto *Append = std::get_if<AppendResponse>(&From.Body))
    onAppendResponse(State, Out, From, *Append, Now);
  if (const auto *Whole = std::get_if<SnapshotRequest>(&From.Body))
    onSnapshot(State, Out, From, *Whole, Now);
  if (std::holds_alternative<TakeOver>(From.Body))
    onTakeOver(State, Out, From, Now);
}

void receive(RaftState &State, Actions &Out, const Message &From, Time Now) {
  if (asksAnEarlierDisk(State, From))
    return answerForEarlierDisk(State, Out, From);
  if (!concerns(State, From))
    return;
  bool Joins = std::holds_alternative<FindGroup>(From.Body) ||
               std::holds_alternative<FindGroupAnswer>(From.Body) ||
               std::holds_alternative<FoundGroup>(From.Body);
  if (Joins)
    onJoinMessage(State, Out, From, Now);
  else
    onGroupMessage(State, Out, From, Now);
}

void tick(RaftState &State, Actions &Out, Time Now) {
  switch (State.Current) {
  case Role::Joining:
    return tickJoining(State, Out, Now);
  case Role::Leader:
    return tickLeader(State, Out, Now);
  case Role::Follower:
  case Role::PreCandidate:
  case Role::Candidate:
    return tickElection(State, Out, Now);
  }
}

} // namespace
} // namespace raft

RaftState startMember(RaftSettings Settings, MemberId Self, HardState Hard,
                      RaftLog Log, std::uint64_t Seed, Time Now) {
  RaftState State;
  State.Settings = std::move(Settings);
  State.Self = std::move(Self);
  State.Rng = Random(Seed);
  State.Hard = std::move(Hard);
  State.Log = std::move(Log);
  State.Group = latestMembership(State.Log);
  State.Commit = State.Log.Base.Last;
  bool InGroup = State.Hard.Group != GroupId(0);
  if (InGroup)
    State.NoVoteUntil = Now + State.Settings.ElectionTimeout;
  State.Current = InGroup ? Role::Follower : Role::Joining;
  State.FindDue = Now;
  raft::resetElectionTimer(State, Now);
  // Where all start anew there is nobody to wait for.
  if (InGroup)
    raft::retryElectionSoon(State, Now);
  return State;
}

Actions step(RaftState &State, const Event &What, Time Now) {
  Actions Out;
  if (const auto *From = std::get_if<Received>(&What))
    raft::receive(State, Out, From->Body, Now);
  else if (const auto *New = std::get_if<Propose>(&What))
    raft::appendAsLeader(State, Out, New->Body, Now);
  else if (std::holds_alternative<HandOver>(What))
    raft::handOver(State, Out, Now);
  else
    raft::tick(State, Out, Now);
  return Out;
}

void stepDown(RaftState &State, Time Now) {
  if (State.Current == Role::Joining)
    return;
  Actions Unused;
  raft::becomeFollower(State, Unused, State.Hard.Current, Now);
}

bool mayPropose(const RaftState &State) {
  return State.Current == Role::Leader &&
         termAt(State.Log, State.Commit) == State.Hard.Current;
}

bool holdsLease(const RaftState &State, Time Now) {
  // Steady clocks of two machines differ by far less than a tenth.
  Duration Lease = State.Settings.ElectionTimeout * 9 / 10;
  return mayPropose(State) && raft::hearsMajority(State, Lease, Now);
}

bool wantsCompaction(const RaftState &State) {
  std::size_t Bytes = 0;
  for (const LogEntry &Entry : State.Log.Entries)
    Bytes += weightOf(Entry);
  const RaftSettings &Bounds = State.Settings;
  std::size_t Count = State.Log.Entries.size();
  bool Behind = false;
  for (const auto &[Member, Peer] : State.Peers)
    Behind = Behind || (Peer.BusyUntil && Peer.Match < State.Commit);
  // A follower that is busy with the last entries would need the snapshot.
  std::size_t Patience = Behind ? 2 : 1;
  return Count > Bounds.MaxLogEntries * Patience ||
         Bytes > Bounds.MaxLogBytes * Patience;
}

} // namespace geraniumbay::control
