//===- forecastskill.h - Correction of wait forecasts -----------*- C++ -*-===//
//
// A forecast cannot foresee what is not known yet: workers just lost or turned
// slow, or tasks that must run again. The ratio of actual to forecast waits
// reveals such effects within a few jobs, whatever the cause, and is used to
// correct later forecasts.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_FORECASTSKILL_H
#define GERANIUMBAY_SCHEDULING_FORECASTSKILL_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// Forecast error of the jobs of one priority.
struct ForecastSkill {
  /// Decaying mean of ln(waited / forecast).
  double LogError = 0;
  Time LearnedAt{};
};

/// Updates the error with a job that waited for \p Waited, or was given up
/// after it.
void learnForecast(ForecastSkill &Skill, Duration Forecast, Duration Waited,
                   Time Now);

/// The corrected forecast, never shorter than \p Forecast: jobs that waited
/// less than predicted must not lead to overload.
Duration correctedForecast(const ForecastSkill &Skill, Duration Forecast,
                           Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_FORECASTSKILL_H
