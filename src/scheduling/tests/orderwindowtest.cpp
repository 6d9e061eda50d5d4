//===- orderwindowtest.cpp - Tests of the limit of unanswered orders ------===//
//
// Plays orders and their answers on a time line of milliseconds.
//
//===----------------------------------------------------------------------===//

#include "scheduling/orderwindow.h"

#include <gtest/gtest.h>

#include <deque>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

/// An owner that always has more orders to send, over a link that delivers a
/// number of them a millisecond, one after the other.
class OrderWindowTest : public testing::Test {
protected:
  /// Sends all that the window allows in each millisecond.
  void play(Duration For, double OrdersPerMilli) {
    for (Time End = Now_ + For; Now_ < End; Now_ += 1ms) {
      while (hasRoom(Window_, Now_)) {
        LinkFreeAt_ =
            std::max(LinkFreeAt_, Now_) +
            Duration(static_cast<Duration::rep>(1000 / OrdersPerMilli));
        Answers_.push_back({LinkFreeAt_ + 2ms, noteOrder(Window_, Now_), Now_});
      }
      while (!Answers_.empty() && Answers_.front().At <= Now_) {
        LongestAnswer_ = std::max(LongestAnswer_, Now_ - Answers_.front().Sent);
        noteOrderAnswered(Window_, Answers_.front().Number, Now_);
        ++Answered_;
        Answers_.pop_front();
      }
    }
  }

  struct Answer {
    Time At;
    OrderNumber Number;
    Time Sent;
  };

  OrderWindow Window_;
  Time Now_{1s};
  Time LinkFreeAt_{};
  std::deque<Answer> Answers_;
  std::size_t Answered_ = 0;
  Duration LongestAnswer_{0};
};

// Guards against orders that queue on a narrow link until they are useless.
TEST_F(OrderWindowTest, AnswersStayQuickOnANarrowLink) {
  play(2s, 0.1);
  LongestAnswer_ = Duration(0);
  Answered_ = 0;
  play(5s, 0.1);
  EXPECT_LE(LongestAnswer_, 150ms);
  EXPECT_GE(Answered_, 450U);
}

// Guards against a limit that holds back an owner with capacity to spare.
TEST_F(OrderWindowTest, AWideLinkIsNotLimited) {
  play(2s, 50);
  EXPECT_GE(Window_.Size, 100);
  EXPECT_EQ(timeToOrder(Window_, 1000, Now_), Duration(0));
}

// Guards against a pool that slows down for one worker that does not answer.
TEST_F(OrderWindowTest, ASilentWorkerDoesNotShrinkTheWindow) {
  double Before = Window_.Size;
  for (int I = 0; I < 2000; ++I, Now_ += 1ms) {
    ASSERT_TRUE(hasRoom(Window_, Now_));
    OrderNumber Lost = noteOrder(Window_, Now_);
    if (I % 10 != 0)
      noteOrderAnswered(Window_, Lost, Now_ + 1ms);
  }
  EXPECT_GE(Window_.Size, Before);
}

// Guards against jobs that are admitted although their orders can't be sent.
TEST_F(OrderWindowTest, TheWaitOfAnOverloadedOwnerFollowsItsRate) {
  play(3s, 0.1);
  Duration Wait = timeToOrder(Window_, 50, Now_);
  EXPECT_GE(Wait, 400ms);
  EXPECT_LE(Wait, 700ms);
  // Once it is not overloaded any more, nothing waits.
  EXPECT_EQ(timeToOrder(Window_, 50, Now_ + 1s), Duration(0));
}

// Guards against jobs that are refused after a pause of the owner, since the
// pause was learned as the pace of answers.
TEST_F(OrderWindowTest, APauseIsNotThePaceOfAnswers) {
  play(3s, 0.1);
  Now_ += 5s;
  play(1s, 0.1);
  EXPECT_LE(timeToOrder(Window_, 50, Now_), 700ms);
}

// Guards against a rate that is taken over a time in which nothing was to send.
TEST_F(OrderWindowTest, ARestAfterABurstIsNoOverload) {
  while (hasRoom(Window_, Now_))
    Answers_.push_back({Now_ + 3ms, noteOrder(Window_, Now_), Now_});
  Now_ += 3ms;
  for (const Answer &Each : Answers_)
    noteOrderAnswered(Window_, Each.Number, Now_);
  Now_ += 20s;
  EXPECT_TRUE(hasRoom(Window_, Now_));
  EXPECT_EQ(timeToOrder(Window_, 100, Now_), Duration(0));
}

} // namespace
} // namespace geraniumbay::scheduling
