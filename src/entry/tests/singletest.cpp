//===- singletest.cpp - Tests of the coordinator of a repeatable task -----===//

#include "entry/internal/single.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::entry {
namespace {

using dispatch::Lease;
using dispatch::RejectReason;

bool always() { return true; }
bool never() { return false; }

template <typename ActionT> std::size_t count(const JobActions &All) {
  std::size_t Found = 0;
  for (const JobAction &Action : All)
    Found += std::holds_alternative<ActionT>(Action) ? 1 : 0;
  return Found;
}

const Result *replyIn(const JobActions &All) {
  for (const JobAction &Action : All)
    if (const auto *Reply = std::get_if<ReplyAction>(&Action))
      return &Reply->Answer;
  return nullptr;
}

Single started() {
  Single State;
  Submission Request;
  Request.Repeatable = true;
  Request.Payloads = {"payload"};
  startSingle(State, Request);
  onLease(State, Lease());
  return State;
}

TEST(SingleTest, ALostAttemptIsTriedAgainWithinTheBudget) {
  Single State = started();
  auto Actions = onTaskEnd(State, {TaskIndex(0), TaskEnd::Unknown, ""}, always);
  EXPECT_EQ(count<AcquireAction>(Actions), 1U);
  EXPECT_EQ(replyIn(Actions), nullptr);
}

TEST(SingleTest, WithoutBudgetALostAttemptEndsTheTaskAtOnce) {
  Single State = started();
  auto Actions = onTaskEnd(State, {TaskIndex(0), TaskEnd::Unknown, ""}, never);
  ASSERT_NE(replyIn(Actions), nullptr);
  EXPECT_EQ(replyIn(Actions)->DidRun, Ran::Maybe);
}

TEST(SingleTest, TheFirstAnswerCountsAndTheOtherAttemptIsStopped) {
  Single State = started();
  EXPECT_EQ(count<AcquireAction>(onHedgeDue(State, always)), 1U);
  onLease(State, Lease());
  auto Actions =
      onTaskEnd(State, {TaskIndex(1), TaskEnd::Succeeded, "b"}, never);
  ASSERT_NE(replyIn(Actions), nullptr);
  EXPECT_EQ(replyIn(Actions)->Answers, std::vector<std::string>{"b"});
  EXPECT_EQ(count<StopAction>(Actions), 1U);
}

TEST(SingleTest, ItIsHedgedOnceAndOnlyWithinTheBudget) {
  Single State = started();
  EXPECT_TRUE(onHedgeDue(State, never).empty());
  EXPECT_EQ(count<AcquireAction>(onHedgeDue(State, always)), 1U);
  EXPECT_TRUE(onHedgeDue(State, always).empty());
}

TEST(SingleTest, ARejectedHedgeLeavesTheFirstAttemptRunning) {
  Single State = started();
  onHedgeDue(State, always);
  EXPECT_TRUE(
      onRejected(State, {RejectReason::Overloaded, Duration(1)}).empty());
  EXPECT_FALSE(State.Over);
}

TEST(SingleTest, ALeaseThatComesTooLateIsGivenBack) {
  Single State = started();
  onCancel(State);
  EXPECT_EQ(count<ReleaseLeaseAction>(onLease(State, Lease())), 1U);
}

RC_GTEST_PROP(SingleTest, AnswersOnceAndNeverSaysNotRunWronglyUnderAnyOrder,
              (const std::vector<std::uint8_t> &Steps)) {
  Single State = started();
  std::size_t Replies = 0;
  bool MayHaveRun = false;
  std::optional<Result> Answer;
  for (std::uint8_t Step : Steps) {
    JobActions Actions;
    bool Running = State.Attempts.back().Held.has_value();
    TaskIndex Last(static_cast<std::uint32_t>(State.Attempts.size() - 1));
    switch (Step % 8) {
    case 0:
      Actions = onTaskEnd(State, {Last, TaskEnd::Succeeded, "a"}, always);
      break;
    case 1:
      MayHaveRun |= Running && !State.Over;
      Actions = onTaskEnd(State, {Last, TaskEnd::Unknown, ""}, always);
      break;
    case 2:
      Actions = onTaskEnd(State, {Last, TaskEnd::Refused, ""}, always);
      break;
    case 3:
      Actions = onHedgeDue(State, always);
      break;
    case 4:
    case 5:
      Actions = onLease(State, Lease());
      break;
    case 6:
      Actions = onRejected(State, {RejectReason::Lost, Duration(1)});
      break;
    default:
      MayHaveRun |= Running && !State.Over;
      Actions = onDeadline(State);
      break;
    }
    if (const Result *Reply = replyIn(Actions)) {
      ++Replies;
      Answer = *Reply;
    }
  }
  RC_ASSERT(Replies <= 1U);
  RC_ASSERT(State.Attempts.size() <= MaxAttempts);
  if (Answer && !Answer->complete() && MayHaveRun)
    RC_ASSERT(Answer->DidRun == Ran::Maybe);
}

} // namespace
} // namespace geraniumbay::entry
