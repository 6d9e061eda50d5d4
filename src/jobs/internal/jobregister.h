//===- jobregister.h - Which pool a job goes to -----------------*- C++ -*-===//
//
// Where the workers are divided into pools, a job that reaches two entries at
// the same time could go to two pools, which do not know of each other's runs.
// That happens when a caller's connection is reset: it sends its job again at
// once, while the first sending still arrives. So an entry asks one entry of
// its data centre, the job's registrar, before it hands a job to a pool. The
// registrar follows from the job's id. The first claim decides; whoever asks
// later is told the same pool, whose owner knows the job by its id.
//
// It costs a round trip inside the data centre, 1 to 3 ms of a job's way.
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

/// The entries that may be the registrar of \p Id, the first choice first: the
/// next ones are asked where those before are gone. All entries that know the
/// same others agree, and an entry that comes or goes changes it for its share
/// of the jobs only (rendezvous hashing).
std::vector<Endpoint> registrarsOf(const JobId &Id,
                                   std::vector<Endpoint> Entries);

/// What one entry has registered.
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
