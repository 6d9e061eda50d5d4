//===- ijobgateway.h - Interface for callers' job requests ------*- C++ -*-===//
//
// Forwards callers' requests to whichever process handles them: the owner of a
// pool, or the control VM that leads.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_IJOBGATEWAY_H
#define GERANIUMBAY_JOBS_IJOBGATEWAY_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "jobs/jobtypes.h"
#include "scheduling/ownership.h"

#include <functional>

namespace geraniumbay::jobs {

/// The result of a request.
enum class JobOutcome {
  Accepted,  ///< The job is stored durably, now or earlier.
  Known,     ///< The job's state or the queue's count is in the answer.
  Cancelled, ///< The job is cancelled durably, or had ended.
  NoQueue,   ///< No queue matches this host and path.
  NoJob,     ///< The leader is sure that there is no such job.
  Invalid,   ///< The request is malformed; see Reason.
  NotTaken,  ///< It had no effect for certain. Retry after RetryAfter.
  Unknown,   ///< It may have had an effect; resending it is safe.
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
  /// Set by a pool's owner that refuses a job, for the entry that sent it: the
  /// pool's data centre is evacuated; and tasks of the job had been started
  /// there, all of which have ended.
  bool Evacuated = false;
  bool HasRun = false;
};

/// An answer with only an outcome and a reason.
inline JobAnswer outcome(JobOutcome Outcome, std::string Reason = "") {
  JobAnswer Result;
  Result.Outcome = Outcome;
  Result.Reason = std::move(Reason);
  return Result;
}

/// The target of a request, and how long its caller waits.
struct JobRequest {
  std::string Host;
  std::string Path;
  Duration Timeout{0};
};

class IJobGateway {
public:
  using Callback = std::function<void(const JobAnswer &)>;

  virtual ~IJobGateway() = default;

  /// Returns a function that abandons the request, to be called when the caller
  /// has disconnected. A transient job that nobody waits for is stopped.
  virtual std::function<void()> submit(const JobRequest &Request,
                                       const JobSpec &Spec, Callback Done) = 0;
  /// The state of the job at the request's path.
  virtual void state(const JobRequest &Request, Callback Done) = 0;
  virtual void cancel(const JobRequest &Request, Callback Done) = 0;
  /// How many jobs wait in the queue at the request's path.
  virtual void pending(const JobRequest &Request, Callback Done) = 0;
  /// Whether this entry can serve.
  virtual bool ready() const = 0;
  /// Adds the control VMs of changed settings to the known ones.
  virtual void addControlVms(const std::vector<Endpoint> &Found) = 0;
  /// Applies the capacity of this VM in changed settings.
  virtual void setCapacity(const scheduling::VmCapacity &Capacity) = 0;
  /// Called before the entry stops: hands its pools over to other entries. It
  /// continues to serve its callers.
  virtual void prepareStop() = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IJOBGATEWAY_H
