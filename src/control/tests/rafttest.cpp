//===- rafttest.cpp - Single rules of the consensus core ------------------===//

#include "control/internal/raft.h"
#include "control/tests/groupfake.h"

#include <gtest/gtest.h>

namespace geraniumbay::control {
namespace {

using namespace std::chrono_literals;

const MemberId Self{VmId("c0"), Generation(1)};
const MemberId Second{VmId("c1"), Generation(2)};
const MemberId Third{VmId("c2"), Generation(3)};
const GroupId Group(5);
const Time Start{1h};

/// A follower of term 3 whose log has entries of the terms 1 and 2, and that
/// started at \p Began: by default long enough ago that it may vote.
RaftState follower(Time Began = Start - RaftSettings().ElectionTimeout) {
  RaftSettings Settings;
  Settings.ControlVms = {Self.Vm, Second.Vm, Third.Vm};
  HardState Hard;
  Hard.Group = Group;
  Hard.Current = Term(3);
  RaftLog Log;
  Log.Base.Members.Voters = {Self, Second, Third};
  Log.Entries = {{Term(1), Noop{}}, {Term(2), Noop{}}};
  return startMember(Settings, Self, Hard, Log, 1, Began);
}

Actions receive(RaftState &State, const MemberId &From, std::uint64_t At,
                MessageBody Body, Time Now = Start) {
  return step(State, Received{{Group, From, Self, Term(At), 0, Body}}, Now);
}

bool granted(const Actions &Out) {
  return std::get<VoteResponse>(Out.Messages.at(0).Body).Granted;
}

TEST(RaftTest, ACandidateWithAnOlderLastTermGetsNoVote) {
  RaftState State = follower();
  EXPECT_FALSE(granted(
      receive(State, Second, 4, VoteRequest{false, LogIndex(9), Term(1)})));
  EXPECT_TRUE(granted(
      receive(State, Third, 5, VoteRequest{false, LogIndex(2), Term(2)})));
}

// It may have promised a leader to follow it right before it stopped, and the
// leader counts on that for its lease.
TEST(RaftTest, AMemberThatHasJustStartedGivesNoVote) {
  RaftState State = follower(Start);
  VoteRequest Good{false, LogIndex(2), Term(2)};
  EXPECT_FALSE(granted(receive(State, Second, 4, Good, Start)));
  Time Later = Start + State.Settings.ElectionTimeout;
  EXPECT_TRUE(granted(receive(State, Second, 4, Good, Later)));
}

TEST(RaftTest, AHandOverMovesAFollowerThatHearsItsLeader) {
  RaftState State = follower();
  receive(State, Second, 3,
          AppendRequest{LogIndex(2), Term(2), {}, LogIndex(0)});
  VoteRequest Usual{false, LogIndex(2), Term(2)};
  VoteRequest HandedOver{false, LogIndex(2), Term(2), true};
  EXPECT_FALSE(granted(receive(State, Third, 4, Usual)));
  EXPECT_TRUE(granted(receive(State, Third, 4, HandedOver)));
}

TEST(RaftTest, ALeaseEndsWhenNoMajorityHasAnsweredLately) {
  RaftState State = follower();
  Time Elected = Start + 10s;
  step(State, Tick{}, Elected);
  receive(State, Second, 4, VoteResponse{true, true}, Elected);
  receive(State, Second, 4, VoteResponse{false, true}, Elected);
  ASSERT_EQ(State.Current, Role::Leader);
  auto Answer = [&](Time Sent, Time Now) {
    Message Back{Group,   Second, Self,
                 Term(4), 0,      AppendResponse{true, lastIndex(State.Log)},
                 Sent};
    step(State, Received{Back}, Now);
  };
  Duration Timeout = State.Settings.ElectionTimeout;
  // The answer came late: the lease counts from when the request was sent.
  Answer(Elected, Elected + Timeout / 2);
  EXPECT_TRUE(holdsLease(State, Elected + Timeout / 2));
  EXPECT_FALSE(holdsLease(State, Elected + Timeout));
}

TEST(RaftTest, ACandidateWithAShorterLogGetsNoVote) {
  RaftState State = follower();
  EXPECT_FALSE(granted(
      receive(State, Second, 4, VoteRequest{false, LogIndex(1), Term(2)})));
}

TEST(RaftTest, AVoteIsToBeOnDiskBeforeItIsGiven) {
  RaftState State = follower();
  Actions Out =
      receive(State, Second, 4, VoteRequest{false, LogIndex(2), Term(2)});
  EXPECT_TRUE(granted(Out));
  EXPECT_TRUE(Out.ToDisk.HardChanged);
  EXPECT_EQ(State.Hard.Vote, Second);
  // The term changed with the vote; the vote alone is to be on disk too.
  RaftState Later = follower();
  Out = receive(Later, Second, 3, VoteRequest{false, LogIndex(2), Term(2)});
  EXPECT_TRUE(granted(Out));
  EXPECT_TRUE(Out.ToDisk.HardChanged);
}

TEST(RaftTest, AMemberThatHearsItsLeaderGivesNoVote) {
  RaftState State = follower();
  receive(State, Second, 3, AppendRequest{LogIndex(2), Term(2), {}, {}});
  for (bool Pre : {true, false})
    EXPECT_FALSE(granted(
        receive(State, Third, 9, VoteRequest{Pre, LogIndex(2), Term(2)})));
  EXPECT_EQ(State.Hard.Current, Term(3));
}

/// Makes \p State the leader of term 4, with its first entry at index 3.
void lead(RaftState &State, Time Now) {
  step(State, Tick{}, Now);
  receive(State, Second, 4, VoteResponse{true, true}, Now);
  receive(State, Second, 4, VoteResponse{false, true}, Now);
  ASSERT_EQ(State.Current, Role::Leader);
}

TEST(RaftTest, OneChangeOfMembersAtATimeAndOnlyInTheLeadersOwnTerm) {
  RaftState State = follower();
  Time Now = Start + 10s;
  lead(State, Now);
  const MemberId NewThird{Third.Vm, Generation(9)};
  const MemberId NewSecond{Second.Vm, Generation(8)};
  receive(State, NewThird, 0, FindGroup{}, Now);
  EXPECT_EQ(lastIndex(State.Log), LogIndex(3)) << "before its own term commits";
  receive(State, Second, 4, AppendResponse{true, LogIndex(3)}, Now);
  receive(State, NewThird, 0, FindGroup{}, Now);
  EXPECT_EQ(State.Group.Members.Learners, std::vector{NewThird});
  receive(State, NewSecond, 0, FindGroup{}, Now);
  EXPECT_EQ(lastIndex(State.Log), LogIndex(4)) << "before the last one commits";
  EXPECT_EQ(State.Group.Members.Voters.size(), 3U);
}

TEST(RaftTest, ANewDiskTakesTheOldOnesPlaceOnlyWhenThatOneIsSilent) {
  RaftState State = follower();
  Time Now = Start + 10s;
  lead(State, Now);
  const MemberId NewThird{Third.Vm, Generation(9)};
  auto Answer = [&](const MemberId &From, std::uint64_t Match) {
    receive(State, From, 4, AppendResponse{true, LogIndex(Match)}, Now);
  };
  Answer(Second, 3);
  receive(State, NewThird, 0, FindGroup{}, Now);
  Answer(Second, 4);
  Answer(Third, 4);
  Answer(NewThird, 4);
  step(State, Tick{}, Now);
  EXPECT_EQ(lastIndex(State.Log), LogIndex(4)) << "the old one still answers";
  Now += 3s;
  Answer(Second, 4);
  Answer(NewThird, 4);
  step(State, Tick{}, Now);
  EXPECT_EQ(State.Group.Members.Voters, (std::vector{Self, Second}));
  Answer(Second, 5);
  step(State, Tick{}, Now);
  EXPECT_EQ(State.Group.Members.Voters.size(), 2U) << "it has not caught up";
  Answer(NewThird, 5);
  step(State, Tick{}, Now);
  EXPECT_EQ(State.Group.Members.Voters, (std::vector{Self, Second, NewThird}));
}

TEST(RaftTest, AnEntryOfAnEarlierTermCommitsOnlyThroughOneOfTheOwnTerm) {
  RaftState State = follower();
  Time Now = Start + 10s;
  lead(State, Now);
  receive(State, Second, 4, AppendResponse{true, LogIndex(2)}, Now);
  EXPECT_EQ(State.Commit, LogIndex(0));
  receive(State, Second, 4, AppendResponse{true, LogIndex(3)}, Now);
  EXPECT_EQ(State.Commit, LogIndex(3));
}

TEST(RaftTest, AVoteForAnotherDiskOfTheVmIsNotAnswered) {
  RaftState State = follower();
  Message ToOldDisk{Group,   Second, {Self.Vm, Generation(8)},
                    Term(4), 0,      VoteRequest{false, LogIndex(9), Term(9)}};
  EXPECT_TRUE(step(State, Received{ToOldDisk}, Start).Messages.empty());
}

TEST(RaftTest, AMemberWithoutAGroupDoesNotVote) {
  RaftState State = startMember(follower().Settings, Self, {}, {}, 1, Start);
  EXPECT_TRUE(
      receive(State, Second, 4, VoteRequest{false, LogIndex(9), Term(9)})
          .Messages.empty());
}

TEST(RaftTest, AnswersWaitForTheDisk) {
  GroupFake Fake(3);
  for (std::size_t I = 0; I < 3; ++I)
    Fake.start(I);
  auto Leader = static_cast<std::size_t>(Fake.runToLeader());
  Fake.run(1s);
  Fake.change(Leader, "a", 0);
  Fake.completeSyncs();
  ASSERT_EQ(Fake.Net.size(), 2U);
  Fake.deliver(0, false);
  Fake.deliver(0, false);
  EXPECT_TRUE(Fake.Net.empty()) << "an answer before the sync";
  Fake.completeSyncs();
  EXPECT_EQ(Fake.Net.size(), 2U);
}

} // namespace
} // namespace geraniumbay::control
