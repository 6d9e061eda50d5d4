//===- runtimes.h - Learned run times ---------------------------*- C++ -*-===//
//
// Predicts the run time of a task. Declared run times are often far off, so
// three predictors compete for each kind of task: the declared time, the
// declared time times a learned factor, and the learned mean. The one with the
// smallest recent error is used.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_RUNTIMES_H
#define GERANIUMBAY_SCHEDULING_RUNTIMES_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// Statistics of the tasks of one kind, such as those of one queue or of one
/// caller at one service.
struct RunTimeModel {
  /// Number of samples, up to a bound.
  std::uint32_t Samples = 0;
  Time LearnedAt{};
  /// Mean run time in seconds.
  double Mean = 0;
  /// Mean of ln(actual / declared) over the tasks with a declared time.
  double LogFactor = 0;
  /// Mean |ln(predicted / actual)| of the three predictors. Invariant: above or
  /// equal to 0, and meaningful only when Samples is above 0.
  double DeclaredError = 0;
  double ScaledError = 0;
  double MeanError = 0;
};

/// Expected run time of a task. \p Declared is zero if it was not declared; \p
/// Unknown is returned if nothing is known. A model without new samples for a
/// minute is ignored, so that a caller that was refused for its run time gets
/// another chance.
Duration expectedRun(const RunTimeModel &Model, Duration Declared,
                     Duration Unknown, Time Now);

/// Updates the model with the run time \p RunTime of a task that succeeded.
void learnRun(RunTimeModel &Model, Duration Declared, Duration RunTime,
              Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_RUNTIMES_H
