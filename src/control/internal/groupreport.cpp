//===- groupreport.cpp - What a member sees of its group ------------------===//

#include "control/internal/groupreport.h"

#include "control/controlstatus.h"
#include "control/internal/raftparts.h"

#include <algorithm>

namespace geraniumbay::control {

namespace {

/// Whether this member can tell who answers, and \p Voter does not.
bool isMissing(const RaftState &State, const MemberId &Voter, Time Now) {
  if (State.Current == Role::Leader)
    return raft::missesHeartbeats(State, Voter, Now);
  bool Asks = State.Current == Role::PreCandidate;
  return Asks && !State.NotLeading.contains(Voter);
}

MembershipWait waitOf(const RaftState &State, bool AnyMissing, Time Now) {
  const std::vector<MemberId> &Learners = State.Group.Members.Learners;
  if (State.Current != Role::Leader || (Learners.empty() && !AnyMissing))
    return MembershipWait::Nothing;
  if (!mayPropose(State))
    return MembershipWait::OwnTerm;
  if (State.Group.Index > State.Commit)
    return MembershipWait::LastChange;
  if (Learners.empty())
    return MembershipWait::NoReplacement;
  bool Ready = std::any_of(
      Learners.begin(), Learners.end(), [&](const MemberId &Learner) {
        return raft::hasCaughtUp(State, State.Peers.at(Learner), Now);
      });
  return Ready ? MembershipWait::VoterSilence : MembershipWait::LearnerBehind;
}

} // namespace

const char *nameOf(MembershipWait Why) {
  switch (Why) {
  case MembershipWait::Nothing:
    return "nothing";
  case MembershipWait::OwnTerm:
    return "first_commit";
  case MembershipWait::LastChange:
    return "last_change";
  case MembershipWait::LearnerBehind:
    return "learner_behind";
  case MembershipWait::VoterSilence:
    return "voter_silence";
  case MembershipWait::NoReplacement:
    return "no_replacement";
  }
  return "";
}

bool isInTouch(const RaftState &State, Time Now) {
  if (State.Current == Role::Leader)
    return true;
  return State.LeaderHeard &&
         Now - *State.LeaderHeard < State.Settings.ElectionTimeout;
}

std::string namesOf(const std::vector<MemberId> &Members) {
  std::string Names;
  for (const MemberId &Member : Members)
    Names += (Names.empty() ? "" : ",") + Member.Vm.value();
  return Names;
}

GroupReport reportGroup(const RaftState &State, Time Now) {
  GroupReport Result;
  const std::vector<MemberId> &Voters = State.Group.Members.Voters;
  Result.Voters = Voters.size();
  Result.Learners = State.Group.Members.Learners.size();
  Result.InTouch = isInTouch(State, Now);
  for (const MemberId &Voter : Voters)
    if (isMissing(State, Voter, Now))
      Result.Missing.push_back(Voter);
  Result.Spare = spareVoters(Voters.size(), Result.Missing.size());
  Result.WaitsFor = waitOf(State, !Result.Missing.empty(), Now);
  return Result;
}

} // namespace geraniumbay::control
