//===- jobstore.h - The replicated job store --------------------*- C++ -*-===//
//
// The state machine that every control VM runs over the committed batches of
// changes, and its queries. Uses neither clocks nor sockets.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_JOBSTORE_H
#define GERANIUMBAY_JOBS_JOBSTORE_H

#include "control/ireplicatedstate.h"
#include "jobs/jobtypes.h"

#include <unordered_map>

namespace geraniumbay::jobs {

/// All retained jobs, the operators' evacuation orders, and how workers are
/// divided into pools.
struct JobStore {
  std::unordered_map<JobId, Job> Jobs;
  Evacuations Evacuated;
  PoolPlan Plan = PoolPlan::One;
  RackGroups Groups;
};

/// Applies committed changes. A repeated change, or one for a job that is not
/// active, has no effect.
void apply(JobStore &Store, const JobChanges &Changes);

/// Returns null if there is no such job.
const Job *findJob(const JobStore &Store, const JobId &Id);

/// Returns null unless the task belongs to an active job.
const TaskRecord *findTask(const JobStore &Store, const TaskId &Id);

/// How many tasks can start immediately: those of steps without dependencies.
std::size_t initialTaskCount(const JobSpec &Spec);

/// Whether all tasks of the steps that \p Step depends on have succeeded.
bool dependenciesDone(const Job &Stored, std::uint32_t Step);

/// The job store as a module of the replicated log.
class ReplicatedJobs : public control::IReplicatedState {
public:
  void apply(const std::string &Batch) override;
  std::string snapshot() const override;
  Ret restore(const std::string &Snapshot) override;

  const JobStore &store() const { return Store_; }

private:
  JobStore Store_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_JOBSTORE_H
