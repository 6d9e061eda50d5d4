//===- taskqueue.h - Tasks that wait for a worker ---------------*- C++ -*-===//
//
// The order in which waiting tasks are served: by priority, then by the order
// in which their jobs were accepted.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H
#define GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H

#include "jobs/jobtypes.h"

#include <map>

namespace geraniumbay::jobs {

/// The place of a task in the order.
struct TaskRank {
  std::uint32_t Priority = 0;
  /// Counts the jobs in the order in which this leader took them.
  std::uint64_t JobOrder = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  auto operator<=>(const TaskRank &) const = default; // NOLINT
  bool operator==(const TaskRank &) const = default;
};

/// A task that waits.
struct WaitingTask {
  TaskId Id;
  Resources Needs;
  ServiceId Service;
  /// What it is expected to take; zero if unknown.
  Duration Estimate{0};
};

using TaskQueue = std::map<TaskRank, WaitingTask>;

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H
