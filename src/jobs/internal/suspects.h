//===- suspects.h - Findings about crashing tasks ---------------*- C++ -*-===//
//
// Tasks that may crash their workers, by job. Schedulers remember them and
// entries exchange them, so that the findings outlive the owner that made them:
// when a job is sent again, the count of its crashes continues.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H
#define GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H

#include "framework/json/json.h"
#include "jobs/jobtypes.h"

namespace geraniumbay::jobs {

/// Returns the row of one task; adds it if it is missing.
SuspectTask &findOrAddRow(std::vector<SuspectTask> &Tasks, std::uint32_t Step,
                          std::uint32_t Index);

/// Merges findings about the tasks of one job.
void merge(std::vector<SuspectTask> &Into,
           const std::vector<SuspectTask> &Other);
/// Merges findings about many jobs; each keeps the time of its latest finding.
void merge(SuspectsByJob &Into, const SuspectsByJob &Other);

/// Removes findings older than SuspectRetention.
void forgetOld(SuspectsByJob &Suspects, Time Now);

namespace wire {

/// The latest findings, with their ages; null if there are none.
Json::Value write(const SuspectsByJob &Suspects, Time Now);
/// Skips malformed rows.
SuspectsByJob readSuspectsByJob(const Json::Value &From, Time Now);

} // namespace wire
} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H
