//===- suspects.h - What was seen of crashing tasks -------------*- C++ -*-===//
//
// Tasks that may crash their workers, by job, as schedulers remember them and
// entries tell each other. It outlives the owner that has seen it: a job that
// is sent again is not counted anew.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H
#define GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H

#include "framework/json/json.h"
#include "jobs/jobtypes.h"

namespace geraniumbay::jobs {

/// The row of one task, which is added if it is missing.
SuspectTask &findOrAddRow(std::vector<SuspectTask> &Tasks, std::uint32_t Step,
                          std::uint32_t Index);

/// Joins what was seen of one job's tasks.
void merge(std::vector<SuspectTask> &Into,
           const std::vector<SuspectTask> &Other);
/// The same for many jobs; each is kept as long as its latest finding.
void merge(SuspectsByJob &Into, const SuspectsByJob &Other);

/// Forgets what is older than KeepSuspects.
void forgetOld(SuspectsByJob &Suspects, Time Now);

namespace wire {

/// The latest findings, with their ages; null if there are none.
Json::Value write(const SuspectsByJob &Suspects, Time Now);
/// Leaves out what is malformed.
SuspectsByJob readSuspectsByJob(const Json::Value &From, Time Now);

} // namespace wire
} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_SUSPECTS_H
