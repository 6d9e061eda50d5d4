//===- calltiming.cpp - Latency and loss of worker calls ------------------===//

#include "scheduling/calltiming.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// The part of the maximum that each shorter latency removes: a peak decays
/// within some tens of orders.
constexpr int LatencyDecayDivisor = 16;
/// Allows an order to take this many times as long as the recent maximum.
constexpr int Headroom = 2;
/// How long after a lost answer further losses are expected.
constexpr Duration LossWindow = std::chrono::seconds(5);

} // namespace

void noteAnswered(CallTiming &Timing, Duration Latency) {
  Timing.Latency =
      std::max(Latency, Timing.Latency - Timing.Latency / LatencyDecayDivisor);
}

void noteAnswerLost(CallTiming &Timing, Time Now) { Timing.LostAt = Now; }

bool losesAnswers(const CallTiming &Timing, Time Now) {
  return Timing.LostAt && Now - *Timing.LostAt < LossWindow;
}

Duration orderValidity(const CallTiming &Timing, Duration Min, Duration Max) {
  return std::clamp(Timing.Latency * Headroom, Min, Max);
}

} // namespace geraniumbay::scheduling
