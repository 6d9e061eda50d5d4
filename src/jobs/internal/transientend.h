//===- transientend.h - How a transient job ended ---------------*- C++ -*-===//
//
// The answer of a scheduler to the requests that wait for a transient job.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H
#define GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H

#include "jobs/jobtypes.h"

namespace geraniumbay::jobs {

/// Reason of a failed job if one of its tasks crashes its workers.
constexpr const char *CrashReason = "a task of it crashes its workers";
/// Reason of a refused job if all its workers are in evacuated data centres.
constexpr const char *EvacuationReason = "its data centre is evacuated";
/// Retry interval if all data centres are evacuated: operators take minutes to
/// end an evacuation.
constexpr Duration RetryAfterEvacuation = std::chrono::seconds(5);

struct TransientEnd {
  /// Completed or Failed; or Cancelled if no task was started, or if the job is
  /// sent back from an evacuated data centre.
  JobState State = JobState::Cancelled;
  /// For a cancelled job: why, and when to retry.
  std::string Reason;
  Duration RetryAfter{0};
  /// For a cancelled job: its workers here are in evacuated data centres.
  bool Evacuated = false;
  /// Some of its tasks were started; all of them have ended.
  bool HasRun = false;
};

/// A refusal; the caller may retry after \p RetryAfter.
inline TransientEnd refusalOf(std::string Reason, Duration RetryAfter) {
  TransientEnd Result;
  Result.Reason = std::move(Reason);
  Result.RetryAfter = RetryAfter;
  return Result;
}

/// The end of a job that has run.
inline TransientEnd endedAs(JobState State, std::string Reason = "") {
  TransientEnd Result;
  Result.State = State;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H
