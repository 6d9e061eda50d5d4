//===- steadyload.h - Smoothed load reports ---------------------*- C++ -*-===//
//
// With short tasks the load of a pool jumps by a tenth within one task's run
// time, while a report is older than that by the time it is used, and each
// report goes to every entry. So a smoothed value is reported, and only when it
// has moved by a step: the traffic of all pools stays small, and entries do not
// react to short-lived jumps.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_STEADYLOAD_H
#define GERANIUMBAY_SCHEDULING_STEADYLOAD_H

#include "framework/clock/iclock.h"

#include <optional>

namespace geraniumbay::scheduling {

/// A value reported to many receivers, in any unit.
struct SmoothedValue {
  double Smoothed = 0;
  std::optional<Time> SampledAt;
  /// The last reported value.
  double Reported = 0;
};

/// Time constant: after this time a step change shows by about two thirds.
constexpr Duration SmoothingTime = std::chrono::milliseconds(400);

/// Updates the smoothed value with a sample.
void observe(SmoothedValue &Value, double Sample, Time Now);

/// Returns the value to report: the last one, unless the smoothed value has
/// moved away from it by \p Step or has returned to about zero.
double valueToReport(SmoothedValue &Value, double Step);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_STEADYLOAD_H
