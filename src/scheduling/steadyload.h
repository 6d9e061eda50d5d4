//===- steadyload.h - Telling many of a load that jumps ---------*- C++ -*-===//
//
// Answers the pattern of short tasks in many pools: the use of a pool jumps by
// a tenth within a task's time, while what is told of it is older than that
// when it is used, and each change goes to every entry. So a smoothed value is
// told, and told anew only when it has moved by a step: what all pools together
// send stays small, and entries do not chase jumps that are over.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_STEADYLOAD_H
#define GERANIUMBAY_SCHEDULING_STEADYLOAD_H

#include "framework/clock/iclock.h"

#include <optional>

namespace geraniumbay::scheduling {

/// One figure that is told to many, in any unit.
struct SmoothedValue {
  double Smoothed = 0;
  std::optional<Time> SampledAt;
  /// What was told last.
  double Reported = 0;
};

/// The time in which a steady change is told by two thirds.
constexpr Duration SmoothingTime = std::chrono::milliseconds(400);

/// Takes what is seen now.
void observe(SmoothedValue &Value, double Sample, Time Now);

/// Returns what is to be told: the value told last, unless the smoothed one has
/// moved away from it by \p Step or is back at zero.
double valueToReport(SmoothedValue &Value, double Step);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_STEADYLOAD_H
