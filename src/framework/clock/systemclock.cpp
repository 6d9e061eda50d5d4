//===- systemclock.cpp - The clock of the machine -------------------------===//
//
// The one place that reads the machine's clocks.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/systemclock.h"

namespace geraniumbay {

Time SystemClock::now() const {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(SinceBoot));
}

WallMillis SystemClock::wallNow() const {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

} // namespace geraniumbay
