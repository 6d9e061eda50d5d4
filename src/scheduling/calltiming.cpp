//===- calltiming.cpp - How calls to workers fare -------------------------===//

#include "scheduling/calltiming.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// A long latency is forgotten within some tens of orders.
constexpr int LatencyDecayDivisor = 16;
/// An order may take this many times as long as the one before.
constexpr int Headroom = 2;
/// After a lost answer others are expected to get lost for so long.
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
