//===- systemclock.cpp - The clock of the machine -------------------------===//
//
// The one place that reads the machine's clocks.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/systemclock.h"

#include <ctime>

namespace geraniumbay {

Time SystemClock::now() const {
  // CLOCK_BOOTTIME also counts the time that the machine was suspended, which
  // the steady clock leaves out: a lease must run out meanwhile.
  timespec SinceBoot{};
  ::clock_gettime(CLOCK_BOOTTIME, &SinceBoot);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(SinceBoot.tv_sec) +
      std::chrono::nanoseconds(SinceBoot.tv_nsec)));
}

WallMillis SystemClock::wallNow() const {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

} // namespace geraniumbay
