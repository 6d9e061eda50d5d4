//===- admission.h - Which jobs are taken -----------------------*- C++ -*-===//
//
// A queue that takes everything serves nobody when more comes in than the pool
// can do: each job waits until its answer is of no use, and those behind it
// wait for that. So a job is taken only if the forecast has it end in time;
// others are refused when they come, which takes their callers a round trip,
// and are told when the backlog will have gone.
//
// A job that can only be late, as after its scheduler was lost, is served where
// the pool keeps up with what comes in, behind what can be in time.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ADMISSION_H
#define GERANIUMBAY_SCHEDULING_ADMISSION_H

#include "scheduling/usefulness.h"

#include <optional>

namespace geraniumbay::scheduling {

enum class Verdict {
  InTime,  ///< Served in its turn.
  Late,    ///< Served after those of its priority that can be in time.
  Refused, ///< Its answer would be of no use, or keep others from being of any.
};

/// Stable name of \p What for logs.
const char *verdictName(Verdict Result);

/// What becomes of a job.
struct Admission {
  Verdict Result = Verdict::InTime;
  /// Of one that is refused: when it is worth coming back.
  Duration RetryAfter{0};
};

/// How long until the last of a job's tasks starts; nothing if that is not in
/// sight.
struct WaitForecast {
  /// In its turn.
  std::optional<Duration> InTurn;
  /// If all that comes in of its own priority goes before it.
  std::optional<Duration> AsLate;
};

/// Decides on a job whose longest chain of tasks runs for \p Chain. \p Spread,
/// a number of the job, keeps callers that are refused together from coming
/// back together.
Admission admit(const AnswerDeadlines &Deadlines, Duration Chain,
                const WaitForecast &Forecast, std::size_t Spread, Time Now);

/// When a caller that is told now that the backlog takes \p Wait to drain comes
/// back best; \p Spread as above.
Duration retryAfter(Duration Wait, std::size_t Spread);

/// Whether a job that starts now can still end in time.
bool canMeetSoftDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now);
/// Whether a job that starts now can still end while its answer is of use.
bool canMeetHardDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ADMISSION_H
