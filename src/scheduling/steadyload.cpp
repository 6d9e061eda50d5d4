//===- steadyload.cpp - Telling many of a load that jumps -----------------===//
//
// Exponential smoothing over time, and a step before a value is told anew.
//
//===----------------------------------------------------------------------===//

#include "scheduling/steadyload.h"

#include <cmath>

namespace geraniumbay::scheduling {

void observe(SteadyValue &Value, double Seen, Time Now) {
  if (!Value.SeenAt) {
    Value.Smoothed = Seen;
    Value.SeenAt = Now;
    return;
  }
  double Passed = static_cast<double>((Now - *Value.SeenAt).count()) /
                  static_cast<double>(SmoothingTime.count());
  Value.Smoothed += (Seen - Value.Smoothed) * (1 - std::exp(-Passed));
  Value.SeenAt = Now;
}

double tell(SteadyValue &Value, double Step) {
  constexpr double NearZero = 0.25;
  bool AtZero = Value.Smoothed < Step * NearZero;
  if (AtZero)
    Value.Told = 0;
  else if (std::abs(Value.Smoothed - Value.Told) >= Step)
    Value.Told = Value.Smoothed;
  return Value.Told;
}

} // namespace geraniumbay::scheduling
