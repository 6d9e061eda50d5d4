//===- ijobgateway.h - Asking the leader about jobs -------------*- C++ -*-===//
//
// How an entry hands callers' requests to the control VM that leads, wherever
// it is.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_IJOBGATEWAY_H
#define GERANIUMBAY_JOBS_IJOBGATEWAY_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "jobs/jobtypes.h"

#include <functional>

namespace geraniumbay::jobs {

/// What became of a request.
enum class JobOutcome {
  Accepted,  ///< The job is stored durably, now or earlier.
  Known,     ///< The job's state or the queue's count is in the answer.
  Cancelled, ///< The job is cancelled durably, or had ended.
  NoQueue,   ///< No queue has this place.
  NoJob,     ///< The leader is sure that there is no such job.
  Invalid,   ///< The request makes no sense; Reason says why.
  NotTaken,  ///< It certainly had no effect. Come back after RetryAfter.
  Unknown,   ///< It may have had an effect; sending it again is harmless.
};

/// Stable name of \p Outcome for logs.
const char *outcomeName(JobOutcome Outcome);

struct JobAnswer {
  JobOutcome Outcome = JobOutcome::Unknown;
  JobState State = JobState::Active;
  /// Of an active job: a task has been started.
  bool Begun = false;
  /// Jobs of a queue that wait for their first start.
  std::uint64_t Pending = 0;
  Duration RetryAfter{0};
  std::string Reason;
  /// Of one that was not taken by a pool's owner, for the entry that asked: the
  /// pool's data centre is evacuated; and tasks of the job have run there,
  /// which have all ended.
  bool Evacuated = false;
  bool HasRun = false;
};

/// An answer that says no more than what came of the request, and why.
inline JobAnswer outcome(JobOutcome What, std::string Reason = "") {
  JobAnswer Result;
  Result.Outcome = What;
  Result.Reason = std::move(Reason);
  return Result;
}

/// Where a request goes and how long its caller waits.
struct JobRequest {
  std::string Host;
  std::string Path;
  Duration Timeout{0};
};

class IJobGateway {
public:
  using Callback = std::function<void(const JobAnswer &)>;

  virtual ~IJobGateway() = default;

  /// Returns a function that gives the request up: its caller has gone. A
  /// transient job that nobody waits for is stopped.
  virtual std::function<void()> submit(const JobRequest &Request,
                                       const JobSpec &Spec, Callback Done) = 0;
  /// The state of the job at the request's path.
  virtual void state(const JobRequest &Request, Callback Done) = 0;
  virtual void cancel(const JobRequest &Request, Callback Done) = 0;
  /// How many jobs wait in the queue at the request's path.
  virtual void pending(const JobRequest &Request, Callback Done) = 0;
  /// Whether this entry can serve.
  virtual bool ready() const = 0;
  /// Takes control VMs from changed settings beside those that are known.
  virtual void addControlVms(const std::vector<Endpoint> &Found) = 0;
  /// The entry is about to stop: others take over what it decides. It goes on
  /// to serve its callers.
  virtual void prepareStop() = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IJOBGATEWAY_H
