//===- calltiming.cpp - How calls to workers fare -------------------------===//

#include "scheduling/calltiming.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// A long latency is forgotten within some tens of orders.
constexpr int ForgottenPart = 16;
/// An order may take this many times as long as the one before.
constexpr int Headroom = 2;
/// After a lost answer others are expected to get lost for so long.
constexpr Duration LossLasts = std::chrono::seconds(5);

} // namespace

void noteAnswered(CallTiming &Known, Duration Took) {
  Known.Latency = std::max(Took, Known.Latency - Known.Latency / ForgottenPart);
}

void noteAnswerLost(CallTiming &Known, Time Now) { Known.LostAt = Now; }

bool losesAnswers(const CallTiming &Known, Time Now) {
  return Known.LostAt && Now - *Known.LostAt < LossLasts;
}

Duration orderValidity(const CallTiming &Known, Duration Least,
                       Duration Longest) {
  return std::clamp(Known.Latency * Headroom, Least, Longest);
}

} // namespace geraniumbay::scheduling
