//===- election.cpp - Pre-vote and election -------------------------------===//
//
// How a voter becomes the leader. It asks first whether it would be elected
// (pre-vote), so a member that was cut off does not raise the group's term when
// it returns. A member that still hears its leader gives no vote, nor does one
// that has just started: its earlier process may have promised a leader to
// follow it for a while, and that leader may count on it.
//
// After a loss of all processes nobody counts on anything, and waiting for such
// promises costs the election timeout. A pre-candidate therefore learns of each
// voter whether it leads; if no voter does, and all would grant but for what
// they may have promised before their start, they may vote at once. A leader
// that was elected meanwhile has raised the term of a majority, which shows in
// their answers.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raftparts.h"

namespace geraniumbay::control::raft {

namespace {

bool hearsLeader(const RaftState &State, Time Now) {
  if (State.Current == Role::Leader)
    return true;
  return State.Leader && State.LeaderHeard &&
         Now - *State.LeaderHeard < State.Settings.ElectionTimeout;
}

/// Whether this member's earlier process may have promised to follow a leader.
bool mayHavePromised(const RaftState &State, Time Now) {
  return State.NoVoteUntil && Now < *State.NoVoteUntil;
}

bool isUpToDate(const RaftState &State, const VoteRequest &Body) {
  Term Own = lastTerm(State.Log);
  if (Body.LastTerm != Own)
    return Body.LastTerm > Own;
  return Body.LastIndex >= lastIndex(State.Log);
}

void askForVotes(const RaftState &State, Actions &Out,
                 const VoteRequest &Body) {
  for (const MemberId &Voter : State.Group.Members.Voters) {
    if (Voter == State.Self)
      continue;
    VoteRequest Asked = Body;
    Asked.LastIndex = lastIndex(State.Log);
    Asked.LastTerm = lastTerm(State.Log);
    send(State, Out, Voter, Asked);
    if (Body.Pre)
      Out.Messages.back().At = next(State.Hard.Current);
  }
}

/// What lets members vote that are bound by a promise.
enum class Release { None, HandedOver, NobodyLeads };

void startElection(RaftState &State, Actions &Out, Time Now,
                   Release Why = Release::None) {
  State.Current = Role::Candidate;
  State.Hard.Current = next(State.Hard.Current);
  State.Hard.Vote = State.Self;
  Out.ToDisk.HardChanged = true;
  State.Leader.reset();
  State.Votes = {State.Self};
  resetElectionTimer(State, Now);
  // Others have heard at the same moment that nobody leads, and stand too.
  if (Why == Release::NobodyLeads)
    retryElectionSoon(State, Now + State.Settings.Heartbeat);
  VoteRequest Body;
  Body.HandedOver = Why == Release::HandedOver;
  Body.NobodyLeads = Why == Release::NobodyLeads;
  askForVotes(State, Out, Body);
}

/// Moves on if the votes are a majority, or if no voter leads.
void countVotes(RaftState &State, Actions &Out, Time Now) {
  const std::vector<MemberId> &Voters = State.Group.Members.Voters;
  bool NobodyLeads = State.Current == Role::PreCandidate &&
                     State.NotLeading.size() == Voters.size();
  if (!NobodyLeads && !isMajority(State.Group.Members, State.Votes.size()))
    return;
  if (State.Current == Role::PreCandidate)
    startElection(State, Out, Now,
                  NobodyLeads ? Release::NobodyLeads : Release::None);
  if (isMajority(State.Group.Members, State.Votes.size()))
    startReplication(State, Out, Now);
}

void startPreVote(RaftState &State, Actions &Out, Time Now) {
  State.Current = Role::PreCandidate;
  State.Votes = {State.Self};
  State.NotLeading = {State.Self};
  resetElectionTimer(State, Now);
  // Others may still be about to start.
  if (mayHavePromised(State, Now))
    retryElectionSoon(State, Now + State.Settings.Heartbeat);
  VoteRequest Body;
  Body.Pre = true;
  askForVotes(State, Out, Body);
  countVotes(State, Out, Now);
}

void answerVote(const RaftState &State, Actions &Out, const Message &From,
                const VoteRequest &Body, bool Granted,
                bool OnlyPromised = false) {
  answer(State, Out, From, VoteResponse{Body.Pre, Granted, OnlyPromised});
  if (Body.Pre && (Granted || OnlyPromised))
    Out.Messages.back().At = From.At;
}

} // namespace

void tickElection(RaftState &State, Actions &Out, Time Now) {
  findGroupAgain(State, Out, Now);
  if (Now >= State.ElectionDue && isVoter(State.Group.Members, State.Self))
    startPreVote(State, Out, Now);
}

void onVoteRequest(RaftState &State, Actions &Out, const Message &From,
                   const VoteRequest &Body, Time Now) {
  bool Released = Body.HandedOver || Body.NobodyLeads;
  bool Promised = !Released && mayHavePromised(State, Now);
  bool Bound = Promised || (!Body.HandedOver && hearsLeader(State, Now));
  bool Possible = isUpToDate(State, Body);
  if (Body.Pre || Bound) {
    bool Wanted = Body.Pre && Possible && From.At > State.Hard.Current;
    bool OnlyPromised = Wanted && Promised && !hearsLeader(State, Now);
    return answerVote(State, Out, From, Body, Wanted && !Bound, OnlyPromised);
  }
  if (From.At > State.Hard.Current)
    becomeFollower(State, Out, From.At, Now);
  bool Free = !State.Hard.Vote || *State.Hard.Vote == From.From;
  bool Granted = Possible && Free && From.At == State.Hard.Current;
  if (Granted) {
    State.Hard.Vote = From.From;
    Out.ToDisk.HardChanged = true;
    resetElectionTimer(State, Now);
  }
  answerVote(State, Out, From, Body, Granted);
}

void onTakeOver(RaftState &State, Actions &Out, const Message &From, Time Now) {
  bool FromLeader = From.At == State.Hard.Current && State.Leader == From.From;
  if (FromLeader && State.Current == Role::Follower &&
      isVoter(State.Group.Members, State.Self))
    startElection(State, Out, Now, Release::HandedOver);
}

void onVoteResponse(RaftState &State, Actions &Out, const Message &From,
                    const VoteResponse &Body, Time Now) {
  Role Asking = Body.Pre ? Role::PreCandidate : Role::Candidate;
  Term Asked = Body.Pre ? next(State.Hard.Current) : State.Hard.Current;
  if (State.Current != Asking || From.At != Asked ||
      !(Body.Granted || Body.OnlyPromised))
    return;
  for (const MemberId &Voter : State.Group.Members.Voters)
    if (Voter.Vm == From.From.Vm)
      State.NotLeading.insert(Voter);
  bool Grants = Body.Granted && isVoter(State.Group.Members, From.From);
  if (Grants)
    State.Votes.insert(From.From);
  countVotes(State, Out, Now);
}

} // namespace geraniumbay::control::raft
