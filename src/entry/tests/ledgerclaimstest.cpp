//===- ledgerclaimstest.cpp - Tests of the claims by the ledger -----------===//

#include "entry/internal/ledgerclaims.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/json/json.h"

#include <gtest/gtest.h>

namespace geraniumbay::entry {
namespace {

using ledger::ClaimReply;
using ledger::ClaimState;
using std::chrono::seconds;

/// A client of the ledger that answers when the test says so.
class FakeLedger : public ledger::ILedgerClient {
public:
  void claim(const DataCentreId & /*Home*/, const SubmissionId & /*Submission*/,
             const std::string & /*Digest*/, Time /*Deadline*/,
             ClaimCallback Done) override {
    Claims.push_back(std::move(Done));
  }
  void record(const DataCentreId & /*Home*/,
              const SubmissionId & /*Submission*/, const std::string &Answer,
              Time /*Deadline*/, AnswerCallback Done) override {
    Recorded.push_back(Answer);
    Records.push_back(std::move(Done));
  }
  void release(const DataCentreId & /*Home*/,
               const SubmissionId & /*Submission*/, Time /*Deadline*/,
               ReleaseCallback /*Done*/) override {
    ++Releases;
  }
  void applyView(const ledger::LedgerView & /*View*/) override {}
  std::optional<Epoch> epochOf(const DataCentreId & /*Home*/) const override {
    return std::nullopt;
  }

  std::vector<ClaimCallback> Claims;
  std::vector<std::string> Recorded;
  std::vector<AnswerCallback> Records;
  int Releases = 0;
};

class LedgerClaimsTest : public testing::Test {
protected:
  LedgerClaimsTest() { Request_.Id = SubmissionId("key"); }

  void claim() {
    Claims_.claim(Request_, [this](const ClaimEvent &Event) {
      Events_.push_back(Event);
    });
  }
  void record(Duration Patience) {
    Claims_.record(Request_, Answer_, Clock_.now() + Patience,
                   [this](const std::optional<Result> &Recorded) {
                     Told_.push_back(Recorded);
                   });
  }
  void pass(Duration Length) {
    Clock_.advance(Length);
    Timers_.runDue();
  }

  ManualClock Clock_;
  TimerQueue Timers_{Clock_};
  FakeLedger Ledger_;
  LedgerClaims Claims_{Ledger_, Clock_, Timers_};
  Submission Request_;
  Result Answer_{FailureReason::None, Ran::No, Duration::zero(), "", {"a"}};
  std::vector<ClaimEvent> Events_;
  std::vector<std::optional<Result>> Told_;
};

Result refusalOf(const Outcome<ClaimReply> &Reply) {
  return std::get<ClaimRefused>(readClaimOutcome(Reply)).Answer;
}

TEST_F(LedgerClaimsTest, OnlyAGrantIsAGrant) {
  auto IsGrant = [](const Outcome<ClaimReply> &Reply) {
    return std::holds_alternative<ClaimGranted>(readClaimOutcome(Reply));
  };
  EXPECT_TRUE(IsGrant(ClaimReply{ClaimState::Granted, ""}));
  for (ClaimState Other : {ClaimState::Answered, ClaimState::Held,
                           ClaimState::Mismatch, ClaimState::UnknownEpoch})
    EXPECT_FALSE(IsGrant(ClaimReply{Other, ""}));
  for (ErrorCode Code : {ErrorCode::Unavailable, ErrorCode::Timeout,
                         ErrorCode::Conflict, ErrorCode::InvalidArgument})
    EXPECT_FALSE(IsGrant(Error{Code, "no"}));
}

TEST_F(LedgerClaimsTest, TellsOfEachRefusalWhetherItRan) {
  EXPECT_EQ(refusalOf(ClaimReply{ClaimState::Held, ""}).DidRun, Ran::Maybe);
  EXPECT_EQ(refusalOf(ClaimReply{ClaimState::Mismatch, ""}).Reason,
            FailureReason::KeyReused);
  EXPECT_EQ(refusalOf(ClaimReply{ClaimState::UnknownEpoch, ""}).Reason,
            FailureReason::UnknownEpoch);
  Result Away = refusalOf(Error{ErrorCode::Unavailable, "away"});
  EXPECT_EQ(Away.Reason, FailureReason::LedgerUnavailable);
  EXPECT_GT(Away.RetryAfter, Duration::zero());
}

TEST_F(LedgerClaimsTest, AConflictProvesNothingAboutEarlierRuns) {
  Result Told = refusalOf(Error{ErrorCode::Conflict, "in the way"});
  EXPECT_EQ(Told.DidRun, Ran::Maybe);
  EXPECT_GT(Told.RetryAfter, Duration::zero());
}

TEST_F(LedgerClaimsTest, AnAnswerComesBackAsItWasRecorded) {
  record(seconds(1));
  Ledger_.Records.at(0)(Ledger_.Recorded.at(0));
  ASSERT_EQ(Told_.size(), 1U);
  EXPECT_EQ(Told_[0], Answer_);
}

TEST_F(LedgerClaimsTest, AnEarlierRecordedAnswerCounts) {
  record(seconds(1));
  Ledger_.Records.at(0)(std::string(ledger::HolderLostAnswer));
  ASSERT_TRUE(Told_.at(0).has_value());
  EXPECT_EQ(Told_[0]->Reason, FailureReason::CoordinatorLost);
  EXPECT_EQ(Told_[0]->DidRun, Ran::Maybe);
}

TEST_F(LedgerClaimsTest, ARecordIsGivenUpInTimeAndToldOnce) {
  record(seconds(1));
  pass(seconds(1));
  ASSERT_EQ(Told_.size(), 1U);
  EXPECT_FALSE(Told_[0].has_value());
  Ledger_.Records.at(0)(Ledger_.Recorded.at(0));
  EXPECT_EQ(Told_.size(), 1U);
}

TEST_F(LedgerClaimsTest, ARefusedRecordIsToldAtOnceAndOnce) {
  record(seconds(1));
  Ledger_.Records.at(0)(Error{ErrorCode::NotFound, "not claimed"});
  pass(seconds(2));
  ASSERT_EQ(Told_.size(), 1U);
  EXPECT_FALSE(Told_[0].has_value());
}

TEST_F(LedgerClaimsTest, AGrantThatCameBeforeIsReleasedAtOnce) {
  claim();
  Ledger_.Claims.at(0)(ClaimReply{ClaimState::Granted, ""});
  Claims_.release(Request_);
  EXPECT_EQ(Ledger_.Releases, 1);
}

TEST_F(LedgerClaimsTest, AClaimUnderWayIsReleasedWhenItIsGranted) {
  claim();
  Claims_.release(Request_);
  EXPECT_EQ(Ledger_.Releases, 0) << "it could be granted after its release";
  Ledger_.Claims.at(0)(ClaimReply{ClaimState::Granted, ""});
  EXPECT_EQ(Ledger_.Releases, 1);
}

TEST_F(LedgerClaimsTest, AReleasedClaimThatIsNotGrantedNeedsNoRelease) {
  claim();
  Claims_.release(Request_);
  Ledger_.Claims.at(0)(ClaimReply{ClaimState::Answered, "{}"});
  EXPECT_EQ(Ledger_.Releases, 0);
}

TEST_F(LedgerClaimsTest, NoSecondClaimIsMadeWhileOneIsUnderWay) {
  claim();
  Claims_.release(Request_);
  claim();
  EXPECT_EQ(Ledger_.Claims.size(), 1U);
  EXPECT_TRUE(Events_.empty()) << "never before claim() returns";
  pass(Duration::zero());
  ASSERT_EQ(Events_.size(), 1U);
  Result Told = std::get<ClaimRefused>(Events_[0]).Answer;
  EXPECT_EQ(Told.DidRun, Ran::Maybe);
  EXPECT_GT(Told.RetryAfter, Duration::zero());
  Claims_.release(Request_);
  Ledger_.Claims.at(0)(ClaimReply{ClaimState::Granted, ""});
  EXPECT_EQ(Ledger_.Releases, 1);
  claim();
  EXPECT_EQ(Ledger_.Claims.size(), 2U);
}

} // namespace
} // namespace geraniumbay::entry
