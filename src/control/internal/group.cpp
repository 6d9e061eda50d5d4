//===- group.cpp - Founding and membership of the group -------------------===//
//
// How a member without a group finds or founds one, and how the leader lets
// members in: as a learner first; once it has caught up, an older disk of the
// same VM that is silent is removed, and then the learner becomes a voter. One
// voter changes at a time, each after the change before is committed.
//
// Where VMs are replaced by others at other addresses, the group mends itself:
// a learner that has caught up takes the place of a voter that is silent, and a
// group above its least size drops a silent voter. One that stops as planned
// gives up its vote first, in a group above its least size: its successor votes
// already, and a majority that counts on both would not bear the next lost
// disk. A voter that is removed while it is only out of reach keeps its disk,
// and so its votes; it asks for the group when it hears no leader, and joins
// again as a learner.
//
//===----------------------------------------------------------------------===//

#include "control/internal/raftparts.h"

#include <algorithm>

namespace geraniumbay::control {

namespace raft {

namespace {

/// A voter that has been silent for so long is replaced or dropped. A process
/// that is killed is back within a second or so, and one that is dropped for
/// nothing joins again in about a second. But a new VM must vote four seconds
/// after its start, the least time that the platform grants it to catch up: the
/// next loss may come then.
constexpr Duration ReplaceAfter = std::chrono::seconds(2);
/// A learner waits for a voter that has not answered this many heartbeats: it
/// is about to be silent, or to be heard again.
constexpr int MissedHeartbeats = 3;

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

/// The voter that has been silent longest; null if there are none.
const MemberId *mostSilent(const RaftState &State, Time Now) {
  const std::vector<MemberId> &Voters = State.Group.Members.Voters;
  auto Found = std::max_element(Voters.begin(), Voters.end(),
                                [&](const MemberId &One, const MemberId &Two) {
                                  return silenceOf(State, One, Now) <
                                         silenceOf(State, Two, Now);
                                });
  return Found == Voters.end() ? nullptr : &*Found;
}

/// The voter whose place a learner at another VM takes; null if it comes in
/// addition.
const MemberId *placeToTake(const RaftState &State, Time Now) {
  if (!State.Settings.AdmitsUnlisted)
    return nullptr;
  const MemberId *Silent = mostSilent(State, Now);
  return Silent && missesHeartbeats(State, *Silent, Now) ? Silent : nullptr;
}

/// Takes the next step from \p Learner to a voter in its VM's place, or in that
/// of one that is gone.
void admit(RaftState &State, Actions &Out, const MemberId &Learner, Time Now) {
  Membership Members = State.Group.Members;
  const MemberId *Own = memberOfVm(Members.Voters, Learner.Vm);
  const MemberId *Old = Own ? Own : placeToTake(State, Now);
  if (Old) {
    Duration Patience = Own ? State.Settings.ElectionTimeout : ReplaceAfter;
    if (silenceOf(State, *Old, Now) < Patience)
      return;
    std::erase(Members.Voters, MemberId(*Old));
  } else {
    std::erase(Members.Learners, MemberId(Learner));
    insertSorted(Members.Voters, Learner);
  }
  appendAsLeader(State, Out, std::move(Members), Now);
}

bool isAboveLeastSize(const RaftState &State) {
  return State.Settings.AdmitsUnlisted &&
         State.Group.Members.Voters.size() > State.Settings.LeastVoters;
}

/// Drops a voter that is gone from a group above its least size.
void dropSilent(RaftState &State, Actions &Out, Time Now) {
  if (!isAboveLeastSize(State))
    return;
  const MemberId *Silent = mostSilent(State, Now);
  if (!Silent || silenceOf(State, *Silent, Now) < ReplaceAfter)
    return;
  Membership Members = State.Group.Members;
  std::erase(Members.Voters, MemberId(*Silent));
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

void askForGroup(const RaftState &State, Actions &Out,
                 const std::set<VmId> &Vms) {
  for (const VmId &Vm : Vms)
    if (Vm != State.Self.Vm)
      send(State, Out, {Vm, Generation(0)}, FindGroup{});
}

std::set<VmId> settingsVms(const RaftState &State) {
  const std::vector<VmId> &Vms = State.Settings.ControlVms;
  return {Vms.begin(), Vms.end()};
}

bool namesTheSettingsVms(const RaftState &State, const Membership &Founders) {
  std::vector<VmId> Vms;
  for (const MemberId &Member : Founders.Voters)
    Vms.push_back(Member.Vm);
  return Vms == State.Settings.ControlVms;
}

} // namespace

bool hasCaughtUp(const RaftState &State, const Progress &Peer, Time Now) {
  return Peer.Answered && Peer.Match >= State.Commit &&
         Now - Peer.LastHeard < State.Settings.ElectionTimeout;
}

Duration silenceOf(const RaftState &State, const MemberId &Voter, Time Now) {
  return Voter == State.Self ? Duration(0)
                             : Now - State.Peers.at(Voter).LastHeard;
}

bool missesHeartbeats(const RaftState &State, const MemberId &Voter, Time Now) {
  return silenceOf(State, Voter, Now) >=
         State.Settings.Heartbeat * MissedHeartbeats;
}

void tickJoining(RaftState &State, Actions &Out, Time Now) {
  if (Now < State.FindDue)
    return;
  State.FindDue = Now + State.Settings.FindInterval;
  // Only answers of one round count, so an old "empty" does not.
  State.EmptyPeers.clear();
  askForGroup(State, Out, settingsVms(State));
  foundIfAllEmpty(State, Out, Now);
}

void findGroupAgain(RaftState &State, Actions &Out, Time Now) {
  bool Hears = State.LeaderHeard &&
               Now - *State.LeaderHeard < State.Settings.ElectionTimeout * 2;
  if (!State.Settings.AdmitsUnlisted || Hears || Now < State.FindDue)
    return;
  State.FindDue = Now + State.Settings.FindInterval;
  std::set<VmId> Asked = settingsVms(State);
  for (const MemberId &Voter : State.Group.Members.Voters)
    Asked.insert(Voter.Vm);
  askForGroup(State, Out, Asked);
}

void onFindGroup(RaftState &State, Actions &Out, const Message &From,
                 Time Now) {
  bool InGroup = State.Current != Role::Joining;
  FindGroupAnswer Told{InGroup || State.Hard.HadGroup};
  if (State.Leader)
    Told.Leader = State.Leader->Vm;
  answer(State, Out, From, std::move(Told));
  if (!InGroup || !isListed(State, From.From.Vm))
    return;
  // A founder that is still empty has not heard of the founding: it has never
  // voted, so it may still enter.
  const Membership &Members = State.Group.Members;
  if (isVoter(State.Hard.Founders, From.From) && isVoter(Members, From.From))
    return send(State, Out, From.From, FoundGroup{State.Hard.Founders});
  bool Known = isVoter(Members, From.From) || isLearner(Members, From.From);
  if (!Known && mayChangeMembers(State))
    addLearner(State, Out, From.From, Now);
}

void onFindGroupAnswer(RaftState &State, Actions &Out, const Message &From,
                       const FindGroupAnswer &Body, Time Now) {
  if (Body.Leader && *Body.Leader != From.From.Vm &&
      *Body.Leader != State.Self.Vm)
    send(State, Out, {*Body.Leader, Generation(0)}, FindGroup{});
  if (State.Current != Role::Joining)
    return;
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
  if (mayChangeMembers(State))
    dropSilent(State, Out, Now);
}

} // namespace raft

bool maySpareVoter(const RaftState &State, const VmId &Vm) {
  return raft::isAboveLeastSize(State) &&
         raft::memberOfVm(State.Group.Members.Voters, Vm);
}

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
