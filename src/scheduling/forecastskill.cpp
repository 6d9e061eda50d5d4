//===- forecastskill.cpp - Correction of wait forecasts -------------------===//
//
// Exponentially weighted mean that decays over time.
//
//===----------------------------------------------------------------------===//

#include "scheduling/forecastskill.h"

#include "scheduling/durations.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

namespace {

/// Ten consecutive jobs move the correction most of the way; at a hundred jobs
/// a second that is a tenth of a second.
constexpr double Weight = 0.1;
/// Limits the influence of a single job.
constexpr double MaxLogError = 1.5;
/// Added to both durations, since waits of a few milliseconds are noise.
constexpr Duration NoiseFloor = std::chrono::milliseconds(20);
/// Half-life of the correction while no job updates it.
constexpr Duration HalfLife = std::chrono::seconds(1);

double errorNow(const ForecastSkill &Skill, Time Now) {
  return decayed(Skill.LogError, Now - Skill.LearnedAt, HalfLife);
}

} // namespace

void learnForecast(ForecastSkill &Skill, Duration Forecast, Duration Waited,
                   Time Now) {
  double Log = std::log(ratio(Waited + NoiseFloor, Forecast + NoiseFloor));
  double Current = errorNow(Skill, Now);
  Skill.LogError =
      Current + (std::clamp(Log, -MaxLogError, MaxLogError) - Current) * Weight;
  Skill.LearnedAt = Now;
}

Duration correctedForecast(const ForecastSkill &Skill, Duration Forecast,
                           Time Now) {
  return scaled(Forecast, std::exp(std::max(errorNow(Skill, Now), 0.0)));
}

} // namespace geraniumbay::scheduling
