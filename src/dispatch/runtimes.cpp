//===- runtimes.cpp - Learned run times -----------------------------------===//
//
// Exponentially weighted means of run time, factor and the predictors' errors.
//
//===----------------------------------------------------------------------===//

#include "dispatch/runtimes.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::dispatch {
namespace {

/// Weight of a new sample once enough were seen.
constexpr double MinWeight = 0.05;
/// What was learned longer ago is not used.
constexpr Duration ForgetAfter = std::chrono::minutes(1);

double seconds(Duration Value) {
  constexpr double MicrosPerSecond = 1e6;
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Value) {
  constexpr double MicrosPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(Value * MicrosPerSecond));
}

void blend(double &Mean, double Sample, double Weight) {
  Mean += (Sample - Mean) * Weight;
}

double logError(double Predicted, double Ran) {
  return std::abs(std::log(Predicted / Ran));
}

double predict(const RunTimeModel &Model, double Declared) {
  if (Declared <= 0)
    return Model.Mean;
  if (Model.DeclaredError <= std::min(Model.ScaledError, Model.MeanError))
    return Declared;
  return Model.ScaledError <= Model.MeanError
             ? Declared * std::exp(Model.LogFactor)
             : Model.Mean;
}

void learnDeclared(RunTimeModel &Model, double Declared, double Ran,
                   double Weight) {
  double Scaled = Declared * std::exp(Model.LogFactor);
  double DeclaredError = logError(Declared, Ran);
  double MeanError =
      Model.Samples == 0 ? DeclaredError : logError(Model.Mean, Ran);
  blend(Model.DeclaredError, DeclaredError, Weight);
  blend(Model.ScaledError, logError(Scaled, Ran), Weight);
  blend(Model.MeanError, MeanError, Weight);
  blend(Model.LogFactor, std::log(Ran / Declared), Weight);
}

} // namespace

Duration expectedRun(const RunTimes &Times, const ServiceId &Service,
                     const CallerId &Caller, Duration Declared,
                     Duration Unknown, Time Now) {
  Duration Fallback = Declared > Duration(0) ? Declared : Unknown;
  auto OfService = Times.Models.find(Service);
  if (OfService == Times.Models.end())
    return Fallback;
  auto Found = OfService->second.find(Caller);
  if (Found == OfService->second.end() ||
      Now - Found->second.LearnedAt > ForgetAfter)
    return Fallback;
  return std::max(fromSeconds(predict(Found->second, seconds(Declared))),
                  Duration(1));
}

void learnRun(RunTimes &Times, const ServiceId &Service, const CallerId &Caller,
              Duration Declared, Duration Ran, Time Now) {
  RunTimeModel &Model = Times.Models[Service][Caller];
  double RanSeconds = seconds(std::max(Ran, Duration(1)));
  double Weight = std::max(MinWeight, 1.0 / (Model.Samples + 1));
  if (Declared > Duration(0))
    learnDeclared(Model, seconds(Declared), RanSeconds, Weight);
  blend(Model.Mean, RanSeconds, Weight);
  Model.LearnedAt = Now;
  if (Weight > MinWeight)
    ++Model.Samples;
}

} // namespace geraniumbay::dispatch
