//===- names.cpp - Names of job states and outcomes -----------------------===//
//
// Log consumers rely on these names; they must not change.
//
//===----------------------------------------------------------------------===//

#include "jobs/ijobgateway.h"

namespace geraniumbay::jobs {

const char *jobStateName(JobState State) {
  switch (State) {
  case JobState::Active:
    return "active";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

const char *outcomeName(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Accepted:
    return "accepted";
  case JobOutcome::Known:
    return "known";
  case JobOutcome::Cancelled:
    return "cancelled";
  case JobOutcome::NoQueue:
    return "no_queue";
  case JobOutcome::NoJob:
    return "no_job";
  case JobOutcome::Invalid:
    return "invalid";
  case JobOutcome::NotTaken:
    return "not_taken";
  case JobOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace geraniumbay::jobs
