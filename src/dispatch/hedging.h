//===- hedging.h - When to send a second copy of a slow task ----*- C++ -*-===//
//
// Learns how long tasks take compared with what was expected, and says from
// the learned quantile when a repeatable single is so late that a second copy
// at another worker is worth a message.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_HEDGING_H
#define GERANIUMBAY_DISPATCH_HEDGING_H

#include "dispatch/retrybudget.h"

#include <array>
#include <optional>

namespace geraniumbay::dispatch {

/// Settings of hedging.
struct HedgePolicy {
  /// A task that takes longer than this part of all tasks is late, in (0, 1).
  double Quantile = 0.99;
  /// A task is never late before this many times its expected run time.
  double MinFactor = 2;
  /// Tasks that must have been seen first.
  double MinSamples = 100;
};

/// Distribution of run time over expected run time, in buckets of a quarter of
/// an octave; old samples fade.
struct LateProfile {
  static constexpr std::size_t Buckets = 64;
  std::array<float, Buckets> Counts{};
  /// Invariant: the sum of Counts.
  float Total = 0;
};

/// The policy that goes with \p Weight.
HedgePolicy hedgePolicy(MessageWeight Weight);

/// Takes a task that ended into the profile.
void learnLateness(LateProfile &Profile, Duration Expected, Duration Ran);

/// Time after its start at which the task is late enough to be hedged; nothing
/// if too little is known or if a request of \p Kind is never hedged.
std::optional<Duration> hedgeDelay(const LateProfile &Profile,
                                   const HedgePolicy &Policy, RequestKind Kind,
                                   Duration Expected);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_HEDGING_H
