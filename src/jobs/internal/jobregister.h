//===- jobregister.h - Which pool a job goes to -----------------*- C++ -*-===//
//
// Where the workers are divided into pools, two owners of pools do not know of
// each other's runs, and a job can reach both: its caller sends it again when a
// connection is reset, while the first sending still arrives. So each job has a
// home, a pool of its entry's data centre that follows from the job's id and
// the recorded division alone. The owner of the home is the job's registrar.
// The owner of any other pool starts nothing of a job before its registrar has
// agreed; the first claim decides, and it stands until that owner gives it
// back.
//
// The register is in the registrar's memory. Its next owner agrees to nothing
// before the owner of each pool has told which jobs it has. By its answer such
// an owner also promises to heed no registrar of a lower token, so that two
// registrars of one home cannot both agree.
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
/// All entries that know the same pools agree, and a pool that comes or goes
/// changes it for its share of the jobs only (rendezvous hashing).
std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools);

/// A question of the owner of a pool: it wants to run a job.
struct Claimant {
  PoolName Pool;
  /// Under which it owns the pool.
  FencingToken Token;
  /// Counts the questions of an owner.
  std::uint64_t Question = 0;
};

/// What the registrar says to it.
struct ClaimAnswer {
  /// The pool that the job goes to.
  PoolName Pool;
  /// Another owner of that pool had the job: tasks of it may run there.
  bool HadOtherOwner = false;

  bool operator==(const ClaimAnswer &) const = default;
};

/// The answers to a question for some jobs, in their order, with the
/// registrar's token.
struct RegistrarReply {
  FencingToken Token;
  std::vector<ClaimAnswer> Answers;
};

/// The register of one home, as its owner keeps it under one token.
class JobRegister {
public:
  JobRegister(FencingToken Token, Time Now);

  FencingToken token() const { return Token_; }
  Time since() const { return Since_; }

  /// Takes the jobs that the owner \p By has, with its last question so far. It
  /// heeds no registrar with a lower token from now on.
  void applyReport(const Claimant &Owner, const std::vector<JobId> &Jobs,
                   Time Now);
  /// An owner does not know yet what runs in its pool, but it will.
  void noteNotReady(Time Now);
  bool hasReported(const PoolName &Pool) const {
    return Reported_.count(Pool) != 0;
  }
  /// Whether all that earlier registrars have agreed to is known.
  bool isComplete() const { return Complete_; }
  /// It is once the owners of \p Near, the pools of this data centre, and of
  /// \p Far, the others, have reported, or what they had is over. Returns
  /// whether it has just become so.
  bool updateCompleteness(const std::vector<PoolName> &Near,
                          const std::vector<PoolName> &Far, Time Now);

  /// Notes that what entries of this data centre had before it was lost at \p
  /// At the latest.
  void noteEntriesEnded(Time At);

  /// Says where \p Id goes: to the pool of \p By, unless another one has it.
  ClaimAnswer claim(const JobId &Id, const Claimant &Owner, Time Now);
  /// The owner that asked \p By has not run the job and will not: it may go to
  /// any pool, unless that owner, or a later one, has asked again since.
  void release(const JobId &Id, const Claimant &Owner);

  std::size_t size() const { return Claims_.size(); }

private:
  struct Claim {
    Claimant Owner;
    Time Since;
  };

  void store(const JobId &Id, const Claimant &Owner, Time Now);
  void removeExpired(Time Now);
  bool haveReported(const std::vector<PoolName> &Pools) const;

  const FencingToken Token_;
  const Time Since_;
  /// When what owners of this data centre had is over, reported or not, and
  /// what those of others had.
  Time NearDeadline_;
  Time FarDeadline_;
  /// The same where all entries of this data centre have started anew.
  std::optional<Time> NearEndedBy_;
  std::optional<Time> FarEndedBy_;
  std::set<PoolName> Reported_;
  bool Complete_ = false;
  std::unordered_map<JobId, Claim> Claims_;
  /// In the order of their times. Those that were released or renewed since are
  /// still in it.
  std::deque<std::pair<Time, JobId>> ClaimsByAge_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBREGISTER_H
