//===- jobwire.h - JSON forms of jobs ---------------------------*- C++ -*-===//
//
// Serializes jobs, for the log and for messages between processes. Reading
// fails with InvalidArgument.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBWIRE_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBWIRE_H

#include "framework/json/json.h"
#include "jobs/jobstore.h"

namespace geraniumbay::jobs::wire {

Json::Value write(const JobSpec &Value);
RetVal<JobSpec> readSpec(const Json::Value &From);

Json::Value write(const std::vector<SuspectTask> &Value);
RetVal<std::vector<SuspectTask>> readSuspects(const Json::Value &From);
Json::Value write(const Job &Value);
RetVal<Job> readJob(const Json::Value &From);

Json::Value write(const RackGroups &Value);
RetVal<RackGroups> readGroups(const Json::Value &From);

std::string writeChanges(const JobChanges &Value);
RetVal<JobChanges> readChanges(const std::string &Text);

std::string writeStore(const JobStore &Value);
RetVal<JobStore> readStore(const std::string &Text);

} // namespace geraniumbay::jobs::wire

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBWIRE_H
