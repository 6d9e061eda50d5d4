//===- entryask.h - A caller's job on its way through an entry --*- C++ -*-===//
//
// The state of one transient job between its caller and the owner of the pool.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H
#define GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H

#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobmessages.h"

namespace geraniumbay::jobs {

/// A process that has stood still for so long may hold requests whose callers
/// have come back elsewhere, which they do after 1.3 s; by then they must have
/// been started or given up. Busy processes are late by less.
constexpr Duration LongPause = std::chrono::milliseconds(500);

/// How long a job may look for an owner: the time in which one is replaced.
/// After it the caller is told to come back instead.
constexpr Duration SearchTime = MaxStartDelay;
/// What the caller is told to wait then.
constexpr Duration RetryAfterNoOwner = std::chrono::seconds(1);

/// The answer to a job that no owner has had.
inline JobAnswer notTaken(std::string Reason) {
  JobAnswer Result = outcome(JobOutcome::NotTaken, std::move(Reason));
  Result.RetryAfter = RetryAfterNoOwner;
  return Result;
}

struct EntryJobs::Ask {
  Job Wanted;
  Callback Done;
  /// Names this request at the owner.
  WaiterId Own;
  Time Since;
  /// The caller waits until then.
  Time GiveUp;
  /// Without an owner the job is given up then.
  Time SearchUntil;
  /// The pool it goes to. It stays there once an owner may have taken it: only
  /// the pool's next owner finds what of it runs.
  PoolName Pool;
  Time PoolChosen;
  /// The job's registrar has named the pool above, which has the job, and how
  /// often one has.
  bool Registered = false;
  std::size_t Redirections = 0;
  /// Pools whose owners have refused it.
  std::set<PoolName> RefusedBy;
  /// How many of them had no room in time.
  std::size_t Refusals = 0;
  /// The last refusal; it stands where no other pool is known.
  JobAnswer Refusal;
  /// Counts the sendings; the answers to earlier ones are late.
  std::uint64_t Attempt = 0;
  /// Where it was sent last; unset while it waits for an owner.
  std::optional<OwnerClaim> SentTo;
  /// An owner may have started tasks of it.
  bool MaybeTaken = false;
  /// Which one, last.
  Endpoint TakenBy;
  /// Tasks of it have run in a data centre that is evacuated, and have ended.
  bool HasRun = false;
};

/// A job that an entry, this one or another, has brought to a pool of this one,
/// and that waits for its registrar.
struct EntryJobs::Incoming {
  Job Wanted;
  /// As of its coming.
  TransientRequest How;
  Time Since;
  /// The pool that it was brought to, and the token under which this entry
  /// owns that.
  PoolName Pool;
  FencingToken Token;
  /// Empty where there is one pool, whose owner asks nobody.
  PoolName Home;
  /// Counts the jobs that were brought to this entry.
  std::uint64_t Number = 0;
  /// The registrar that its entry knows; used for homes in other data centres.
  std::optional<Endpoint> Registrar;
  /// The last question to the registrar; 0 if there was none.
  std::uint64_t Question = 0;
  /// Told how it ended. Refused: it was certainly not taken.
  Scheduler::EndCallback Ended;
  /// Told the pool that has the job.
  std::function<void(const PoolName &)> Elsewhere;
};

inline bool EntryJobs::ByArrival::operator()(const IncomingPtr &One,
                                             const IncomingPtr &Other) const {
  return One->Number < Other->Number;
}

/// Whether a job was refused or given up by the pool's owner.
inline bool wasRefused(const Outcome<TransientEnd> &Ended) {
  return Ended && Ended->State == JobState::Cancelled;
}

/// Reads who waits for a job at the entry \p Origin.
WaiterId waiterOf(const Json::Value &From, const Endpoint &Origin);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H
