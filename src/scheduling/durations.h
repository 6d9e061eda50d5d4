//===- durations.h - Arithmetic on durations --------------------*- C++ -*-===//
//
// Ratios of durations, and exponential decay.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_DURATIONS_H
#define GERANIUMBAY_SCHEDULING_DURATIONS_H

#include "framework/clock/iclock.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

/// \p Dividend / \p Divisor. A divisor below a microsecond counts as one.
inline double ratio(Duration Dividend, Duration Divisor) {
  return static_cast<double>(Dividend.count()) /
         static_cast<double>(std::max(Divisor, Duration(1)).count());
}

inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

/// \p Value after it has decayed for \p Age with the half-life \p HalfLife.
inline double decayed(double Value, Duration Age, Duration HalfLife) {
  return Value * std::exp2(-ratio(Age, HalfLife));
}

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_DURATIONS_H
