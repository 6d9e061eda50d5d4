//===- orderwindow.h - Limit of unanswered start orders ---------*- C++ -*-===//
//
// Limits how many start orders the owner of a pool has unanswered, by the time
// that workers take to answer, as congestion control does for segments. Orders
// beyond what the owner's link or processor carries would wait in its sockets,
// where they outlive their validity, delay the renewal of leases and are sent
// again. Held back, their tasks wait in the owner's queue instead, in order of
// priority, and the wait is known when jobs are admitted.
//
// The quickest answer of an interval decides: an overloaded owner gets no
// answer in time, whereas a slow or silent worker delays only its own.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ORDERWINDOW_H
#define GERANIUMBAY_SCHEDULING_ORDERWINDOW_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace geraniumbay::scheduling {

/// Numbers the orders of one window.
using OrderNumber = StrongId<struct OrderNumberTag, std::uint64_t>;

/// The largest size of a window.
constexpr double MaxOrderWindow = 1024;

/// The window of one pool's owner.
struct OrderWindow {
  /// The most orders that may be unanswered. Fractional, so that it grows
  /// smoothly.
  double Size = 32;
  /// Up to here it grows with each answer.
  double FastUntil = MaxOrderWindow;
  OrderNumber Last;
  /// The latest order that was answered.
  OrderNumber LastAnswered;
  /// When the orders were sent that count against Size.
  std::map<OrderNumber, Time> Unanswered;

  // The interval in progress.
  Time IntervalBegan;
  std::optional<Duration> QuickestAnswer;
  /// An order had to wait for room.
  bool WasFull = false;
  /// An order was unanswered for longer than answers usually take.
  bool HasOverdue = false;

  /// Mean time from one answer to the next while orders are unanswered.
  Duration PerOrder{0};
  Time LastAnswerAt;
  /// When an interval was congested last while orders had to wait.
  std::optional<Time> OverloadedAt;
};

/// Whether orders had to wait lately although the window could not grow.
bool isOverloaded(const OrderWindow &Window, Time Now);
/// Whether one more order may be sent; otherwise tasks wait.
bool hasRoom(OrderWindow &Window, Time Now);
/// Notes an order that is sent now.
OrderNumber noteOrder(OrderWindow &Window, Time Now);
/// Notes the answer to an order.
void noteOrderAnswered(OrderWindow &Window, OrderNumber Number, Time Now);
/// Notes that an order is not answered any more.
void noteOrderLost(OrderWindow &Window, OrderNumber Number);

/// The time until the last of \p Orders that are still to be sent is answered;
/// 0 if the owner is not overloaded.
Duration timeToOrder(const OrderWindow &Window, std::size_t Orders, Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ORDERWINDOW_H
