//===- jobregister.h - Which pool runs a job --------------------*- C++ -*-===//
//
// Where the workers are divided into pools, the owners of two pools do not know
// of each other's runs, and a job can reach both: when a connection is reset
// its caller sends it again while the first submission still arrives. So each
// job has a home, a pool of its entry's data centre that depends only on the
// job's id and the recorded division. The owner of the home is the job's
// registrar. The owner of any other pool starts no task of a job before its
// registrar has agreed. The first claim decides, and it is valid until that
// owner releases it.
//
// The register is in the registrar's memory. The next registrar agrees to
// nothing before the owner of each pool has reported which jobs it has. By its
// report an owner also promises to accept no registrar with a lower token, so
// that two registrars of one home cannot both agree.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H

#include "framework/clock/iclock.h"
#include "jobs/internal/pools.h"
#include "jobs/jobtypes.h"

#include <deque>
#include <unordered_map>

namespace geraniumbay::jobs {

/// The pool of \p Pools that is the home of \p Id; nothing if there are none.
/// All entries that know the same pools agree, and adding or removing a pool
/// changes the home for its share of the jobs only (rendezvous hashing).
std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools);

/// The owner of a pool that claims a job.
struct Claimant {
  PoolName Pool;
  /// The token with which it owns the pool.
  FencingToken Token;
  /// Numbers the claims and releases of an owner.
  std::uint64_t Question = 0;
};

/// The registrar's answer to a claim.
struct ClaimAnswer {
  /// The pool that runs the job.
  PoolName Pool;
  /// An earlier owner of that pool had the job, so tasks of it may run there.
  bool HadOtherOwner = false;

  bool operator==(const ClaimAnswer &) const = default;
};

/// The answers to a request with several claims, in the order of the claims,
/// with the registrar's token.
struct RegistrarReply {
  FencingToken Token;
  std::vector<ClaimAnswer> Answers;
};

/// The register of one home, which its owner keeps while it holds one token.
class JobRegister {
public:
  JobRegister(FencingToken Token, Time Now);

  FencingToken token() const { return Token_; }
  Time since() const { return Since_; }

  /// Adds the jobs that \p Owner has. Its Question is the last one that it has
  /// used so far. From now on that owner accepts no registrar with a lower
  /// token.
  void applyReport(const Claimant &Owner, const std::vector<JobId> &Jobs,
                   Time Now);
  /// Notes that an owner does not yet know what runs in its pool, so that its
  /// report is still to come.
  void noteNotReady(Time Now);
  /// Notes the token of the present owner of \p Pool. The report of an earlier
  /// one does not count any more: the present one may have claimed jobs from
  /// another registrar, as it has not promised to accept none.
  void noteOwner(const PoolName &Pool, FencingToken Token);
  bool hasReported(const PoolName &Pool) const {
    return Reported_.count(Pool) != 0;
  }
  /// Whether all claims that earlier registrars agreed to are known.
  bool isComplete() const { return Complete_; }
  /// The register is complete once the owners of \p Near, the pools of this
  /// data centre, and of \p Far, the other pools, have reported, or the jobs
  /// that they had have ended. Returns whether it has just become complete.
  bool updateCompleteness(const std::vector<PoolName> &Near,
                          const std::vector<PoolName> &Far, Time Now);

  /// Notes that the earlier processes of all entries of this data centre had
  /// ended by \p At; the runs of their jobs end with the leases.
  void noteEntriesEnded(Time At);

  /// Returns which pool runs \p Id: that of \p Owner, unless another one has
  /// the job.
  ClaimAnswer claim(const JobId &Id, const Claimant &Owner, Time Now);
  /// Releases the claim of \p Owner, which has not run the job and will not:
  /// the job may go to any pool, unless that owner, or a later one of its pool,
  /// has claimed it again since.
  void release(const JobId &Id, const Claimant &Owner);

  std::size_t size() const { return Claims_.size(); }

private:
  struct Claim {
    Claimant Owner;
    Time Since;
    /// An earlier owner of the pool had the job.
    bool HadOtherOwner = false;
  };

  void store(const JobId &Id, const Claim &Agreed);
  void removeExpired(Time Now);
  bool haveReported(const std::vector<PoolName> &Pools) const;

  const FencingToken Token_;
  const Time Since_;
  /// When the jobs that owners of this data centre had have ended, reported or
  /// not; and the same for owners of other data centres.
  Time NearDeadline_;
  Time FarDeadline_;
  /// The same if all entries of this data centre have been restarted.
  std::optional<Time> NearEndedBy_;
  std::optional<Time> FarEndedBy_;
  /// The owners that have reported, by their tokens.
  std::map<PoolName, FencingToken> Reported_;
  bool Complete_ = false;
  std::unordered_map<JobId, Claim> Claims_;
  /// The claims in the order of their times, including those that were released
  /// or renewed since.
  std::deque<std::pair<Time, JobId>> ClaimsByAge_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H
