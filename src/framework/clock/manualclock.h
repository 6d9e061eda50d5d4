//===- manualclock.h - A clock that tests advance ---------------*- C++ -*-===//
//
// A clock that stands still until advance() is called.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_CLOCK_MANUALCLOCK_H
#define GERANIUMBAY_FRAMEWORK_CLOCK_MANUALCLOCK_H

#include "framework/clock/iclock.h"

namespace geraniumbay {

/// The paused clock of tests and of the model.
class ManualClock : public IClock {
public:
  explicit ManualClock(Time Start = Time(std::chrono::hours(1)),
                       WallMillis WallStart = 1'700'000'000'000)
      : Now_(Start), Wall_(WallStart * 1000) {}

  Time now() const override { return Now_; }
  WallMillis wallNow() const override { return Wall_ / 1000; }

  /// Moves both clocks on by \p Step, which is not negative.
  void advance(Duration Step) {
    Now_ += Step;
    Wall_ += Step.count();
  }

  /// Makes only the wall clock jump by \p Step, which may be negative.
  void stepWall(Duration Step) { Wall_ += Step.count(); }

private:
  Time Now_;
  /// Wall time in microseconds, so that small steps add up.
  std::int64_t Wall_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_CLOCK_MANUALCLOCK_H
