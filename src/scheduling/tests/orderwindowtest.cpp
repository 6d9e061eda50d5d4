//===- orderwindowtest.cpp - Tests of the limit of unanswered orders ------===//
//
// Plays orders and their answers on a time line of milliseconds.
//
//===----------------------------------------------------------------------===//

#include "scheduling/orderwindow.h"

#include <deque>
#include <gtest/gtest.h>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

/// An owner that always has more orders to send, over a link that delivers a
/// number of them a millisecond, one after the other.
class OrderWindowTest : public testing::Test {
protected:
  /// Sends all that the window allows in each millisecond.
  void play(Duration For, double OrdersPerMilli) {
    for (Time End = Now + For; Now < End; Now += 1ms) {
      while (hasRoom(Window, Now)) {
        LinkFreeAt =
            std::max(LinkFreeAt, Now) +
            Duration(static_cast<Duration::rep>(1000 / OrdersPerMilli));
        Answers.push_back({LinkFreeAt + 2ms, noteOrder(Window, Now), Now});
      }
      while (!Answers.empty() && Answers.front().At <= Now) {
        LongestAnswer = std::max(LongestAnswer, Now - Answers.front().Sent);
        noteOrderAnswered(Window, Answers.front().Number, Now);
        ++Answered;
        Answers.pop_front();
      }
    }
  }

  struct Answer {
    Time At;
    OrderNumber Number;
    Time Sent;
  };

  OrderWindow Window;
  Time Now{1s};
  Time LinkFreeAt{};
  std::deque<Answer> Answers;
  std::size_t Answered = 0;
  Duration LongestAnswer{0};
};

// Guards against orders that queue on a narrow link until they are useless.
TEST_F(OrderWindowTest, AnswersStayQuickOnANarrowLink) {
  play(2s, 0.1);
  LongestAnswer = Duration(0);
  Answered = 0;
  play(5s, 0.1);
  EXPECT_LE(LongestAnswer, 150ms);
  EXPECT_GE(Answered, 450U);
}

// Guards against a limit that holds back an owner with capacity to spare.
TEST_F(OrderWindowTest, AWideLinkIsNotLimited) {
  play(2s, 50);
  EXPECT_GE(Window.Size, 100);
  EXPECT_EQ(timeToOrder(Window, 1000, Now), Duration(0));
}

// Guards against a pool that slows down for one worker that does not answer.
TEST_F(OrderWindowTest, ASilentWorkerDoesNotShrinkTheWindow) {
  double Before = Window.Size;
  for (int I = 0; I < 2000; ++I, Now += 1ms) {
    ASSERT_TRUE(hasRoom(Window, Now));
    OrderNumber Lost = noteOrder(Window, Now);
    if (I % 10 != 0)
      noteOrderAnswered(Window, Lost, Now + 1ms);
  }
  EXPECT_GE(Window.Size, Before);
}

// Guards against jobs that are admitted although their orders can't be sent.
TEST_F(OrderWindowTest, TheWaitOfAnOverloadedOwnerFollowsItsRate) {
  play(3s, 0.1);
  Duration Wait = timeToOrder(Window, 50, Now);
  EXPECT_GE(Wait, 400ms);
  EXPECT_LE(Wait, 700ms);
  // Once it is not overloaded any more, nothing waits.
  EXPECT_EQ(timeToOrder(Window, 50, Now + 1s), Duration(0));
}

// Guards against jobs that are refused after a pause of the owner, since the
// pause was learned as the pace of answers.
TEST_F(OrderWindowTest, APauseIsNotThePaceOfAnswers) {
  play(3s, 0.1);
  Now += 5s;
  play(1s, 0.1);
  EXPECT_LE(timeToOrder(Window, 50, Now), 700ms);
}

// Guards against a rate that is taken over a time in which nothing was to send.
TEST_F(OrderWindowTest, ARestAfterABurstIsNoOverload) {
  while (hasRoom(Window, Now))
    Answers.push_back({Now + 3ms, noteOrder(Window, Now), Now});
  Now += 3ms;
  for (const Answer &Each : Answers)
    noteOrderAnswered(Window, Each.Number, Now);
  Now += 20s;
  EXPECT_TRUE(hasRoom(Window, Now));
  EXPECT_EQ(timeToOrder(Window, 100, Now), Duration(0));
}

} // namespace
} // namespace geraniumbay::scheduling
