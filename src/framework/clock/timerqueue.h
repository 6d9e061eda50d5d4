//===- timerqueue.h - Timers in order of their time -------------*- C++ -*-===//
//
// Holds the running timers of a loop in order. The loop, or a test that has
// advanced its clock, calls runDue().
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_CLOCK_TIMERQUEUE_H
#define GERANIUMBAY_FRAMEWORK_CLOCK_TIMERQUEUE_H

#include "framework/clock/itimers.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace geraniumbay {

/// Timers ordered by the time they are due; equal times run as they were set.
class TimerQueue : public ITimers {
public:
  explicit TimerQueue(const IClock &Clock) : Clock_(Clock) {}

  TimerId after(Duration Delay, Callback Run) override;
  void cancel(TimerId Id) override;

  /// Runs every timer that is due now; those that it sets run the next time.
  /// Returns how many ran.
  std::size_t runDue();
  /// When the next timer is due, or nothing if none is set.
  std::optional<Time> nextDue() const;

private:
  /// Order of the queue: due time, then the order of setting.
  using Key = std::pair<Time, TimerId>;

  const IClock &Clock_;
  std::uint64_t LastId_ = 0;
  std::map<Key, Callback> Queue_;
  /// Invariant: holds exactly the ids of the timers in Queue_.
  std::unordered_map<TimerId, Time> DueById_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_CLOCK_TIMERQUEUE_H
