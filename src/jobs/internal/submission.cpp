//===- submission.cpp - Conversion of submissions and answers -------------===//
//
// Creates a job from its queue, and an answer from the job's end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

Job newJob(const QueueMatch &Match, JobSpec Spec) {
  const Queue &Source = *Match.Found;
  Job Result;
  Result.Id = JobId(Match.Rest);
  Result.Place = Source.Place;
  Result.Queue = Source.Name;
  Result.Service = Source.Service;
  Result.Priority = Source.Priority;
  Result.MaxFailures = Source.MaxFailures;
  if (Spec.Transient)
    Result.Promised = Source.Promised;
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
