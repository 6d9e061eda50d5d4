//===- entryask.h - Pending requests of an entry ----------------*- C++ -*-===//
//
// The state of a transient job between its caller and the owner of the pool.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H
#define GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H

#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobmessages.h"

namespace geraniumbay::jobs {

/// After a pause of this length, a process may hold requests whose callers have
/// already retried elsewhere. They retry after 1.3 s; by then a request must
/// have been started or given up. Load alone delays a process by less.
constexpr Duration LongPause = std::chrono::milliseconds(500);

/// How long a job waits for its pool to have an owner: the time in which a lost
/// owner is replaced. After that the caller is told to retry.
constexpr Duration SearchTime = MaxStartDelay;
/// The retry delay that the caller is then given.
constexpr Duration RetryAfterNoOwner = std::chrono::seconds(1);

/// The answer to a job that was not sent to any owner.
inline JobAnswer notTaken(std::string Reason) {
  JobAnswer Result = outcome(JobOutcome::NotTaken, std::move(Reason));
  Result.RetryAfter = RetryAfterNoOwner;
  return Result;
}

struct EntryJobs::PendingRequest {
  Job Wanted;
  Callback Done;
  /// Identifies this request at the owner.
  WaiterId Waiter;
  Time ReceivedAt;
  /// The caller stops waiting then.
  Time Deadline;
  /// If its pool has no owner by then, the job is given up.
  Time SearchUntil;
  /// The chosen pool. It is fixed once an owner may have accepted the job,
  /// since only the pool's next owner finds the job's running tasks.
  PoolName Pool;
  Time PoolChosen;
  /// The job's registrar has named Pool as the holder of the job; and how often
  /// a registrar has redirected the job.
  bool Registered = false;
  std::size_t Redirections = 0;
  /// Pools whose owners have refused it.
  std::set<PoolName> RefusedBy;
  /// How many of them refused it for lack of free capacity.
  std::size_t Refusals = 0;
  /// The last refusal; it becomes the answer if no other pool is left.
  JobAnswer Refusal;
  /// The number of the latest attempt to send the job; replies to earlier
  /// attempts are outdated.
  std::uint64_t Attempt = 0;
  /// The owner with the latest attempt; unset while the job is parked.
  std::optional<OwnerClaim> SentTo;
  /// An owner may have started tasks of it.
  bool MaybeTaken = false;
  /// The owner that the job was last sent to.
  Endpoint LastOwner;
  /// When it was last sent to each owner.
  std::map<Endpoint, Time> SentAt;
  /// Tasks of it were started in an evacuated data centre, and have ended.
  bool HasRun = false;
};

/// A job that an entry (possibly this one) has sent to a pool owned by this
/// entry, and that waits for its registrar.
struct EntryJobs::Incoming {
  Job Wanted;
  /// As of the job's arrival.
  TransientRequest ArrivalInfo;
  Time Since;
  /// The pool that it was sent to, and the token under which this entry owns
  /// that pool.
  PoolName Pool;
  FencingToken Token;
  /// Empty if there is a single pool, whose owner needs no registrar.
  PoolName Home;
  /// A running number, in the order of arrival at this entry.
  std::uint64_t Number = 0;
  /// The registrar known to the sending entry; used for homes in other data
  /// centres.
  std::optional<Endpoint> Registrar;
  /// The number of the last claim sent to the registrar; 0 if there was none.
  std::uint64_t Question = 0;
  /// Called with the job's end. The error Refused means that it was certainly
  /// not accepted.
  Scheduler::EndCallback OnEnded;
  /// Called with the pool that holds the job instead of this one.
  std::function<void(const PoolName &)> OnRedirected;
};

inline bool EntryJobs::ByArrival::operator()(const IncomingPtr &One,
                                             const IncomingPtr &Other) const {
  return One->Number < Other->Number;
}

/// Whether the pool's owner refused the job or gave it up.
inline bool wasRefused(const Outcome<TransientEnd> &Ended) {
  return Ended && Ended->State == JobState::Cancelled;
}

/// Reads the identity of the request waiting at the entry \p Origin.
WaiterId waiterOf(const Json::Value &From, const Endpoint &Origin);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYASK_H
