//===- forecast.h - When a job's tasks will start ---------------*- C++ -*-===//
//
// Simulates the pool from the running and the waiting tasks: each task that
// ends frees its slot for the next one that waits. Resource sizes are ignored:
// a slot is whatever one task takes, and a full pool has as many slots as
// running tasks.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_FORECAST_H
#define GERANIUMBAY_SCHEDULING_FORECAST_H

#include "framework/clock/iclock.h"

#include <optional>
#include <vector>

namespace geraniumbay::scheduling {

/// State of the pool when the job arrives.
struct PoolOutlook {
  /// Free slots for tasks of the size of the job's.
  std::size_t Free = 0;
  /// The remaining run time of each running task. Slots that are not expected
  /// to become free are left out.
  std::vector<Duration> BusyFor;
  /// Run times of the tasks queued ahead of the job's, in order.
  std::vector<Duration> Ahead;
  /// Share of the pool, from 0 to 1, taken by future arrivals of more urgent
  /// work.
  double UrgentShare = 0;
};

/// The tasks of the job that are ready to start.
struct JobOutlook {
  std::size_t Tasks = 1;
  /// Expected run time of each.
  Duration Run{0};
};

/// Time until the last of the job's tasks starts; empty if it cannot be
/// predicted: no task runs and none can start, or more urgent work takes the
/// whole pool.
std::optional<Duration> waitForLastStart(const PoolOutlook &Pool,
                                         const JobOutlook &Job);

/// Expected remaining run time of a task that has run for \p Age of the
/// expected \p Expected. A task that overruns is expected to go on for a fixed
/// part of \p Expected.
Duration remainingRunTime(Duration Expected, Duration Age);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_FORECAST_H
