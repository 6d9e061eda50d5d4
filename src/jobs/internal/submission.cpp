//===- submission.cpp - From a request to a job and back ------------------===//
//
// Building a job from its queue, and an answer from its end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

namespace {

/// What callers wait before they come back when no worker was free in time.
constexpr Duration RetryAfterOverload = std::chrono::milliseconds(500);

} // namespace

Job newJob(const QueueMatch &Where, JobSpec Spec) {
  const Queue &In = *Where.Found;
  Job Result;
  Result.Id = JobId(Where.Rest);
  Result.Place = In.Place;
  Result.Queue = In.Name;
  Result.Service = In.Service;
  Result.Priority = In.Priority;
  Result.MaxFailures = In.MaxFailures;
  Result.Spec = std::move(Spec);
  return Result;
}

JobAnswer answerOfEnd(JobState Ended) {
  JobAnswer Result;
  if (Ended == JobState::Cancelled) {
    Result.Outcome = JobOutcome::NotTaken;
    Result.Reason = "no worker was free in time";
    Result.RetryAfter = RetryAfterOverload;
    return Result;
  }
  Result.Outcome = JobOutcome::Known;
  Result.State = Ended;
  return Result;
}

} // namespace geraniumbay::jobs
