//===- runtimes.cpp - Learned run times -----------------------------------===//
//
// Exponentially weighted means of run time, factor and the predictors' errors.
//
//===----------------------------------------------------------------------===//

#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {
namespace {

/// Weight of a new sample once the model has enough of them.
constexpr double MinWeight = 0.05;
/// Age from which on a model is ignored.
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

double logError(double Predicted, double RunTime) {
  return std::abs(std::log(Predicted / RunTime));
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

void learnDeclared(RunTimeModel &Model, double Declared, double RunTime,
                   double Weight) {
  double Scaled = Declared * std::exp(Model.LogFactor);
  double DeclaredError = logError(Declared, RunTime);
  double MeanError =
      Model.Samples == 0 ? DeclaredError : logError(Model.Mean, RunTime);
  blend(Model.DeclaredError, DeclaredError, Weight);
  blend(Model.ScaledError, logError(Scaled, RunTime), Weight);
  blend(Model.MeanError, MeanError, Weight);
  blend(Model.LogFactor, std::log(RunTime / Declared), Weight);
}

} // namespace

Duration expectedRun(const RunTimeModel &Model, Duration Declared,
                     Duration Unknown, Time Now) {
  if (Model.Samples == 0 || Now - Model.LearnedAt > ForgetAfter)
    return Declared > Duration(0) ? Declared : Unknown;
  return std::max(fromSeconds(predict(Model, seconds(Declared))), Duration(1));
}

void learnRun(RunTimeModel &Model, Duration Declared, Duration RunTime,
              Time Now) {
  double RanSeconds = seconds(std::max(RunTime, Duration(1)));
  double Weight = std::max(MinWeight, 1.0 / (Model.Samples + 1));
  if (Declared > Duration(0))
    learnDeclared(Model, seconds(Declared), RanSeconds, Weight);
  blend(Model.Mean, RanSeconds, Weight);
  Model.LearnedAt = Now;
  if (Weight > MinWeight)
    ++Model.Samples;
}

} // namespace geraniumbay::scheduling
