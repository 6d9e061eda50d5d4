//===- forecastskill.h - How far forecasts were off -------------*- C++ -*-===//
//
// A forecast plays what is known forward: it does not know of workers that have
// just been lost, or turned slow, nor of tasks that will have to run again. How
// long jobs did wait against what was forecast shows all of that within some
// jobs, whatever the cause, and later forecasts are corrected by it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_FORECASTSKILL_H
#define GERANIUMBAY_SCHEDULING_FORECASTSKILL_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// Of jobs of one priority.
struct ForecastSkill {
  /// Decaying mean of ln(waited / forecast).
  double LogError = 0;
  Time LearnedAt{};
};

/// Takes a job that had to wait for \p Waited, or that was given up after it.
void learnForecast(ForecastSkill &Skill, Duration Forecast, Duration Waited,
                   Time Now);

/// The forecast as it should have been. Never shorter: that jobs waited less is
/// no reason to take more of them than fit.
Duration correctedForecast(const ForecastSkill &Skill, Duration Forecast,
                           Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_FORECASTSKILL_H
