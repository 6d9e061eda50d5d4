//===- orderwindow.cpp - Limit of unanswered start orders -----------------===//
//
// Multiplicative decrease while even the quickest answer is late; while answers
// are in time and the window is full, it doubles with each round trip up to
// where it was congested last, and grows slowly beyond.
//
//===----------------------------------------------------------------------===//

#include "scheduling/orderwindow.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

constexpr double MinSize = 4;
constexpr double Decrease = 0.7;
constexpr double Increase = 1.5;
constexpr Duration Interval = std::chrono::milliseconds(100);
/// Workers answer within a few milliseconds. Later than this, short jobs miss
/// their objectives, and orders come close to the end of their validity.
constexpr Duration LatestAnswer = std::chrono::milliseconds(50);
/// An interval without orders to send is left unfinished. One that is this long
/// tells nothing.
constexpr Duration LongestInterval = std::chrono::milliseconds(300);
/// The owner counts as overloaded for this long after a congested interval in
/// which orders waited. The window grows and shrinks several times meanwhile.
constexpr Duration OverloadLasts = std::chrono::milliseconds(500);
/// Of answers a second, so that a wait stays finite.
constexpr double LeastRate = 1;
/// The weight of the latest interval in the rate of answers.
constexpr double RateWeight = 0.3;

bool isOverloaded(const OrderWindow &Window, Time Now) {
  return Window.OverloadedAt && Now - *Window.OverloadedAt < OverloadLasts;
}

bool isCongested(const OrderWindow &Window) {
  return Window.QuickestAnswer ? *Window.QuickestAnswer > LatestAnswer
                               : Window.HasOverdue;
}

void learnRate(OrderWindow &Window, Duration Length, Time Now) {
  bool Known = isOverloaded(Window, Now);
  bool Congested = isCongested(Window);
  if (!Window.WasFull || (!Known && !Congested))
    return;
  double Rate = static_cast<double>(Window.Answers) /
                std::chrono::duration<double>(Length).count();
  // Without congestion more might have been answered.
  if (!Congested)
    Rate = std::max(Rate, Window.AnswersPerSecond);
  Window.AnswersPerSecond =
      Known ? Window.AnswersPerSecond +
                  RateWeight * (Rate - Window.AnswersPerSecond)
            : Rate;
  if (Congested)
    Window.OverloadedAt = Now;
}

void resize(OrderWindow &Window) {
  if (isCongested(Window))
    Window.Size = Window.FastUntil = std::max(MinSize, Window.Size * Decrease);
  else if (Window.WasFull)
    Window.Size = std::min(MaxOrderWindow, Window.Size * Increase);
}

void endInterval(OrderWindow &Window, Time Now) {
  Duration Length = Now - Window.IntervalBegan;
  if (Length < Interval)
    return;
  if (Length < LongestInterval) {
    learnRate(Window, Length, Now);
    resize(Window);
  } else {
    Window.FastUntil = MaxOrderWindow;
  }
  Window.IntervalBegan = Now;
  Window.Answers = 0;
  Window.QuickestAnswer.reset();
  Window.WasFull = Window.HasOverdue = false;
}

/// An order that a later one has overtaken is held up by its worker, so it does
/// not count any more: the orders to other workers must not wait for it.
void dropOvertaken(OrderWindow &Window, Time Now) {
  auto It = Window.Unanswered.begin();
  while (It != Window.Unanswered.end() && It->first < Window.LastAnswered &&
         Now - It->second >= LatestAnswer)
    It = Window.Unanswered.erase(It);
}

bool isOverdue(const OrderWindow &Window, Time Now) {
  return !Window.Unanswered.empty() &&
         Now - Window.Unanswered.begin()->second >= LatestAnswer;
}

} // namespace

bool hasRoom(OrderWindow &Window, Time Now) {
  dropOvertaken(Window, Now);
  Window.HasOverdue = Window.HasOverdue || isOverdue(Window, Now);
  endInterval(Window, Now);
  if (static_cast<double>(Window.Unanswered.size()) < Window.Size)
    return true;
  Window.WasFull = true;
  return false;
}

OrderNumber noteOrder(OrderWindow &Window, Time Now) {
  Window.Last = OrderNumber(Window.Last.value() + 1);
  Window.Unanswered.emplace(Window.Last, Now);
  return Window.Last;
}

void noteOrderAnswered(OrderWindow &Window, OrderNumber Number, Time Now) {
  ++Window.Answers;
  Window.LastAnswered = std::max(Window.LastAnswered, Number);
  auto Found = Window.Unanswered.find(Number);
  if (Found == Window.Unanswered.end())
    return;
  Duration Took = Now - Found->second;
  Window.QuickestAnswer = std::min(Took, Window.QuickestAnswer.value_or(Took));
  Window.Unanswered.erase(Found);
  if (Took < LatestAnswer && Window.WasFull && Window.Size < Window.FastUntil)
    ++Window.Size;
}

void noteOrderLost(OrderWindow &Window, OrderNumber Number) {
  Window.Unanswered.erase(Number);
}

Duration timeToOrder(const OrderWindow &Window, std::size_t Orders, Time Now) {
  if (!isOverloaded(Window, Now))
    return Duration(0);
  double Rate = std::max(Window.AnswersPerSecond, LeastRate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Orders) / Rate));
}

} // namespace geraniumbay::scheduling
