//===- forecast.h - When a job's tasks will start ---------------*- C++ -*-===//
//
// Plays the pool forward from what runs and what waits: each task that ends
// gives its place to the next one that waits. Sizes of tasks are left out, so a
// place is whatever one task takes; a full pool has as many as it runs tasks.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_FORECAST_H
#define GERANIUMBAY_SCHEDULING_FORECAST_H

#include "framework/clock/iclock.h"

#include <optional>
#include <vector>

namespace geraniumbay::scheduling {

/// The pool as a job finds it.
struct PoolOutlook {
  /// Places that are free for tasks of the job's size.
  std::size_t Free = 0;
  /// For each task that runs, how long it still takes. A place that is not
  /// expected to become free is left out.
  std::vector<Duration> BusyFor;
  /// How long the tasks that go before the job's will run, in their order.
  std::vector<Duration> Ahead;
  /// Share of the pool, of 1, that more urgent work keeps coming in for.
  double UrgentShare = 0;
};

/// The job's tasks that may start at once when there is room.
struct JobOutlook {
  std::size_t Tasks = 1;
  /// How long each runs.
  Duration Run{0};
};

/// How long until the last of the job's tasks starts; nothing if that cannot be
/// told, as where no task runs and none can start, or where more urgent work
/// takes the whole pool.
std::optional<Duration> waitForLastStart(const PoolOutlook &Pool,
                                         const JobOutlook &Job);

/// How long a task that has run for \p Age, and was expected to take
/// \p Expected, still takes. One that is over its time is expected to go on for
/// a part of it.
Duration remainingRunTime(Duration Expected, Duration Age);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_FORECAST_H
