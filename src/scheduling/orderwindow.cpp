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

/// More than a wide job, so that an owner whose answers are late for another
/// reason still orders some tens of tasks a second.
constexpr double MinSize = 12;
constexpr double Decrease = 0.7;
constexpr double Increase = 1.5;
constexpr Duration Interval = std::chrono::milliseconds(100);
/// Workers answer within a few milliseconds. Later than this, short jobs miss
/// their objectives, and orders come close to the end of their validity.
constexpr Duration LatestAnswer = std::chrono::milliseconds(50);
/// Without orders to send no interval ends. One that lasted this long shows
/// nothing about the load.
constexpr Duration LongestInterval = std::chrono::milliseconds(300);
/// The owner counts as overloaded for this long after a congested interval in
/// which orders waited. The window grows and shrinks several times meanwhile.
constexpr Duration OverloadLasts = std::chrono::milliseconds(500);
/// The weight of each answer in the time per order is one in this many.
constexpr int PaceWeightDivisor = 32;

bool isCongested(const OrderWindow &Window) {
  return Window.QuickestAnswer ? *Window.QuickestAnswer > LatestAnswer
                               : Window.HasOverdue;
}

/// Orders of one owner leave one after the other, so answers come at the pace
/// at which they are sent.
void learnPace(OrderWindow &Window, Time SentAt, Time Now) {
  // A pause of this process is no pace.
  Duration Gap =
      std::min(Now - std::max(SentAt, Window.LastAnswerAt), Interval);
  Window.PerOrder += (Gap - Window.PerOrder) / PaceWeightDivisor;
  Window.LastAnswerAt = Now;
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
    if (Window.WasFull && isCongested(Window))
      Window.OverloadedAt = Now;
    resize(Window);
  } else {
    Window.FastUntil = MaxOrderWindow;
  }
  Window.IntervalBegan = Now;
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

bool isOverloaded(const OrderWindow &Window, Time Now) {
  return Window.OverloadedAt && Now - *Window.OverloadedAt < OverloadLasts;
}

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
  bool Overtaken = Number < Window.LastAnswered;
  Window.LastAnswered = std::max(Window.LastAnswered, Number);
  auto Found = Window.Unanswered.find(Number);
  if (Found == Window.Unanswered.end())
    return;
  Duration Took = Now - Found->second;
  if (!Overtaken)
    learnPace(Window, Found->second, Now);
  Window.QuickestAnswer = std::min(Took, Window.QuickestAnswer.value_or(Took));
  Window.Unanswered.erase(Found);
  if (Took < LatestAnswer && Window.WasFull && Window.Size < Window.FastUntil)
    ++Window.Size;
}

void noteOrderLost(OrderWindow &Window, OrderNumber Number) {
  Window.Unanswered.erase(Number);
}

Duration timeToOrder(const OrderWindow &Window, std::size_t Orders, Time Now) {
  return isOverloaded(Window, Now)
             ? Window.PerOrder *
                   static_cast<Duration::rep>(Window.Unanswered.size() + Orders)
             : Duration(0);
}

} // namespace geraniumbay::scheduling
