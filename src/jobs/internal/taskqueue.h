//===- taskqueue.h - Tasks that wait for a worker ---------------*- C++ -*-===//
//
// The order in which waiting tasks are served: by priority, then tasks of jobs
// that can end in time, then by the order in which their jobs were accepted.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H
#define GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H

#include "control/ireplicatedlog.h"
#include "jobs/jobtypes.h"

#include <map>

namespace geraniumbay::jobs {

/// Added to the term of a control leader to form its token, so that it is above
/// all tokens of entries: once there are durable jobs, the leader of the log
/// owns the workers.
constexpr std::uint64_t ControlTokenBase = std::uint64_t{1} << 50U;

inline FencingToken tokenOf(control::LeaderTerm Term) {
  return FencingToken(ControlTokenBase + Term.value());
}
/// The term of a token of a control leader.
inline control::LeaderTerm termOf(FencingToken Token) {
  return control::LeaderTerm(Token.value() - ControlTokenBase);
}

/// The place of a task in the order.
struct TaskRank {
  std::uint32_t Priority = 0;
  /// The job cannot end in time any more, but its result is still useful.
  bool Late = false;
  /// Sequence number of the job, in the order of acceptance by this leader.
  std::uint64_t JobOrder = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  auto operator<=>(const TaskRank &) const = default; // NOLINT
  bool operator==(const TaskRank &) const = default;
};

/// A task that waits for a worker.
struct WaitingTask {
  TaskId Id;
  Resources Needs;
  ServiceId Service;
  /// Expected run time; zero if unknown.
  Duration Estimate{0};
};

using TaskQueue = std::map<TaskRank, WaitingTask>;

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_TASKQUEUE_H
