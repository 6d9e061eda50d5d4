//===- transientend.h - How a transient job ended ---------------*- C++ -*-===//
//
// What a scheduler tells those who wait for a job that is not stored.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H
#define GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H

#include "jobs/jobtypes.h"

namespace geraniumbay::jobs {

/// Why a job ends as failed whose task crashes its workers.
constexpr const char *CrashReason = "a task of it crashes its workers";
/// Why a job is refused whose workers are all in such data centres.
constexpr const char *EvacuationReason = "its data centre is evacuated";
/// When it is worth coming back where all are: operators take minutes.
constexpr Duration RetryAfterEvacuation = std::chrono::seconds(5);

struct TransientEnd {
  /// Completed or Failed; or Cancelled if no task of it was started, or if it
  /// leaves an evacuated data centre.
  JobState State = JobState::Cancelled;
  /// Of a cancelled one: why, and when it is worth coming back.
  std::string Reason;
  Duration RetryAfter{0};
  /// Of a cancelled one: the workers here are in an evacuated data centre.
  bool Evacuated = false;
  /// Tasks of it were started. All of them have ended.
  bool HasRun = false;
};

/// A refusal: the job is to come back after \p RetryAfter.
inline TransientEnd refusalOf(std::string Reason, Duration RetryAfter) {
  TransientEnd Result;
  Result.Reason = std::move(Reason);
  Result.RetryAfter = RetryAfter;
  return Result;
}

/// An end of a job that has run.
inline TransientEnd endedAs(JobState State, std::string Reason = "") {
  TransientEnd Result;
  Result.State = State;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_TRANSIENTEND_H
