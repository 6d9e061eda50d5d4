//===- replicationtest.cpp - Focused failures of a replicated ledger ------===//

#include "ledger/internal/entrywire.h"
#include "ledger/tests/cluster.h"

#include <gtest/gtest.h>

namespace geraniumbay::ledger {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two ledgers (0, 1) and two entries (2, 3), with a full view.
class ReplicationTest : public testing::Test {
public:
  ReplicationTest() : System(2, 2, 1) {
    EXPECT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
    First = System.primary()->Number;
    Second = 1 - First;
  }

  ClaimState state(const Outcome<ClaimReply> &Reply) {
    EXPECT_TRUE(Reply.ok()) << Reply.error().Message;
    return Reply ? Reply->State : ClaimState::Mismatch;
  }
  /// Calls a method of the primary, or of \p To, as it is.
  Outcome<Json::Value> raw(std::size_t From, const char *Method,
                           Json::Value Params,
                           std::optional<std::size_t> To = {}) {
    std::optional<Outcome<Json::Value>> Result;
    System.at(From).call(
        System.at(To.value_or(First)).At, Method, std::move(Params), seconds(5),
        [&](const Outcome<Json::Value> &Reply) { Result.emplace(Reply); });
    System.runUntil([&] { return Result.has_value(); });
    return *Result;
  }
  void restart(std::size_t Number) {
    System.crash(Number);
    System.start(Number);
  }
  void wipe(std::size_t Number) {
    System.crash(Number);
    System.at(Number).Disk.wipe();
    System.start(Number);
  }

  Cluster System;
  std::size_t First = 0;
  std::size_t Second = 0;
};

TEST_F(ReplicationTest, AClaimIsGrantedOnceAndItsAnswerGivenToAll) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(state(System.claim(3, Id, "d", seconds(1))), ClaimState::Held);
  EXPECT_EQ(state(System.claim(3, Id, "other")), ClaimState::Mismatch);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  auto Later = System.claim(3, Id);
  EXPECT_EQ(state(Later), ClaimState::Answered);
  EXPECT_EQ(Later->Answer, "yes");
}

TEST_F(ReplicationTest, AWaitingClaimantGetsTheAnswerWhenItIsRecorded) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  Time Began = System.Clock.now();
  std::optional<Outcome<ClaimReply>> Waiting;
  System.at(3).Client->claim(
      DataCentreId("dc"), SubmissionId(Id), "d", Began + seconds(20),
      [&](const Outcome<ClaimReply> &Reply) { Waiting.emplace(Reply); });
  System.run(milliseconds(500));
  EXPECT_FALSE(Waiting.has_value());
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  System.runUntil([&] { return Waiting.has_value(); });
  EXPECT_EQ(state(*Waiting), ClaimState::Answered);
  EXPECT_LT(System.Clock.now() - Began, seconds(1));
}

TEST_F(ReplicationTest, AReleasedClaimIsGrantedToAnother) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_TRUE(System.release(2, Id).ok());
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Granted);
}

TEST_F(ReplicationTest, AnEntryGetsTheSameSubmissionOnlyOnce) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  auto Again = System.claim(2, Id);
  ASSERT_FALSE(Again.ok());
  EXPECT_EQ(Again.error().Code, ErrorCode::Conflict);
}

TEST_F(ReplicationTest, AMemberWhoseSyncFailsCountsNoMore) {
  System.WithoutControl = {First, Second};
  System.at(Second).Disk.setSyncsFail(true);
  EXPECT_FALSE(System.claim(2, System.issue(1)).ok());
  EXPECT_FALSE(System.claim(2, System.issue(2)).ok());
  System.healAll();
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(state(System.claim(2, System.issue(3))), ClaimState::Granted);
}

// Guards against a ledger that stays out until its process is restarted.
TEST_F(ReplicationTest, ALedgerWhoseDiskFailedTakesPartAgainByItself) {
  for (std::size_t Failing : {Second, First}) {
    System.at(Failing).Disk.setSyncsFail(true);
    System.claim(2, System.issue(1 + Failing));
    System.run(seconds(5));
    EXPECT_TRUE(System.at(Failing).Ledger->status().Failed);
    System.at(Failing).Disk.setSyncsFail(false);
    ASSERT_TRUE(System.runUntil([&] {
      return System.hasMembers(2) &&
             !System.at(Failing).Ledger->status().Failed;
    }));
    EXPECT_EQ(state(System.claim(2, System.issue(10 + Failing))),
              ClaimState::Granted);
  }
}

TEST_F(ReplicationTest, BothLedgersReturnAfterTheirDisksFailedTogether) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  for (std::size_t Ledger : {First, Second})
    System.at(Ledger).Disk.setSyncsFail(true);
  EXPECT_FALSE(System.claim(2, System.issue(2)).ok());
  for (std::size_t Ledger : {First, Second})
    System.at(Ledger).Disk.setSyncsFail(false);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
  EXPECT_EQ(state(System.claim(2, System.issue(3))), ClaimState::Granted);
  // What both wrote anew outlives a loss of power.
  restart(First);
  restart(Second);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
}

// Guards against a ledger that a full disk keeps from starting for good.
TEST_F(ReplicationTest, ALedgerStartsOnceItsDiskTakesWrites) {
  System.crash(Second);
  System.at(Second).Disk.setCapacity(0);
  System.start(Second);
  System.run(seconds(5));
  EXPECT_TRUE(System.at(Second).Ledger->status().Failed);
  System.at(Second).Disk.setCapacity(std::nullopt);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  System.run(seconds(3));
  EXPECT_FALSE(System.at(Second).Ledger->status().Failed);
  EXPECT_EQ(state(System.claim(2, System.issue(1))), ClaimState::Granted);
}

TEST_F(ReplicationTest, ARecordThatAMemberHasNotSyncedIsNotCommitted) {
  System.WithoutControl = {First, Second};
  System.StalledDisks = {Second};
  EXPECT_FALSE(System.claim(2, System.issue(1)).ok());
}

TEST_F(ReplicationTest, AMemberIsAddedOnlyWithWhatEarlierRunsCommitted) {
  EXPECT_EQ(state(System.claim(2, System.issue(1))), ClaimState::Granted);
  System.crash(Second);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(1); }));
  System.at(Second).Disk.wipe();
  // The restarted primary does not know yet what it has committed before.
  System.StalledDisks = {First, Second};
  restart(First);
  System.start(Second);
  EXPECT_FALSE(System.runUntil([&] { return System.View.Members.size() == 2; },
                               seconds(5)));
  System.healAll();
  EXPECT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
}

TEST_F(ReplicationTest, AClaimWhoseReplyGotLostIsReleased) {
  std::string Id = System.issue(1);
  std::optional<Outcome<ClaimReply>> Lost;
  System.at(2).Client->claim(
      DataCentreId("dc"), SubmissionId(Id), "d",
      System.Clock.now() + milliseconds(500),
      [&](const Outcome<ClaimReply> &Reply) { Lost.emplace(Reply); });
  std::uint64_t Before = System.primary()->Ledger->status().LastIndex;
  ASSERT_TRUE(System.runUntil(
      [&] { return System.primary()->Ledger->status().LastIndex > Before; }));
  System.setCut(2, First, true);
  ASSERT_TRUE(System.runUntil([&] { return Lost.has_value(); }));
  ASSERT_FALSE(Lost->ok());
  EXPECT_EQ(Lost->error().Code, ErrorCode::Timeout);
  System.setCut(2, First, false);
  System.run(seconds(2));
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Granted);
}

TEST_F(ReplicationTest, ATryThatComesAfterItsReleaseIsNotGranted) {
  Holder By{System.vm(2), Incarnation(9)};
  SubmissionId Id(System.issue(1));
  EXPECT_TRUE(raw(2, method::Release, toJson(ReleaseRequest{Id, By, 5})).ok());
  auto Late = raw(2, method::Claim, toJson(ClaimRequest{Id, "d", By, 5, {}}));
  ASSERT_FALSE(Late.ok());
  EXPECT_EQ(Late.error().Code, ErrorCode::Conflict);
  EXPECT_EQ(state(System.claim(3, Id.value())), ClaimState::Granted);
}

TEST_F(ReplicationTest, AMemberTakesOnlyMessagesOfItsViewPrimaryAndDisk) {
  ReplicateRequest Good;
  Good.Header = {DataCentreId("dc"), System.View.Number, 1, System.vm(First),
                 System.View.memberOn(System.vm(Second))->Disk};
  auto StateOf = [&](const ReplicateRequest &Request) {
    auto Reply = raw(First, method::Replicate, toJson(Request), Second);
    return attempt([&] { return replyFromJson(*Reply); })->State;
  };
  EXPECT_EQ(StateOf(Good), PeerState::Misplaced);
  ReplicateRequest Bad = Good;
  Bad.Header.View = ViewNumber(Good.Header.View.value() - 1);
  EXPECT_EQ(StateOf(Bad), PeerState::StaleView);
  Bad.Header.View = ViewNumber(Good.Header.View.value() + 1);
  EXPECT_EQ(StateOf(Bad), PeerState::UnknownView);
  Bad = Good;
  Bad.Header.From = VmId("other");
  EXPECT_EQ(StateOf(Bad), PeerState::StaleView);
  Bad = Good;
  Bad.Header.Run = 0;
  EXPECT_EQ(StateOf(Bad), PeerState::StaleView);
  Bad = Good;
  Bad.Header.To = DiskId(1);
  EXPECT_EQ(StateOf(Bad), PeerState::OtherDisk);
}

TEST_F(ReplicationTest, ACopyThatComesLateUndoesNothing) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  CopyRequest Late;
  Late.Header = {DataCentreId("dc"), System.View.Number, 1, System.vm(First),
                 System.View.memberOn(System.vm(Second))->Disk};
  Late.IsLast = true;
  Late.Head.Kind = RecordKind::Head;
  Late.Head.NewEpoch = Epoch(1);
  EXPECT_TRUE(raw(First, method::Copy, toJson(Late), Second).ok());
  System.crash(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(1); }));
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
}

TEST_F(ReplicationTest, ARestartedHolderGetsTheFailureThatItMayHaveRun) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  restart(2);
  System.run(seconds(1));
  auto Reply = System.claim(2, Id);
  EXPECT_EQ(state(Reply), ClaimState::Answered);
  EXPECT_EQ(Reply->Answer, HolderLostAnswer);
}

TEST_F(ReplicationTest, ASilentHolderIsFencedAndItsLateAnswerRefused) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  System.freeze(2);
  auto Reply = System.claim(3, Id, "d", seconds(20));
  EXPECT_EQ(state(Reply), ClaimState::Answered);
  System.thaw(2);
  EXPECT_EQ(*System.record(2, Id, "late"), HolderLostAnswer);
}

TEST_F(ReplicationTest, AHolderThatRenewsIsNeverFenced) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(state(System.claim(3, Id, "d", seconds(40))), ClaimState::Held);
}

TEST_F(ReplicationTest, APrimaryThatWasFrozenDoesNotFenceLivingHolders) {
  std::string Id = System.issue(1);
  System.WithoutControl = {First, Second};
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  System.freeze(First);
  System.run(seconds(30));
  // The claim is the first that it hears of the entries.
  System.at(First).Backlog.clear();
  System.thaw(First);
  EXPECT_EQ(state(System.claim(3, Id, "d", seconds(1))), ClaimState::Held);
}

TEST_F(ReplicationTest, ThePromotedMemberHasEveryAnswer) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  System.crash(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(1); }));
  EXPECT_EQ(System.primary()->Number, Second);
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
}

TEST_F(ReplicationTest, ADeposedPrimaryThatComesBackLateGrantsNothing) {
  System.freeze(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(1); }));
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  // The old primary and entry 3 are cut off together.
  for (std::size_t Other : {Second, std::size_t{2}}) {
    System.setCut(First, Other, true);
    System.setCut(3, Other, true);
  }
  LedgerView Old = System.View;
  Old.Primary = System.vm(First);
  Old.Number = ViewNumber(Old.Number.value() + 100);
  System.WithoutControl = {First, 3};
  System.at(3).Client->applyView(Old);
  System.thaw(First);
  auto Reply = System.claim(3, Id);
  EXPECT_FALSE(Reply.ok());
}

TEST_F(ReplicationTest,
       WithoutItsSecondCopyAPrimaryWithoutControlTakesNothing) {
  System.WithoutControl = {First, Second};
  System.crash(Second);
  System.run(seconds(3));
  auto Reply = System.claim(2, System.issue(1));
  ASSERT_FALSE(Reply.ok());
  EXPECT_EQ(Reply.error().Code, ErrorCode::Unavailable);
  System.start(Second);
  System.run(seconds(3));
  EXPECT_EQ(state(System.claim(2, System.issue(1))), ClaimState::Granted);
}

TEST_F(ReplicationTest, AMemberLostRightAfterTheRepairLosesNothing) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  wipe(Second);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  wipe(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(System.View.LedgerEpoch, Epoch(1));
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
}

TEST_F(ReplicationTest, AProposedMemberIsWaitedForEvenAfterARestart) {
  System.crash(Second);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(1); }));
  System.WithoutViews = {First};
  System.start(Second);
  ASSERT_TRUE(System.runUntil([&] { return System.View.Members.size() == 2; }));
  // The primary does not know that its proposal went through. From here on the
  // new member may take over, so nothing may be granted without it.
  restart(First);
  System.setCut(First, Second, true);
  System.WithoutControl = {Second};
  System.run(seconds(2));
  EXPECT_FALSE(System.claim(2, System.issue(1)).ok());
  System.healAll();
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(state(System.claim(2, System.issue(2))), ClaimState::Granted);
}

TEST_F(ReplicationTest, AfterATotalLossNoOlderIdIsGranted) {
  std::string Old = System.issue(1);
  std::string Unused = System.issue(2);
  EXPECT_EQ(state(System.claim(2, Old)), ClaimState::Granted);
  System.crash(First);
  wipe(Second);
  wipe(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_EQ(System.View.LedgerEpoch, Epoch(2));
  EXPECT_EQ(state(System.claim(3, Old)), ClaimState::UnknownEpoch);
  EXPECT_EQ(state(System.claim(3, Unused)), ClaimState::UnknownEpoch);
  EXPECT_EQ(state(System.claim(3, System.issue(3))), ClaimState::Granted);
}

TEST_F(ReplicationTest, AfterATotalLossOwnKeysWaitOutTheRetention) {
  EXPECT_EQ(state(System.claim(2, "caller/key")), ClaimState::Granted);
  System.crash(First);
  wipe(Second);
  wipe(First);
  ASSERT_TRUE(
      System.runUntil([&] { return System.View.LedgerEpoch == Epoch(2); }));
  // A wall clock that jumps ahead must not end the wait: neither before the
  // ledger hears of its new epoch nor after.
  System.Clock.stepWall(hours(48));
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  System.Clock.stepWall(hours(48));
  auto Early = System.claim(3, "caller/key");
  ASSERT_FALSE(Early.ok());
  EXPECT_EQ(Early.error().Code, ErrorCode::Unavailable);
  System.Clock.advance(hours(25));
  System.run(seconds(10));
  EXPECT_EQ(state(System.claim(3, "caller/other")), ClaimState::Granted);
}

TEST_F(ReplicationTest, AStepOfTheWallClockForgetsNoAnswer) {
  EXPECT_EQ(state(System.claim(2, "caller/key")), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, "caller/key", "yes"), "yes");
  System.Clock.stepWall(hours(1000));
  System.run(seconds(2));
  restart(First);
  System.run(seconds(2));
  EXPECT_EQ(state(System.claim(3, "caller/key")), ClaimState::Answered);
}

TEST_F(ReplicationTest, AnswersAreForgottenAfterTheRetentionOnly) {
  EXPECT_EQ(state(System.claim(2, "caller/key")), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, "caller/key", "yes"), "yes");
  System.Clock.advance(hours(23));
  System.run(seconds(10));
  EXPECT_EQ(state(System.claim(3, "caller/key")), ClaimState::Answered);
  System.Clock.advance(hours(2));
  System.run(seconds(10));
  EXPECT_EQ(state(System.claim(3, "caller/key")), ClaimState::Granted);
}

TEST_F(ReplicationTest, OwnKeysAreRefusedByALedgerThatControlForgot) {
  System.WithoutControl = {First, Second, 2};
  System.Clock.advance(hours(13));
  System.run(seconds(10));
  auto Reply = System.claim(2, "caller/key");
  ASSERT_FALSE(Reply.ok());
  EXPECT_EQ(Reply.error().Code, ErrorCode::Unavailable);
  EXPECT_EQ(state(System.claim(2, System.issue(1))), ClaimState::Granted);
}

TEST_F(ReplicationTest, AFullDiskRefusesClaimsAndStillAnswers) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  FakeStorage &Disk = System.at(First).Disk;
  Disk.setCapacity(Disk.totalSize());
  auto Reply = System.claim(2, System.issue(2));
  ASSERT_FALSE(Reply.ok());
  EXPECT_EQ(Reply.error().Code, ErrorCode::Unavailable);
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
  Disk.setCapacity(std::nullopt);
  EXPECT_EQ(state(System.claim(2, System.issue(2))), ClaimState::Granted);
}

TEST_F(ReplicationTest, ACorruptDiskJoinsAsANewMember) {
  std::string Id = System.issue(1);
  EXPECT_EQ(state(System.claim(2, Id)), ClaimState::Granted);
  EXPECT_EQ(*System.record(2, Id, "yes"), "yes");
  LedgerMember Before = *System.View.memberOn(System.vm(First));
  System.crash(First);
  FakeStorage &Disk = System.at(First).Disk;
  auto Files = attempt([&] { return Disk.list(); });
  Disk.flipByte(Files->front(), 30);
  System.start(First);
  ASSERT_TRUE(System.runUntil([&] { return System.hasMembers(2); }));
  EXPECT_NE(*System.View.memberOn(System.vm(First)), Before);
  EXPECT_EQ(state(System.claim(3, Id)), ClaimState::Answered);
}

TEST_F(ReplicationTest, ClaimsThatArriveTogetherShareASync) {
  std::uint64_t Records = System.primary()->Ledger->status().Records;
  std::uint64_t Syncs = System.primary()->Ledger->status().Syncs;
  constexpr std::uint64_t Count = 200;
  std::uint64_t Granted = 0;
  for (std::uint64_t Number = 0; Number < Count; ++Number)
    System.at(2).Client->claim(
        DataCentreId("dc"), SubmissionId(System.issue(Number)), "d",
        System.Clock.now() + seconds(5), [&](const Outcome<ClaimReply> &Reply) {
          Granted += Reply && Reply->State == ClaimState::Granted ? 1 : 0;
        });
  System.runUntil([&] { return Granted == Count; });
  EXPECT_EQ(Granted, Count);
  Records = System.primary()->Ledger->status().Records - Records;
  Syncs = System.primary()->Ledger->status().Syncs - Syncs;
  RecordProperty("records", static_cast<int>(Records));
  RecordProperty("syncs", static_cast<int>(Syncs));
  EXPECT_GE(Records, 10 * Syncs);
}

} // namespace
} // namespace geraniumbay::ledger
