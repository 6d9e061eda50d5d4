//===- hedging.cpp - When to send a second copy of a slow task ------------===//
//
// A logarithmic histogram with fading counts.
//
//===----------------------------------------------------------------------===//

#include "dispatch/hedging.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::dispatch {
namespace {

constexpr double BucketsPerOctave = 4;
/// Bucket of tasks that ran exactly as long as expected.
constexpr double CentreBucket = 32;
/// All counts are halved when their sum reaches this.
constexpr float FadeAt = 4096;

std::size_t bucketOf(double Factor) {
  double Place = CentreBucket + std::log2(Factor) * BucketsPerOctave;
  return static_cast<std::size_t>(
      std::clamp(Place, 0.0, static_cast<double>(LateProfile::Buckets - 1)));
}

/// Upper bound of the factors in \p Bucket.
double factorOf(std::size_t Bucket) {
  return std::exp2((static_cast<double>(Bucket) + 1 - CentreBucket) /
                   BucketsPerOctave);
}

double quantile(const LateProfile &Profile, double Part) {
  double Wanted = Profile.Total * Part;
  double Seen = 0;
  for (std::size_t I = 0; I < LateProfile::Buckets; ++I) {
    Seen += Profile.Counts[I];
    if (Seen >= Wanted)
      return factorOf(I);
  }
  return factorOf(LateProfile::Buckets - 1);
}

} // namespace

HedgePolicy hedgePolicy(MessageWeight Weight) {
  HedgePolicy Policy;
  Policy.Quantile = Weight == MessageWeight::Messages ? 0.995 : 0.98;
  return Policy;
}

void learnLateness(LateProfile &Profile, Duration Expected, Duration Ran) {
  auto Base = static_cast<double>(std::max(Expected, Duration(1)).count());
  auto Took = static_cast<double>(std::max(Ran, Duration(1)).count());
  Profile.Counts[bucketOf(Took / Base)] += 1;
  Profile.Total += 1;
  if (Profile.Total < FadeAt)
    return;
  Profile.Total = 0;
  for (float &Count : Profile.Counts) {
    Count /= 2;
    Profile.Total += Count;
  }
}

std::optional<Duration> hedgeDelay(const LateProfile &Profile,
                                   const HedgePolicy &Policy, RequestKind Kind,
                                   Duration Expected) {
  if (Kind != RequestKind::RepeatableSingle ||
      Profile.Total < Policy.MinSamples)
    return std::nullopt;
  double Factor =
      std::max(quantile(Profile, Policy.Quantile), Policy.MinFactor);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Expected.count()) * Factor));
}

} // namespace geraniumbay::dispatch
