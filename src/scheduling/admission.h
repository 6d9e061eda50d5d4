//===- admission.h - Admission control for jobs -----------------*- C++ -*-===//
//
// Under overload, a queue that admits every job lets each wait until its answer
// is useless. A job is therefore admitted only if the forecast says that it
// will end in time. Others are refused on arrival, at the cost of one round
// trip, and are told when the backlog should have drained.
//
// A job that can only be late, for example after its scheduler was lost, is
// served behind those that can be in time, provided that the pool keeps up with
// the arrivals.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ADMISSION_H
#define GERANIUMBAY_SCHEDULING_ADMISSION_H

#include "scheduling/usefulness.h"

#include <optional>

namespace geraniumbay::scheduling {

enum class Verdict {
  InTime,  ///< Served in order of priority.
  Late,    ///< Served after those of its priority that can be in time.
  Refused, ///< Would miss its hard deadline, or make other jobs miss theirs.
};

/// Stable name of \p Result for logs.
const char *verdictName(Verdict Result);

/// The admission decision for a job.
struct Admission {
  Verdict Result = Verdict::InTime;
  /// For a refused job: the time after which a retry makes sense.
  Duration RetryAfter{0};
};

/// Forecast time until the last of a job's tasks starts; empty if it cannot be
/// predicted.
struct WaitForecast {
  /// If served in order of its priority.
  std::optional<Duration> InTurn;
  /// If it is served behind all other work of its own priority, including
  /// future arrivals.
  std::optional<Duration> AsLate;
};

/// Decides on a job whose critical path takes \p Chain. \p Spread, a number
/// derived from the job, staggers the retries of callers that are refused
/// together.
Admission admit(const AnswerDeadlines &Deadlines, Duration Chain,
                const WaitForecast &Forecast, std::size_t Spread, Time Now);

/// The delay after which a caller should retry if the backlog takes \p Wait to
/// drain; \p Spread as above.
Duration retryAfter(Duration Wait, std::size_t Spread);

/// Whether a job that starts now can still end in time.
bool canMeetSoftDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now);
/// Whether a job that starts now can still end while its answer is useful.
bool canMeetHardDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ADMISSION_H
