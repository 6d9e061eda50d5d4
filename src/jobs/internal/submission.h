//===- submission.h - Conversion of submissions and answers -----*- C++ -*-===//
//
// The conversions that entries and control VMs share.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_SUBMISSION_H
#define GERANIUMBAY_JOBS_INTERNAL_SUBMISSION_H

#include "jobs/ijobgateway.h"
#include "jobs/internal/transientend.h"
#include "jobs/routing.h"

namespace geraniumbay::jobs {

/// Creates the job for a submission to the queue of \p Match.
Job newJob(const QueueMatch &Match, JobSpec Spec);

/// The answer to callers that waited for a transient job. A cancelled job had
/// not been started, so it is answered as not taken.
JobAnswer answerOfEnd(const TransientEnd &Ended);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_SUBMISSION_H
