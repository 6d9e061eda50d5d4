//===- durations.h - Arithmetic on durations --------------------*- C++ -*-===//
//
// Ratios of durations, and what fades with time.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_DURATIONS_H
#define GERANIUMBAY_SCHEDULING_DURATIONS_H

#include "framework/clock/iclock.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

/// How many times \p Other, which counts as a microsecond at least, \p One is.
inline double ratio(Duration Dividend, Duration Divisor) {
  return static_cast<double>(Dividend.count()) /
         static_cast<double>(std::max(Divisor, Duration(1)).count());
}

inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

/// What is left of \p Value after \p Age if half of it goes in \p HalfLife.
inline double decayed(double Value, Duration Age, Duration HalfLife) {
  return Value * std::exp2(-ratio(Age, HalfLife));
}

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_DURATIONS_H
