//===- grouptest.cpp - The control group under chosen failures ------------===//

#include "control/internal/raftparts.h"
#include "control/tests/groupfake.h"
#include "framework/random/random.h"

#include <gtest/gtest.h>

namespace geraniumbay::control {
namespace {

using namespace std::chrono_literals;

class GroupTest : public testing::Test {
public:
  void startAll() {
    for (std::size_t I = 0; I < Group.Members.size(); ++I)
      Group.start(I);
    ASSERT_GE(Group.runToLeader(), 0);
    Group.run(1s);
  }

  std::size_t leader() {
    int Found = Group.runToLeader();
    EXPECT_GE(Found, 0);
    return Found < 0 ? 0 : static_cast<std::size_t>(Found);
  }

  /// Submits at the leader and runs until the answer is there.
  Outcome<ProposalAnswer> answerOf(ProposalId Id) {
    for (int I = 0; I < 100 && !Group.Answers.contains(Id); ++I)
      Group.run(50ms);
    auto Found = Group.Answers.find(Id);
    if (Found == Group.Answers.end())
      return Error{ErrorCode::Timeout, "no answer"};
    return Found->second;
  }

  ConfigAnswer change(const std::string &Operation, std::uint64_t Base,
                      const std::string &Document = "doc") {
    auto Answer = answerOf(Group.change(leader(), Operation, Base, Document));
    EXPECT_TRUE(Answer.ok()) << Answer.error().Message;
    return Answer ? std::get<ConfigAnswer>(*Answer) : ConfigAnswer{};
  }

  /// Kills all members and starts them, one with an emptied disk.
  void loseAll(std::optional<std::size_t> Emptied) {
    for (std::size_t I = 0; I < 3; ++I)
      Group.crash(I);
    if (Emptied)
      Group.wipe(*Emptied);
    for (std::size_t I = 0; I < 3; ++I)
      Group.start(I);
  }

  void expectLeaderAtOnce() {
    Time Began = Group.Clock.now();
    ASSERT_GE(Group.runToLeader(), 0);
    EXPECT_LT(Group.Clock.now() - Began, Group.Settings.ElectionTimeout / 2);
  }

  void TearDown() override {
    Group.checkLogs();
    EXPECT_EQ(Group.Wrong, "");
  }

  ConfigAnswer accepted(std::uint64_t Version) {
    return {std::nullopt, ConfigVersion(Version)};
  }

  GroupFake Group{3};
};

TEST_F(GroupTest, AGroupIsFoundedAndTakesAChange) {
  startAll();
  EXPECT_EQ(change("a", 0), accepted(1));
  Group.run(1s);
  for (std::size_t I = 0; I < 3; ++I)
    EXPECT_EQ(Group.at(I).Machine.Version, ConfigVersion(1));
}

TEST_F(GroupTest, OfTwoChangesWithEqualBaseOneWins) {
  startAll();
  auto First = Group.change(leader(), "a", 0, "one");
  auto Second = Group.change(leader(), "b", 0, "two");
  EXPECT_EQ(std::get<ConfigAnswer>(*answerOf(First)), accepted(1));
  EXPECT_EQ(std::get<ConfigAnswer>(*answerOf(Second)),
            (ConfigAnswer{ErrorCode::Conflict, ConfigVersion(1)}));
}

TEST_F(GroupTest, AResendAfterALostAnswerGetsTheFirstAnswer) {
  startAll();
  std::size_t Old = leader();
  Group.change(Old, "a", 0);
  Group.run(100ms);
  Group.crash(Old);
  EXPECT_EQ(change("a", 0), accepted(1));
  EXPECT_EQ(change("b", 1), accepted(2));
  EXPECT_EQ(change("a", 0), accepted(1));
}

TEST_F(GroupTest, ABadDocumentChangesNothing) {
  startAll();
  auto Answer = answerOf(Group.change(leader(), "a", 0, "bad"));
  ASSERT_FALSE(Answer.ok());
  EXPECT_EQ(Answer.error().Code, ErrorCode::InvalidArgument);
  EXPECT_EQ(change("b", 0), accepted(1));
}

TEST_F(GroupTest, AFollowerTakesNoProposal) {
  startAll();
  std::size_t Follower = (leader() + 1) % 3;
  auto Answer = answerOf(Group.change(Follower, "a", 0));
  ASSERT_FALSE(Answer.ok());
  EXPECT_EQ(Answer.error().Code, ErrorCode::Unavailable);
}

TEST_F(GroupTest, RestartAfterHundredsOfChangesKeepsThemAll) {
  startAll();
  for (std::uint64_t I = 0; I < 300; ++I)
    ASSERT_EQ(change("op" + std::to_string(I), I), accepted(I + 1));
  MachineState Before = Group.at(leader()).Machine;
  for (std::size_t I = 0; I < 3; ++I)
    Group.crash(I);
  for (std::size_t I = 0; I < 3; ++I)
    Group.start(I);
  EXPECT_EQ(Group.at(leader()).Machine, Before);
  EXPECT_LE(Group.at(leader()).Raft.Log.Entries.size(), 17U);
  EXPECT_EQ(change("op7", 7), accepted(8));
  EXPECT_EQ(change("more", 300), accepted(301));
}

TEST_F(GroupTest, AnIsolatedMemberThatReturnsDoesNotDisturb) {
  startAll();
  std::size_t Leader = leader();
  std::size_t Away = (Leader + 1) % 3;
  Term Before = Group.at(Leader).Raft.Hard.Current;
  Group.cut(Away);
  Group.run(600s);
  EXPECT_EQ(change("a", 0), accepted(1));
  Group.cut(Away, false);
  Group.run(10s);
  EXPECT_EQ(leader(), Leader);
  EXPECT_EQ(Group.at(Leader).Raft.Hard.Current, Before);
  EXPECT_EQ(Group.at(Away).Machine.Version, ConfigVersion(1));
}

TEST_F(GroupTest, AMemberThatOnlyTheLeaderCannotReachDoesNotDisturb) {
  startAll();
  std::size_t Leader = leader();
  std::size_t Away = (Leader + 1) % 3;
  Term Before = Group.at(Leader).Raft.Hard.Current;
  Group.cutLink(Leader, Away);
  Group.run(600s);
  EXPECT_EQ(leader(), Leader);
  EXPECT_EQ(Group.at(Leader).Raft.Hard.Current, Before);
}

TEST_F(GroupTest, AnIsolatedLeaderStepsDownAndItsChangeIsLost) {
  startAll();
  std::size_t Old = leader();
  Group.cut(Old);
  auto Lost = Group.change(Old, "lost", 0, "old");
  Group.run(5s);
  EXPECT_NE(Group.at(Old).Raft.Current, Role::Leader);
  EXPECT_EQ(answerOf(Lost).error().Code, ErrorCode::Timeout);
  EXPECT_EQ(change("new", 0), accepted(1));
  Group.cut(Old, false);
  Group.run(5s);
  EXPECT_EQ(Group.at(Old).Machine, Group.at(leader()).Machine);
  EXPECT_EQ(change("lost", 0).Failure, ErrorCode::Conflict);
}

TEST_F(GroupTest, AFrozenLeaderThatReturnsLateCommitsNothing) {
  startAll();
  std::size_t Old = leader();
  Group.freeze(Old);
  Group.run(60s);
  std::size_t New = leader();
  EXPECT_EQ(change("new", 0), accepted(1));
  // It still believes that it leads when the proposal arrives.
  auto Late = Group.change(Old, "late", 0);
  Group.thaw(Old);
  Group.run(10s);
  EXPECT_FALSE(answerOf(Late).ok());
  EXPECT_EQ(leader(), New);
  EXPECT_EQ(Group.at(Old).Machine, Group.at(New).Machine);
}

TEST_F(GroupTest, AWipedMemberVotesOnlyAfterItHasJoinedAgain) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  std::size_t Leader = leader();
  std::size_t Lost = (Leader + 1) % 3;
  std::size_t Other = (Leader + 2) % 3;
  MemberId Before = Group.at(Lost).Raft.Self;
  // The other follower misses the change that the lost one acknowledged.
  Group.cut(Other);
  ASSERT_EQ(change("b", 1), accepted(2));
  Group.wipe(Lost);
  Group.cut(Other, false);
  Group.cut(Leader);
  Group.start(Lost);
  Group.run(60s);
  EXPECT_EQ(Group.leader(), -1) << "an empty disk helped to elect a leader";
  Group.cut(Leader, false);
  Group.run(20s);
  EXPECT_EQ(Group.at(leader()).Machine.Version, ConfigVersion(2));
  EXPECT_NE(Group.at(Lost).Raft.Self, Before);
  EXPECT_EQ(Group.at(Lost).Raft.Group.Members.Voters.size(), 3U);
}

TEST_F(GroupTest, ASecondMemberMayBeLostRightAfterARepair) {
  startAll();
  for (std::uint64_t I = 0; I < 20; ++I)
    ASSERT_EQ(change("op" + std::to_string(I), I), accepted(I + 1));
  for (std::size_t Round = 0; Round < 6; ++Round) {
    std::size_t Lost = Round % 3;
    Group.wipe(Lost);
    Group.start(Lost);
    for (int I = 0; I < 400; ++I) {
      Group.run(50ms);
      const RaftState &State = Group.at(Lost).Raft;
      if (raft::isVoter(State.Group.Members, State.Self) &&
          State.Group.Index <= State.Commit)
        break;
    }
    EXPECT_EQ(Group.at(leader()).Machine.Version, ConfigVersion(20 + Round));
    EXPECT_EQ(change("r" + std::to_string(Round), 20 + Round),
              accepted(21 + Round));
  }
}

TEST_F(GroupTest, ASecondLossDuringARepairStopsTheGroupButLosesNothing) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  std::size_t Last = leader();
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Last)
      Group.wipe(I);
  for (std::size_t I = 0; I < 3; ++I)
    Group.start(I);
  Group.run(60s);
  EXPECT_EQ(Group.leader(), -1);
  EXPECT_EQ(Group.at(Last).Machine.Version, ConfigVersion(1));
}

TEST_F(GroupTest, NoGroupIsFoundedWhileAMemberIsSilent) {
  Group.start(0);
  Group.start(1);
  Group.run(60s);
  EXPECT_EQ(Group.inGroup(), 0U);
  Group.start(2);
  EXPECT_GE(Group.runToLeader(), 0);
}

TEST_F(GroupTest, NoGroupIsFoundedWithoutLeave) {
  Group.Settings.MayFound = false;
  for (std::size_t I = 0; I < 3; ++I)
    Group.start(I);
  Group.run(60s);
  EXPECT_EQ(Group.inGroup(), 0U);
}

TEST_F(GroupTest, ACorruptFolderFoundsNoGroup) {
  for (std::size_t Damaged = 0; Damaged < 3; ++Damaged) {
    startAll();
    for (std::size_t I = 0; I < 3; ++I) {
      Group.crash(I);
      if (I == Damaged)
        Group.Members[I]->Disk.flipByte("snapshot", 20);
      else
        Group.wipe(I);
    }
    for (std::size_t I = 0; I < 3; ++I)
      Group.start(I);
    Group.run(60s);
    EXPECT_EQ(Group.inGroup(), 0U) << Damaged;
    for (std::size_t I = 0; I < 3; ++I)
      Group.wipe(I);
  }
}

TEST_F(GroupTest, ACorruptFolderMakesANewMember) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  std::size_t Lost = (leader() + 1) % 3;
  MemberId Before = Group.at(Lost).Raft.Self;
  Group.crash(Lost);
  // A byte of an entry, not of the header.
  Group.Members[Lost]->Disk.flipByte("log-0", 100);
  Group.start(Lost);
  Group.run(20s);
  EXPECT_NE(Group.at(Lost).Raft.Self, Before);
  EXPECT_TRUE(raft::isVoter(Group.at(Lost).Raft.Group.Members,
                            Group.at(Lost).Raft.Self));
  EXPECT_EQ(Group.at(Lost).Machine.Version, ConfigVersion(1));
}

TEST_F(GroupTest, ATornTailIsCutAndTheMemberKeepsItsIdentity) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  for (std::size_t Round = 0; Round < 2; ++Round)
    for (std::size_t I = 0; I < 3; ++I) {
      MemberId Before = Group.at(I).Raft.Self;
      Group.crash(I);
      FakeStorage &Disk = Group.Members[I]->Disk;
      auto Names = attempt([&] { return Disk.list(); });
      for (const std::string &Name : *Names)
        if (Name.starts_with("log-"))
          (void)attempt([&] { return Disk.append(Name, "torn"); });
      Group.start(I);
      EXPECT_EQ(Group.at(I).Raft.Self, Before);
      std::uint64_t Now = 1 + Round * 3 + I;
      EXPECT_EQ(change("t" + std::to_string(Now), Now), accepted(Now + 1));
      Group.run(1s);
    }
  EXPECT_EQ(Group.at(leader()).Machine.Version, ConfigVersion(7));
}

TEST_F(GroupTest, ARemovedMemberIsOutAndTheLastTwoGoOn) {
  startAll();
  std::size_t Out = (leader() + 1) % 3;
  auto Answer =
      answerOf(Group.submit(leader(), RemoveVoter{Group.Members[Out]->Vm}));
  EXPECT_TRUE(Answer.ok());
  Group.run(1s);
  EXPECT_EQ(Group.at(leader()).Raft.Group.Members.Voters.size(), 2U);
  EXPECT_EQ(change("a", 0), accepted(1));
  Group.run(30s);
  EXPECT_NE(leader(), Out);
}

// All processes are killed and start anew: nobody can have promised anything to
// a leader that is still there.
TEST_F(GroupTest, AfterALossOfAllProcessesALeaderComesAtOnce) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  loseAll({});
  expectLeaderAtOnce();
  EXPECT_EQ(change("b", 1), accepted(2));
}

TEST_F(GroupTest, AnEmptiedDiskDoesNotDelayThatLeader) {
  startAll();
  ASSERT_EQ(change("a", 0), accepted(1));
  Group.run(1s);
  loseAll(0);
  expectLeaderAtOnce();
  EXPECT_EQ(change("b", 1), accepted(2));
}

// Members that start one after the other stand for election at the same moment
// once the last of them answers. A tie costs no election timeout.
TEST(StaggeredStartTest, AnEvenGroupHasALeaderSoonAfterTheLastStart) {
  constexpr std::size_t Count = 6;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    GroupFake Group(Count, Seed);
    for (std::size_t I = 0; I < Count; ++I)
      Group.start(I);
    ASSERT_GE(Group.runToLeader(), 0);
    Group.run(1s);
    for (std::size_t I = 0; I < Count; ++I)
      Group.crash(I);
    Random Rng(Seed);
    for (std::size_t I = 0; I < Count; ++I) {
      Group.run(Duration(Rng.below(2) * 50'000));
      Group.start(I);
    }
    Time LastStart = Group.Clock.now();
    ASSERT_GE(Group.runToLeader(), 0);
    EXPECT_LE(Group.Clock.now() - LastStart, Group.Settings.ElectionTimeout)
        << "seed " << Seed;
    EXPECT_EQ(Group.Wrong, "");
  }
}

// The leader is there but only one follower reaches it, and that one has just
// started: it does not vote while the leader may count on it.
TEST_F(GroupTest, AStartedMemberKeepsAPromiseToALeaderThatIsSilentForOthers) {
  startAll();
  std::size_t Leader = leader();
  std::size_t Other = (Leader + 1) % 3;
  std::size_t Started = (Leader + 2) % 3;
  Group.cutLink(Leader, Other);
  Group.crash(Started);
  Group.cutLink(Leader, Started);
  Group.start(Started);
  Group.run(Group.Settings.ElectionTimeout - 100ms);
  EXPECT_NE(Group.leader(), static_cast<int>(Other));
  EXPECT_NE(Group.leader(), static_cast<int>(Started));
}

} // namespace
} // namespace geraniumbay::control
