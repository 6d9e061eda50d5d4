//===- jobstore.h - The replicated record of jobs ---------------*- C++ -*-===//
//
// The state machine that every control VM runs over the committed batches of
// changes, and questions about it. No clock, no sockets.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_JOBSTORE_H
#define GERANIUMBAY_JOBS_JOBSTORE_H

#include "control/ireplicatedstate.h"
#include "jobs/jobtypes.h"

#include <unordered_map>

namespace geraniumbay::jobs {

/// All jobs that are remembered, and what operators have ordered.
struct JobStore {
  std::unordered_map<JobId, Job> Jobs;
  Evacuations Evacuated;
  PoolPlan Plan = PoolPlan::One;
  RackGroups Groups;
};

/// Applies committed changes. A change that comes again, or comes for a job
/// that is not active, changes nothing.
void apply(JobStore &Store, const JobChanges &Changes);

/// Returns the job, or null.
const Job *findJob(const JobStore &Store, const JobId &Id);

/// Returns the record of a task of an active job, or null.
const TaskRecord *findTask(const JobStore &Store, const TaskId &Id);

/// How many tasks may start at once.
std::size_t firstTasks(const JobSpec &Spec);

/// Whether all tasks of the steps that \p Step depends on have ended well.
bool dependenciesDone(const Job &Of, std::uint32_t Step);

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
