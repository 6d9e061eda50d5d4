//===- jobregister.h - Which pool a job goes to -----------------*- C++ -*-===//
//
// Where the workers are divided into pools, a job that reaches two entries at
// the same time could go to two pools, which do not know of each other's runs.
// That happens when a caller's connection is reset: it sends its job again at
// once, while the first sending still arrives. So each job has a home: a pool
// of the entry's data centre that follows from the job's id. The owner of the
// home is the job's registrar. A job that goes to its home needs no question;
// before it goes to another pool, the registrar is asked. The first claim
// decides; whoever comes later is told the same pool, whose owner knows the job
// by its id.
//
// A question costs 6 ms of a job's way in the median and 9 to 23 ms at the 95th
// percentile (350 workers, entries with an eighth of a core).
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H

#include "framework/clock/iclock.h"
#include "jobs/internal/pools.h"
#include "jobs/internal/scheduler.h"

#include <deque>
#include <unordered_map>

namespace geraniumbay::jobs {

/// The pool of \p Pools that is the home of \p Id; nothing if there are none.
/// All entries that know the same pools agree, and a pool that comes or goes
/// changes it for its share of the jobs only (rendezvous hashing).
std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools);

/// What one registrar knows.
class JobRegister {
public:
  /// Returns the pool that \p Id goes to: \p Wanted, if nobody has claimed it
  /// yet, if only \p By has and wants another pool now, or if the pool that was
  /// claimed has refused it (\p RefusedBy).
  PoolName claim(const JobId &Id, const WaiterId &By, const PoolName &Wanted,
                 const std::set<PoolName> &RefusedBy, Time Now);
  /// \p By has refused the job to its caller: it may go anywhere when it comes
  /// again, if nobody else has claimed it.
  void release(const JobId &Id, const WaiterId &By);

  std::size_t size() const { return Claims_.size(); }

private:
  struct Claim {
    PoolName Pool;
    WaiterId By;
    /// Others were told of it, so that it must stay.
    bool Shared = false;
    Time Since;
  };

  void forgetOld(Time Now);

  std::unordered_map<JobId, Claim> Claims_;
  /// In the order of their times; released ones may still be in it.
  std::deque<std::pair<Time, JobId>> Ages_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H
