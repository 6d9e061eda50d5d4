//===- replacementtest.cpp - Control VMs that are gone for good -----------===//
//
// A VM that does not come back is replaced by an empty one at another address.
// The group must not count on the disk that is gone: after two replacements and
// a power loss with one emptied disk, the rest still has a majority.
//
//===----------------------------------------------------------------------===//

#include "control/internal/groupreport.h"
#include "control/internal/raftparts.h"
#include "control/tests/groupfake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace geraniumbay::control {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Founders = 3;
constexpr std::size_t Vms = 13;

class Replacement {
public:
  Replacement() : Group(Vms) {
    Group.Settings.ControlVms.resize(Founders);
    Group.Settings.AdmitsUnlisted = true;
    Group.Settings.LeastVoters = Founders;
    // As on the platform: a new VM has four seconds until the next loss.
    Group.Settings.Heartbeat = 100ms;
    Group.Settings.ElectionTimeout = 500ms;
    for (std::size_t I = 0; I < Founders; ++I)
      Group.start(I);
    Group.runToLeader();
    Group.run(1s);
  }

  /// Starts a VM that is told of those that are there now.
  void startNew(std::size_t I, const std::set<std::size_t> &Live) {
    Group.Settings.MayFound = false;
    Group.Settings.ControlVms.clear();
    for (std::size_t Each : Live)
      Group.Settings.ControlVms.push_back(Group.Members[Each]->Vm);
    Group.start(I);
  }

  /// One VM is gone for good, and another takes its place.
  void replace(std::size_t Gone, std::size_t New) {
    Group.crash(Gone);
    Group.start(New);
    Group.run(8s);
  }

  /// The voters that the leader knows, by the number of their VM; those whose
  /// disk is no more are left out.
  std::set<std::size_t> voters() {
    std::set<std::size_t> Result;
    int Leader = Group.runToLeader();
    if (Leader < 0)
      return Result;
    auto At = static_cast<std::size_t>(Leader);
    for (const MemberId &Voter : Group.at(At).Raft.Group.Members.Voters)
      for (std::size_t I = 0; I < Vms; ++I)
        if (Group.Members[I]->Vm == Voter.Vm &&
            (!Group.up(I) || Group.at(I).Raft.Self == Voter))
          Result.insert(I);
    return Result;
  }

  bool change() {
    int Leader = Group.runToLeader();
    if (Leader < 0)
      return false;
    auto At = static_cast<std::size_t>(Leader);
    ProposalId Id =
        Group.change(At, "op" + std::to_string(Version), Version, "doc");
    Group.run(1s);
    auto Found = Group.Answers.find(Id);
    if (Found == Group.Answers.end() || !Found->second)
      return false;
    ++Version;
    return true;
  }

  ConfigVersion versionHeld() {
    int Leader = Group.runToLeader();
    return Leader < 0
               ? ConfigVersion(0)
               : Group.at(static_cast<std::size_t>(Leader)).Machine.Version;
  }

  GroupFake Group;
  std::uint64_t Version = 0;
};

TEST(ReplacementTest, ANewVmTakesThePlaceOfOneThatIsGone) {
  Replacement Fake;
  Fake.Group.crash(0);
  Fake.Group.run(1s);
  Fake.Group.start(3);
  Fake.Group.run(8s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{1, 2, 3}));
  Fake.replace(1, 4);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{2, 3, 4}));
  EXPECT_EQ(Fake.Group.Wrong, "");
}

// The case that lost a confirmed change for its readers: five voters, two of
// them gone for good, and one disk emptied leave no majority.
TEST(ReplacementTest, TwoReplacementsAPowerLossAndAnEmptiedDisk) {
  Replacement Fake;
  Fake.replace(0, 3);
  Fake.replace(1, 4);
  ASSERT_TRUE(Fake.change());
  for (std::size_t I : {2U, 3U, 4U})
    Fake.Group.crash(I);
  Fake.Group.wipe(3);
  for (std::size_t I : {2U, 3U, 4U})
    Fake.Group.start(I);
  EXPECT_EQ(Fake.versionHeld(), ConfigVersion(1));
  Fake.Group.run(8s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{2, 3, 4}));
  EXPECT_EQ(Fake.Group.Wrong, "");
}

TEST(ReplacementTest, ASilentVoterWithoutAReplacementStays) {
  Replacement Fake;
  Fake.Group.crash(0);
  Fake.Group.run(60s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{0, 1, 2}));
}

TEST(ReplacementTest, AVmThatJoinsAWholeGroupVotesToo) {
  Replacement Fake;
  Fake.Group.start(3);
  Fake.Group.run(5s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{0, 1, 2, 3}));
}

TEST(ReplacementTest, AGroupThatHasGrownDropsWhatIsGone) {
  Replacement Fake;
  Fake.Group.start(3);
  Fake.Group.run(5s);
  Fake.Group.crash(0);
  Fake.Group.run(20s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{1, 2, 3}));
}

// One that was only out of reach keeps its disk and its promises. It learns
// that it was replaced and joins anew.
TEST(ReplacementTest, AReplacedVoterThatComesBackJoinsAnew) {
  Replacement Fake;
  Fake.Group.cut(0);
  Fake.Group.run(1s);
  Fake.Group.start(3);
  Fake.Group.cutLink(0, 3);
  Fake.Group.run(8s);
  ASSERT_EQ(Fake.voters(), (std::set<std::size_t>{1, 2, 3}));
  Fake.Group.cut(0, false);
  Fake.Group.run(8s);
  EXPECT_EQ(Fake.voters(), (std::set<std::size_t>{0, 1, 2, 3}));
  EXPECT_EQ(Fake.Group.Wrong, "");
}

// What an operator must see before the group loses its last confirmed change.
TEST(ReplacementTest, TheReportTellsWhatTheGroupWaitsFor) {
  Replacement Fake;
  GroupFake &Group = Fake.Group;
  auto Report = [&] {
    auto At = static_cast<std::size_t>(Group.runToLeader());
    return reportGroup(Group.at(At).Raft, Group.Clock.now());
  };
  EXPECT_EQ(Report().Spare, 1);
  EXPECT_EQ(Report().WaitsFor, MembershipWait::Nothing);

  Group.crash(0);
  Group.run(2s);
  EXPECT_EQ(Report().Spare, 0);
  EXPECT_EQ(namesOf(Report().Missing), Group.Members[0]->Vm.value());
  EXPECT_EQ(Report().WaitsFor, MembershipWait::NoReplacement);

  Group.start(3);
  Group.run(200ms);
  EXPECT_EQ(Report().Learners, 1U);
  EXPECT_EQ(Report().WaitsFor, MembershipWait::VoterSilence);

  Group.run(4s);
  EXPECT_EQ(Report().Spare, 1);
  EXPECT_EQ(namesOf(Report().Missing), "");
  EXPECT_EQ(Report().WaitsFor, MembershipWait::Nothing);
}

TEST(ReplacementTest, TheReportTellsThatThereIsNoMajority) {
  Replacement Fake;
  GroupFake &Group = Fake.Group;
  Group.crash(0);
  Group.crash(1);
  // A candidate learns anew with each election who answers.
  bool Seen = false;
  for (int N = 0; N < 100 && !Seen; ++N) {
    Group.run(50ms);
    GroupReport Now = reportGroup(Group.at(2).Raft, Group.Clock.now());
    Seen = Now.Spare == -1 && Now.Missing.size() == 2 && !Now.InTouch;
  }
  EXPECT_TRUE(Seen);
}

/// One VM after the other is replaced, with a fault of another kind at each
/// step; what was accepted is never lost and a leader always comes.
void replaceOneAfterTheOther() {
  Replacement Fake;
  std::set<std::size_t> Live{0, 1, 2};
  std::size_t Next = Founders;
  auto Steps = *rc::gen::inRange(1, 11);
  for (int Step = 0; Step < Steps && Next < Vms; ++Step) {
    if (*rc::gen::arbitrary<bool>()) {
      RC_ASSERT(Fake.change());
    }
    std::vector<std::size_t> Order(Live.begin(), Live.end());
    std::size_t Gone = Order[*rc::gen::inRange<std::size_t>(0, Order.size())];
    Fake.Group.crash(Gone);
    Live.erase(Gone);
    auto Pause = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
    Fake.Group.run(Pause);
    Fake.startNew(Next, Live);
    Live.insert(Next++);
    // The time in which no other loss comes.
    Fake.Group.run(8s);
    std::vector<std::size_t> Now(Live.begin(), Live.end());
    std::size_t Hit = Now[*rc::gen::inRange<std::size_t>(0, Now.size())];
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      Fake.Group.cut(Hit);
      Fake.Group.run(5s);
      Fake.Group.cut(Hit, false);
      break;
    case 1:
      Fake.Group.freeze(Hit);
      Fake.Group.run(5s);
      Fake.Group.thaw(Hit);
      break;
    case 2:
      for (std::size_t I : Now)
        Fake.Group.crash(I);
      for (std::size_t I : Now)
        Fake.Group.start(I);
      break;
    default:
      for (std::size_t I : Now)
        Fake.Group.crash(I);
      Fake.Group.wipe(Hit);
      for (std::size_t I : Now)
        Fake.Group.start(I);
    }
    RC_ASSERT(Fake.versionHeld() == ConfigVersion(Fake.Version));
    Fake.Group.run(8s);
    RC_ASSERT(Fake.voters() == Live);
  }
  Fake.Group.checkLogs();
  RC_ASSERT(Fake.Group.Wrong == "");
}

RC_GTEST_PROP(ReplacementProperties, OneVmAfterTheOtherIsReplaced, ()) {
  replaceOneAfterTheOther();
}

} // namespace
} // namespace geraniumbay::control
