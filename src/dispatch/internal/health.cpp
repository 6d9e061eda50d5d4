//===- health.cpp - Outlier detection of workers --------------------------===//
//
// The CUSUM test, the window of leases and the probes' backoff.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/health.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::dispatch {
namespace {

/// Failure rate that is taken as normal, whatever lower rate was measured.
constexpr double NormalRate = 0.05;
/// Highest failure rate of a caller that still tells workers apart.
constexpr double MaxNormalRate = 0.9;
/// Lowest failure rate that makes a worker an outlier.
constexpr double OutlierRate = 0.5;
/// Weight of a new sample in a caller's failure rate.
constexpr double RateWeight = 0.01;
/// A caller without a success for so long may be what fails.
constexpr Duration RecentSuccess = std::chrono::seconds(2);
/// Successful probes after which a worker is back.
constexpr std::uint32_t ProbesToReturn = 2;
constexpr std::uint32_t MaxWindow = 1U << 16U;

struct Rates {
  double Normal;
  double Outlier;
};

Rates ratesFor(const CallerFailures &Caller) {
  double Normal = std::clamp(Caller.Rate, NormalRate, MaxNormalRate);
  return {Normal, std::max(OutlierRate, (1 + Normal) / 2)};
}

/// Evidence at which a worker is left out: that many failures in a row at the
/// normal rate, with a little room for rounding.
double ejectThreshold(const PoolPolicy &Policy) {
  constexpr double Rounding = 0.001;
  return Policy.EjectAfterFailures * std::log(OutlierRate / NormalRate) -
         Rounding;
}

/// True if the caller's tasks fail wherever they run.
bool callerIsSuspect(const CallerFailures &Caller, Time Now) {
  return Caller.FailedCount >= Caller.FailedAt.size() &&
         Now - Caller.LastSuccess > RecentSuccess;
}

void rememberFailedAt(CallerFailures &Caller, const WorkerId &Worker) {
  auto *End = Caller.FailedAt.begin() + Caller.FailedCount;
  if (Caller.FailedCount < Caller.FailedAt.size() &&
      std::find(Caller.FailedAt.begin(), End, Worker) == End)
    Caller.FailedAt[Caller.FailedCount++] = Worker;
}

void eject(WorkerHealth &Health, const PoolPolicy &Policy, Time Now) {
  Health.ProbeBackoff =
      Health.Ejected ? std::min(Health.ProbeBackoff * 2, Policy.MaxProbeAfter)
                     : Policy.ProbeAfter;
  Health.Ejected = true;
  Health.ProbesPassed = 0;
  Health.ProbeAt = Now + Health.ProbeBackoff;
}

} // namespace

WorkerHealth freshHealth(const PoolPolicy &Policy) {
  WorkerHealth Health;
  Health.Window = std::max(Policy.FirstLeases, 1U);
  return Health;
}

void noteSuccess(WorkerHealth &Health, CallerFailures &Caller,
                 const PoolPolicy &Policy, Time Now) {
  Rates Rate = ratesFor(Caller);
  Caller.Rate += (0 - Caller.Rate) * RateWeight;
  Caller.LastSuccess = Now;
  Caller.FailedCount = 0;
  Health.FailuresInRow = 0;
  if (!Health.Ejected) {
    double Step = std::log((1 - Rate.Outlier) / (1 - Rate.Normal));
    Health.Evidence = std::max(0.0, Health.Evidence + Step);
    Health.Window = std::min(Health.Window * 2, MaxWindow);
    return;
  }
  if (++Health.ProbesPassed < ProbesToReturn) {
    Health.ProbeAt = Now;
    return;
  }
  Health = freshHealth(Policy);
}

void noteFailure(WorkerHealth &Health, CallerFailures &Caller,
                 const CallerId &Whose, const WorkerId &Worker,
                 const PoolPolicy &Policy, Time Now) {
  Rates Rate = ratesFor(Caller);
  if (Health.FailuresInRow++ == 0)
    Caller.Rate += (1 - Caller.Rate) * RateWeight;
  rememberFailedAt(Caller, Worker);
  bool OtherFailedToo =
      Health.FailuresInRow > 1 && Health.FailedCaller != Whose;
  Health.FailedCaller = Whose;
  if (Health.Ejected) {
    eject(Health, Policy, Now);
    return;
  }
  if (callerIsSuspect(Caller, Now) && !OtherFailedToo)
    return;
  Health.Window = 1;
  Health.Evidence += std::log(Rate.Outlier / Rate.Normal);
  if (Health.Evidence >= ejectThreshold(Policy))
    eject(Health, Policy, Now);
}

} // namespace geraniumbay::dispatch
