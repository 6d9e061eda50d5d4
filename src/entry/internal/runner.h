//===- runner.h - Carries out a submission ----------------------*- C++ -*-===//
//
// Feeds one submission's decision core with what happens and does what it asks
// for: claims, leases, tasks at workers, timers, the reply.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_RUNNER_H
#define GERANIUMBAY_ENTRY_INTERNAL_RUNNER_H

#include "dispatch/ipoolclient.h"
#include "entry/internal/extramessages.h"
#include "entry/internal/iclaims.h"
#include "entry/internal/single.h"
#include "entry/internal/upstream.h"
#include "framework/clock/itimers.h"
#include "framework/metrics/metrics.h"
#include "framework/trace/tracer.h"

#include <memory>
#include <set>

namespace geraniumbay::entry {

/// What runners need. All of it outlives them.
struct RunnerServices {
  const IClock &Clock;
  ITimers &Timers;
  dispatch::IPoolClient &Pools;
  IClaims &Claims;
  Upstream &Workers;
  /// Gives ids that no other request of any entry has.
  std::function<dispatch::RequestId()> NewRequestId;
  /// The budget of retries and hedges of the entry.
  ExtraMessages &Extra;
  Metrics &Measured;
  Tracer &Spans;
};

/// Carries out one submission. Keeps itself alive until its last callback.
class Runner : public std::enable_shared_from_this<Runner> {
public:
  using ReplyCallback = std::function<void(const Result &)>;

  Runner(const RunnerServices &Services, ReplyCallback OnReply)
      : Services_(Services), OnReply_(std::move(OnReply)) {}

  /// Begins; the reply comes later, once. Its hops are spans inside \p Root.
  void start(Submission Request, Span Root);
  /// The caller cancels the submission.
  void cancel();
  /// Nobody waits for the answer any more.
  void abandon();

private:
  using State = std::variant<Job, Single>;

  void perform(const JobActions &Actions);
  void act(const ClaimAction &Action);
  void act(const AcquireAction &Action);
  void act(const CancelAcquireAction &Action);
  void act(const StartAction &Action);
  void act(const StopAction &Action);
  void act(const ReleaseLeaseAction &Action);
  void act(const RecordAction &Action);
  void act(const ReleaseClaimAction &Action);
  void act(const ReplyAction &Action);

  void claimed(const ClaimEvent &Event);
  void leased(const dispatch::Lease &Held);
  void rejected(const dispatch::RequestId &Id,
                const dispatch::Rejection &Event);
  void taskEnded(const TaskEvent &Event);
  void deadlinePassed();
  void startHedgeTimer();

  const Submission &request() const;
  WorkerTaskId workerTaskId(TaskIndex Task) const;
  /// The deadline has passed, perhaps before its timer ran: a process that
  /// stood still gets the messages of the meantime first.
  bool isLate() const;
  Duration timeLeft() const;

  const RunnerServices &Services_;
  ReplyCallback OnReply_;
  State State_;
  Span Root_;
  /// First part of the ids of the tasks at workers.
  std::string TaskPrefix_;
  /// Requests for slots that may still bring leases.
  std::set<dispatch::RequestId> Acquiring_;
  TimerId Deadline_;
  TimerId Hedge_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_RUNNER_H
