//===- forecastskill.cpp - How far forecasts were off ---------------------===//
//
// An exponentially weighted mean that fades.
//
//===----------------------------------------------------------------------===//

#include "scheduling/forecastskill.h"

#include "scheduling/durations.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

namespace {

/// Ten jobs in a row move the correction most of its way; at a hundred jobs a
/// second that is a tenth of a second.
constexpr double Weight = 0.1;
/// One job says no more than this factor.
constexpr double MaxLogError = 1.5;
/// Added to both sides: waits of some milliseconds say nothing.
constexpr Duration NoiseFloor = std::chrono::milliseconds(20);
/// After this time without a job half of the correction has faded.
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
