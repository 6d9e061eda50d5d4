//===- drainer.h - A planned stop -------------------------------*- C++ -*-===//
//
// Stops a process gracefully: the balancer's check turns first, new work is
// refused, what is in flight gets its whole answer, and a bound reports what
// is left.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_DRAINER_H
#define GERANIUMBAY_APP_INTERNAL_DRAINER_H

#include "framework/clock/itimers.h"

#include <cstddef>

namespace geraniumbay::app {

/// What the drainer does to the process.
struct DrainHooks {
  /// New work is refused from now on.
  std::function<void()> Refuse;
  /// How many requests have no answer yet.
  std::function<std::size_t()> InFlight;
  /// Nothing is in flight any more, or the time is over; \p Left requests were
  /// cut off.
  std::function<void(std::size_t Left)> Finished;
};

/// The stop of one process.
class Drainer {
public:
  Drainer(const IClock &Clock, ITimers &Timers, Duration Bound,
          DrainHooks Hooks);

  /// Begins the stop, and once drained finishes it if \p ThenStop. Repeating
  /// it does no harm.
  void begin(bool ThenStop);
  bool begun() const { return Begun_; }

private:
  void check();

  const IClock &Clock_;
  ITimers &Timers_;
  const Duration Bound_;
  const DrainHooks Hooks_;
  bool Begun_ = false;
  bool ThenStop_ = false;
  Time Deadline_;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_DRAINER_H
