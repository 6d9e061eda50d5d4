//===- iclock.h - The clock of the runtime ----------------------*- C++ -*-===//
//
// The only source of time. Tests pass a ManualClock, which stands still until
// it is advanced.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_CLOCK_ICLOCK_H
#define GERANIUMBAY_FRAMEWORK_CLOCK_ICLOCK_H

#include <chrono>
#include <cstdint>

namespace geraniumbay {

/// The unit of all intervals inside the system: microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the runtime's clock, for Time.
struct RuntimeClock {
  using duration = Duration;                                // NOLINT
  using rep = duration::rep;                                // NOLINT
  using period = duration::period;                          // NOLINT
  using time_point = std::chrono::time_point<RuntimeClock>; // NOLINT
  static constexpr bool is_steady = true;                   // NOLINT
};

/// A point on the monotonic clock of one process; never sent to another.
using Time = std::chrono::time_point<RuntimeClock, Duration>;

/// Wall-clock time in milliseconds since the Unix epoch. For people and for
/// retention only; it may jump.
using WallMillis = std::int64_t;

/// Tells the time.
class IClock {
public:
  virtual ~IClock() = default;

  /// The monotonic time now.
  virtual Time now() const = 0;
  /// The wall-clock time now.
  virtual WallMillis wallNow() const = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_CLOCK_ICLOCK_H
