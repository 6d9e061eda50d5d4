//===- groupfake.cpp - A control group on fakes ---------------------------===//

#include "control/tests/groupfake.h"

#include "control/internal/raftparts.h"

#include <algorithm>

namespace geraniumbay::control {

GroupFake::GroupFake(std::size_t Count, std::uint64_t Seed) : Rng_(Seed) {
  for (std::size_t I = 0; I < Count; ++I) {
    Members.push_back(std::make_unique<FakeMember>());
    Members[I]->Vm = VmId("c" + std::to_string(I));
    Settings.ControlVms.push_back(Members[I]->Vm);
  }
  Settings.MayFound = true;
  Settings.MaxLogEntries = 8;
}

void GroupFake::start(std::size_t I) {
  FakeMember &Member = *Members[I];
  if (Member.Runner)
    return;
  Member.Store = std::make_unique<MemberStore>(
      Member.Disk, Generation((Rng_.bits() >> 1U) + 1));
  auto Found = attempt([&] { return Member.Store->recover(); });
  bool DiskFails =
      Member.DiskMayFail && !Found.ok() && Found.error().Code == ErrorCode::Io;
  expect(Found.ok() || DiskFails, "recovery fails");
  if (!Found)
    return;
  MemberId Self{Member.Vm, Found->Disk};
  Replica State =
      startReplica(startMember(Settings, Self, Found->Hard, Found->Log,
                               Rng_.bits(), Clock.now()),
                   [](const std::string &, const std::string &New) -> Ret {
                     if (New == "bad")
                       return fail(ErrorCode::InvalidArgument, "bad document");
                     return {};
                   });
  MemberOutputs Out;
  Out.Send = [this](const Message &What) { onSend(What); };
  Out.Reply = [this](const ProposalReply &Reply) { onReply(Reply); };
  Out.Handled = [this, I](const ReplicaEvent &) { check(I); };
  Out.Failed = [this, I](const Error &Why) {
    expect(Members[I]->DiskMayFail, Why.Message);
  };
  Member.Runner = std::make_unique<MemberRunner>(std::move(State),
                                                 *Member.Store, Clock, Out);
}

void GroupFake::crash(std::size_t I) {
  Members[I]->Disk.crash(Rng_);
  forget(I);
}

void GroupFake::kill(std::size_t I) {
  Members[I]->Disk.endProcess();
  forget(I);
}

void GroupFake::forget(std::size_t I) {
  Members[I]->Runner.reset();
  Members[I]->Held.clear();
  Members[I]->Frozen = false;
  Members[I]->StopBy.reset();
  Members[I]->Leave = ProposalId();
  LastVersion_.erase(I);
}

void GroupFake::wipe(std::size_t I) {
  crash(I);
  Members[I]->Disk.wipe();
}

void GroupFake::stop(std::size_t I) {
  constexpr Duration GiveUp = std::chrono::seconds(2);
  if (up(I))
    Members[I]->StopBy = Clock.now() + GiveUp;
}

void GroupFake::goOnStopping(std::size_t I) {
  FakeMember &Member = *Members[I];
  auto Answer = Answers.find(Member.Leave);
  bool Settled = Answer != Answers.end() && Answer->second;
  if (Settled || Clock.now() >= *Member.StopBy)
    return kill(I);
  int Leader = leader();
  if (at(I).Raft.Current == Role::Leader)
    Member.Runner->post(HandOver{});
  else if (Leader >= 0)
    Member.Leave = submit(std::size_t(Leader), GiveUpVote{Member.Vm});
}

void GroupFake::thaw(std::size_t I) {
  Members[I]->Frozen = false;
  for (Message &What : std::exchange(Members[I]->Held, {}))
    if (Members[I]->Runner)
      Members[I]->Runner->post(Received{What});
}

void GroupFake::failDisk(std::size_t I, bool Fail) {
  Members[I]->DiskMayFail = true;
  Members[I]->Disk.setSyncsFail(Fail);
}

void GroupFake::cut(std::size_t I, bool Off) {
  for (std::size_t J = 0; J < Members.size(); ++J)
    if (J != I)
      cutLink(I, J, Off);
}

void GroupFake::cutLink(std::size_t I, std::size_t J, bool Off) {
  for (auto Way : {std::pair(I, J), std::pair(J, I)})
    if (Off)
      Off_.insert(Way);
    else
      Off_.erase(Way);
}

void GroupFake::deliver(std::size_t K, bool Keep) {
  Message What = Net[K];
  if (!Keep)
    drop(K);
  FakeMember &To = *Members[indexOf(What.To.Vm)];
  if (isCut(What) || !To.Runner)
    return;
  if (To.Frozen)
    To.Held.push_back(What);
  else
    To.Runner->post(Received{What});
}

void GroupFake::tick(Duration Step) {
  Clock.advance(Step);
  for (auto &Member : Members) {
    if (!Member->Runner || Member->Frozen || Member->Runner->busy())
      continue;
    if (Member->Runner->failed())
      (void)attempt([&] { return Member->Runner->repair(); });
    Member->Runner->post(Tick{});
  }
}

void GroupFake::completeSyncs() {
  for (auto &Member : Members)
    Member->Disk.completeSyncs();
}

void GroupFake::run(Duration For) {
  for (Time End = Clock.now() + For; Clock.now() < End;) {
    tick(std::chrono::milliseconds(50));
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (Members[I]->StopBy)
        goOnStopping(I);
    for (int Round = 0; Round < 20; ++Round) {
      completeSyncs();
      for (Message &What : std::exchange(Net, {})) {
        Net.insert(Net.begin(), What);
        deliver(0, false);
      }
    }
  }
}

int GroupFake::leader() const {
  Term Best;
  int Found = -1;
  for (std::size_t I = 0; I < Members.size(); ++I)
    if (up(I) && !Members[I]->Frozen && mayPropose(at(I).Raft) &&
        at(I).Raft.Hard.Current > Best) {
      Best = at(I).Raft.Hard.Current;
      Found = static_cast<int>(I);
    }
  return Found;
}

int GroupFake::runToLeader(Duration AtMost) {
  for (Time End = Clock.now() + AtMost; Clock.now() < End && leader() < 0;)
    run(std::chrono::milliseconds(50));
  return leader();
}

ProposalId GroupFake::submit(std::size_t I, ProposalBody Body) {
  ProposalId Id(++LastId_);
  if (const auto *Change = std::get_if<ConfigChange>(&Body))
    Proposed_[Id] = *Change;
  Members[I]->Runner->post(Submit{Id, std::move(Body)});
  return Id;
}

ProposalId GroupFake::change(std::size_t I, const std::string &Operation,
                             std::uint64_t Base, const std::string &Document) {
  return submit(
      I, ConfigChange{OperationId(Operation), ConfigVersion(Base), Document});
}

std::size_t GroupFake::inGroup() const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Members.size(); ++I)
    if (up(I) && at(I).Raft.Current != Role::Joining)
      ++Count;
  return Count;
}

bool GroupFake::canElect() const {
  auto Holds = [this](const MemberId &Voter) {
    return std::any_of(Members.begin(), Members.end(), [&](const auto &Member) {
      const RaftState &State = Member->Runner->replica().Raft;
      return State.Self == Voter && State.Current != Role::Joining;
    });
  };
  bool Known = false;
  for (const auto &Member : Members) {
    const Membership &Now = Member->Runner->replica().Raft.Group.Members;
    if (Now.Voters.empty())
      continue;
    Known = true;
    auto Count = std::count_if(Now.Voters.begin(), Now.Voters.end(), Holds);
    if (!raft::isMajority(Now, static_cast<std::size_t>(Count)))
      return false;
  }
  return Known;
}

bool GroupFake::isCut(const Message &What) const {
  return Off_.contains({indexOf(What.From.Vm), indexOf(What.To.Vm)});
}

std::size_t GroupFake::indexOf(const VmId &Vm) const {
  for (std::size_t I = 0; I < Members.size(); ++I)
    if (Members[I]->Vm == Vm)
      return I;
  return 0;
}

void GroupFake::onSend(const Message &What) {
  const auto *Vote = std::get_if<VoteResponse>(&What.Body);
  expect(!Vote || !Vote->Granted || EverVoters_.contains(What.From),
         "a vote by one that is no voter");
  Net.push_back(What);
}

void GroupFake::onReply(const ProposalReply &Reply) {
  Answers.emplace(Reply.Id, Reply.Answer);
  auto Change = Proposed_.find(Reply.Id);
  if (!Reply.Answer || Change == Proposed_.end())
    return;
  const auto &Answer = std::get<ConfigAnswer>(*Reply.Answer);
  if (Answer.Failure == ErrorCode::InvalidArgument)
    return;
  auto [First, New] = Given_.emplace(Change->second.Operation, Answer);
  expect(New || First->second == Answer, "a resend got another answer");
}

void GroupFake::check(std::size_t I) {
  const Replica &State = at(I);
  if (State.Raft.Current == Role::Joining)
    return;
  GroupId Group = State.Raft.Hard.Group;
  checkVoters(State.Raft);
  auto [Known, New] =
      States_.emplace(std::pair(Group, State.Applied), State.Machine);
  expect(New || Known->second == State.Machine, "two states at one index");
  for (LogIndex K = next(State.Raft.Log.Base.Last); K <= State.Applied;
       K = next(K)) {
    const LogEntry &Entry = entryAt(State.Raft.Log, K);
    auto [Before, Fresh] = Entries_.emplace(std::pair(Group, K), Entry);
    expect(Fresh || Before->second == Entry, "a committed entry changed");
  }
  expect(State.Machine.Version >= LastVersion_[I], "a version went back");
  LastVersion_[I] = State.Machine.Version;
  std::set<OperationId> Seen;
  for (const ChangeRecord &Record : State.Machine.History)
    expect(Seen.insert(Record.Operation).second, "an operation came twice");
  checkLeader(State);
}

void GroupFake::checkVoters(const RaftState &State) {
  for (const MemberId &Voter : State.Group.Members.Voters) {
    bool New = EverVoters_.insert(Voter).second;
    auto Peer = State.Peers.find(Voter);
    expect(!New || Peer == State.Peers.end() ||
               Peer->second.Match >= State.Commit,
           "a voter that has not caught up");
  }
}

void GroupFake::checkLeader(const Replica &State) {
  if (State.Raft.Current != Role::Leader)
    return;
  GroupId Group = State.Raft.Hard.Group;
  auto [Known, New] = Leaders_.emplace(
      std::pair(Group, State.Raft.Hard.Current), State.Raft.Self);
  expect(Known->second == State.Raft.Self, "two leaders of one term");
  if (New && !Entries_.empty()) {
    auto Last = Entries_.upper_bound({Group, LogIndex(UINT64_MAX)});
    if (Last != Entries_.begin() && (--Last)->first.first == Group)
      expect(lastIndex(State.Raft.Log) >= Last->first.second,
             "a leader lacks a committed entry");
  }
  // A deposed leader may lag: it commits nothing any more.
  bool Newest = Leaders_.upper_bound({Group, State.Raft.Hard.Current}) ==
                Leaders_.upper_bound({Group, Term(UINT64_MAX)});
  if (!Newest || !mayPropose(State.Raft))
    return;
  for (const auto &[Operation, Answer] : Given_) {
    auto Found = State.Machine.Operations.find(Operation);
    expect(Found != State.Machine.Operations.end() &&
               Found->second.Answer == Answer,
           "an answer that was given is lost");
  }
}

void GroupFake::checkLogs() {
  for (std::size_t A = 0; A < Members.size(); ++A)
    for (std::size_t B = 0; B < A; ++B) {
      if (!up(A) || !up(B) || at(A).Raft.Hard.Group != at(B).Raft.Hard.Group)
        continue;
      const RaftLog &One = at(A).Raft.Log;
      const RaftLog &Two = at(B).Raft.Log;
      bool Same = false;
      for (LogIndex K = std::min(lastIndex(One), lastIndex(Two));
           K > std::max(One.Base.Last, Two.Base.Last); K = previous(K)) {
        Same = Same || termAt(One, K) == termAt(Two, K);
        expect(!Same || entryAt(One, K) == entryAt(Two, K),
               "logs that agree at an index differ before it");
      }
    }
}

void GroupFake::expect(bool Holds, const std::string &What) {
  if (!Holds && Wrong.empty())
    Wrong = What;
}

} // namespace geraniumbay::control
