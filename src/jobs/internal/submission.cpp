//===- submission.cpp - From a request to a job and back ------------------===//
//
// Building a job from its queue, and an answer from its end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

Job newJob(const QueueMatch &Where, JobSpec Spec) {
  const Queue &In = *Where.Found;
  Job Result;
  Result.Id = JobId(Where.Rest);
  Result.Place = In.Place;
  Result.Queue = In.Name;
  Result.Service = In.Service;
  Result.Priority = In.Priority;
  Result.MaxFailures = In.MaxFailures;
  if (Spec.Transient)
    Result.Promised = In.Promised;
  Result.Spec = std::move(Spec);
  return Result;
}

JobAnswer answerOfEnd(const TransientEnd &Ended) {
  if (Ended.State == JobState::Cancelled) {
    JobAnswer Refusal = outcome(JobOutcome::NotTaken, Ended.Reason);
    Refusal.RetryAfter = Ended.RetryAfter;
    Refusal.Evacuated = Ended.Evacuated;
    Refusal.HasRun = Ended.HasRun;
    return Refusal;
  }
  JobAnswer Result = outcome(JobOutcome::Known);
  Result.State = Ended.State;
  return Result;
}

} // namespace geraniumbay::jobs
