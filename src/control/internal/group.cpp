//===- group.cpp - Founding and membership of the group -------------------===//
//
// How a member without a group finds or founds one, and how the leader lets
// members in: as a learner first; once it has caught up, an older disk of the
// same VM that is silent is removed, and then the learner becomes a voter. One
// voter changes at a time, each after the change before is committed.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raftparts.h"

#include <algorithm>

namespace geraniumbay::control {

namespace raft {

namespace {

/// A change may follow only when the last one and an entry of the leader's own
/// term are committed; else two majorities might not overlap.
bool mayChangeMembers(const RaftState &State) {
  return mayPropose(State) && State.Group.Index <= State.Commit;
}

const MemberId *memberOfVm(const std::vector<MemberId> &Members,
                           const VmId &Vm) {
  for (const MemberId &Member : Members)
    if (Member.Vm == Vm)
      return &Member;
  return nullptr;
}

void insertSorted(std::vector<MemberId> &Members, const MemberId &Member) {
  Members.insert(std::upper_bound(Members.begin(), Members.end(), Member),
                 Member);
}

bool isListed(const RaftState &State, const VmId &Vm) {
  if (State.Settings.AdmitsUnlisted)
    return true;
  const std::vector<VmId> &Vms = State.Settings.ControlVms;
  return std::find(Vms.begin(), Vms.end(), Vm) != Vms.end();
}

void addLearner(RaftState &State, Actions &Out, const MemberId &New, Time Now) {
  Membership Members = State.Group.Members;
  std::erase_if(Members.Learners,
                [&](const MemberId &Old) { return Old.Vm == New.Vm; });
  insertSorted(Members.Learners, New);
  appendAsLeader(State, Out, std::move(Members), Now);
}

bool hasCaughtUp(const RaftState &State, const Progress &Peer, Time Now) {
  return Peer.Answered && Peer.Match >= State.Commit &&
         Now - Peer.LastHeard < State.Settings.ElectionTimeout;
}

/// Takes the next step from \p Learner to a voter in its VM's place.
void admit(RaftState &State, Actions &Out, const MemberId &Learner, Time Now) {
  Membership Members = State.Group.Members;
  const MemberId *Old = memberOfVm(Members.Voters, Learner.Vm);
  if (Old) {
    bool Silent = *Old != State.Self && Now - State.Peers.at(*Old).LastHeard >=
                                            State.Settings.ElectionTimeout;
    if (!Silent)
      return;
    std::erase(Members.Voters, MemberId(*Old));
  } else {
    std::erase(Members.Learners, MemberId(Learner));
    insertSorted(Members.Voters, Learner);
  }
  appendAsLeader(State, Out, std::move(Members), Now);
}

void enterGroup(RaftState &State, Actions &Out, GroupId Group, Time Now) {
  State.Hard.Group = Group;
  Out.ToDisk.HardChanged = true;
  Out.ToDisk.SnapshotChanged = true;
  State.EmptyPeers.clear();
  State.Current = Role::Follower;
  resetElectionTimer(State, Now);
}

void enterAsFounder(RaftState &State, Actions &Out, GroupId Group,
                    const Membership &Founders, Time Now) {
  State.Hard.Founders = Founders;
  State.Log.Base.Members = Founders;
  State.Group = latestMembership(State.Log);
  enterGroup(State, Out, Group, Now);
}

/// Founds the group if this is the first VM and every other one is empty.
void foundIfAllEmpty(RaftState &State, Actions &Out, Time Now) {
  const std::vector<VmId> &Vms = State.Settings.ControlVms;
  bool First = !Vms.empty() && Vms.front() == State.Self.Vm;
  if (!State.Settings.MayFound || State.Hard.HadGroup || !First ||
      State.EmptyPeers.size() + 1 != Vms.size())
    return;
  Membership Founders;
  for (const auto &[Vm, Disk] : State.EmptyPeers)
    Founders.Voters.push_back({Vm, Disk});
  insertSorted(Founders.Voters, State.Self);
  enterAsFounder(State, Out, GroupId(State.Self.Disk.value()), Founders, Now);
  for (const MemberId &Member : Founders.Voters)
    if (Member != State.Self)
      send(State, Out, Member, FoundGroup{Founders});
}

bool namesTheSettingsVms(const RaftState &State, const Membership &Founders) {
  std::vector<VmId> Vms;
  for (const MemberId &Member : Founders.Voters)
    Vms.push_back(Member.Vm);
  return Vms == State.Settings.ControlVms;
}

} // namespace

void tickJoining(RaftState &State, Actions &Out, Time Now) {
  if (Now < State.FindDue)
    return;
  State.FindDue = Now + State.Settings.FindInterval;
  // Only answers of one round count, so an old "empty" does not.
  State.EmptyPeers.clear();
  for (const VmId &Vm : State.Settings.ControlVms)
    if (Vm != State.Self.Vm)
      send(State, Out, {Vm, Generation(0)}, FindGroup{});
  foundIfAllEmpty(State, Out, Now);
}

void onFindGroup(RaftState &State, Actions &Out, const Message &From,
                 Time Now) {
  bool InGroup = State.Current != Role::Joining;
  answer(State, Out, From, FindGroupAnswer{InGroup || State.Hard.HadGroup});
  if (!InGroup || !isListed(State, From.From.Vm))
    return;
  // A founder that is still empty has not heard of the founding: it has never
  // voted, so it may still enter.
  if (isVoter(State.Hard.Founders, From.From))
    return send(State, Out, From.From, FoundGroup{State.Hard.Founders});
  const Membership &Members = State.Group.Members;
  bool Known = isVoter(Members, From.From) || isLearner(Members, From.From);
  if (!Known && mayChangeMembers(State))
    addLearner(State, Out, From.From, Now);
}

void onFindGroupAnswer(RaftState &State, Actions &Out, const Message &From,
                       const FindGroupAnswer &Body, Time Now) {
  if (Body.KnowsGroup || !isListed(State, From.From.Vm)) {
    State.EmptyPeers.erase(From.From.Vm);
    return;
  }
  State.EmptyPeers[From.From.Vm] = From.From.Disk;
  foundIfAllEmpty(State, Out, Now);
}

void onFoundGroup(RaftState &State, Actions &Out, const Message &From,
                  const FoundGroup &Body, Time Now) {
  if (State.Settings.MayFound && !State.Hard.HadGroup &&
      isVoter(Body.Founders, State.Self) &&
      namesTheSettingsVms(State, Body.Founders))
    enterAsFounder(State, Out, From.Group, Body.Founders, Now);
}

void adoptGroup(RaftState &State, Actions &Out, GroupId Group, Time Now) {
  enterGroup(State, Out, Group, Now);
}

void tickMembership(RaftState &State, Actions &Out, Time Now) {
  for (const MemberId &Learner : State.Group.Members.Learners) {
    if (!mayChangeMembers(State))
      return;
    if (hasCaughtUp(State, State.Peers.at(Learner), Now))
      return admit(State, Out, MemberId(Learner), Now);
  }
}

} // namespace raft

std::optional<Membership> withoutVoter(const RaftState &State, const VmId &Vm) {
  Membership Members = State.Group.Members;
  if (!raft::mayChangeMembers(State) || Vm == State.Self.Vm)
    return std::nullopt;
  std::size_t Removed = std::erase_if(
      Members.Voters, [&](const MemberId &Old) { return Old.Vm == Vm; });
  Removed += std::erase_if(Members.Learners,
                           [&](const MemberId &Old) { return Old.Vm == Vm; });
  if (Removed == 0 || Members.Voters.empty())
    return std::nullopt;
  return Members;
}

} // namespace geraniumbay::control
