//===- itimers.h - Callbacks after a delay ----------------------*- C++ -*-===//
//
// What a service uses to be called back later on the loop.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_CLOCK_ITIMERS_H
#define GERANIUMBAY_FRAMEWORK_CLOCK_ITIMERS_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

namespace geraniumbay {

/// The id of a running timer; 0 is never one.
using TimerId = StrongId<struct TimerTag, std::uint64_t>;

/// Calls back after a delay, on the loop's thread.
class ITimers {
public:
  using Callback = std::function<void()>;

  virtual ~ITimers() = default;

  /// Calls \p Run once, \p Delay from now or at the first chance after.
  virtual TimerId after(Duration Delay, Callback Run) = 0;
  /// Forgets the timer; one that has run or is unknown is ignored.
  virtual void cancel(TimerId Id) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_CLOCK_ITIMERS_H
