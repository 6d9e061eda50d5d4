//===- steadyload.cpp - Smoothed load reports -----------------------------===//
//
// Exponential smoothing over time, with hysteresis on the reported value.
//
//===----------------------------------------------------------------------===//

#include "scheduling/steadyload.h"

#include <cmath>

namespace geraniumbay::scheduling {

void observe(SmoothedValue &Value, double Sample, Time Now) {
  if (!Value.SampledAt) {
    Value.Smoothed = Sample;
    Value.SampledAt = Now;
    return;
  }
  double Passed = static_cast<double>((Now - *Value.SampledAt).count()) /
                  static_cast<double>(SmoothingTime.count());
  Value.Smoothed += (Sample - Value.Smoothed) * (1 - std::exp(-Passed));
  Value.SampledAt = Now;
}

double valueToReport(SmoothedValue &Value, double Step) {
  constexpr double NearZero = 0.25;
  bool AtZero = Value.Smoothed < Step * NearZero;
  if (AtZero)
    Value.Reported = 0;
  else if (std::abs(Value.Smoothed - Value.Reported) >= Step)
    Value.Reported = Value.Smoothed;
  return Value.Reported;
}

} // namespace geraniumbay::scheduling
