//===- jobgateway.h - Client of the leading control VM ----------*- C++ -*-===//
//
// Finds the leader among the control VMs, forwards callers' requests to it and
// synchronises with it. A request whose effect is unknown may be sent to
// another control VM, since all requests are idempotent.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBGATEWAY_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBGATEWAY_H

#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "jobs/ijobgateway.h"
#include "scheduling/askpace.h"

#include <map>
#include <memory>
#include <optional>

namespace geraniumbay::jobs {

class JobGateway {
public:
  using Callback = IJobGateway::Callback;
  /// Callbacks for the periodic synchronisation with control VMs: the first
  /// builds the request, the second handles a reply and its sender.
  struct Sync {
    std::function<Json::Value()> MakeRequest;
    std::function<void(const Json::Value &, const Endpoint &)> HandleReply;
    /// Whether callers wait for the result, so that it should be soon.
    std::function<bool()> IsUrgent;
  };
  using FetchCallback = std::function<void(const Outcome<Json::Value> &)>;

  /// \p ControlVms are those in the settings; others are discovered. All
  /// references outlive the gateway, which lives as long as the event loop.
  JobGateway(std::vector<Endpoint> ControlVms, IRpcClient &Client,
             const IClock &Clock, ITimers &Timers, Sync Exchange);

  void submit(const JobRequest &Request, const JobSpec &Spec, Callback Done);
  void state(const JobRequest &Request, Callback Done);
  void cancel(const JobRequest &Request, Callback Done);
  void pending(const JobRequest &Request, Callback Done);
  /// Whether a leader that can serve has answered recently.
  bool ready() const;

  /// Starts to look for the leader and to synchronise with it; called once.
  void start();
  void addControlVms(const std::vector<Endpoint> &Found);
  /// Calls one control VM for a large document or list.
  void fetch(const Endpoint &From, const char *Method, Json::Value Params,
             Duration Timeout, FetchCallback Done);
  /// The control VM that client number \p Number should fetch shared data from,
  /// so that clients are spread over all control VMs.
  Endpoint controlVmFor(std::size_t Number) const {
    return ControlVms_[Number % ControlVms_.size()];
  }

private:
  struct PendingRequest;

  void send(const char *Method, const JobRequest &Request, Json::Value Params,
            Callback Done);
  void sendAttempt(const std::shared_ptr<PendingRequest> &Request);
  void handleReply(const std::shared_ptr<PendingRequest> &Request,
                   const Endpoint &From, const Outcome<Json::Value> &Result);
  void retry(const std::shared_ptr<PendingRequest> &Request);
  void probe();
  /// The leader, or nothing while its answer is pending. If that is overdue or
  /// no leader is known, another VM. Each VM has at most one probe at a time.
  std::optional<Endpoint> nextToProbe();
  std::size_t unansweredByLeader() const;
  void handleProbeReply(const Endpoint &From,
                        const Outcome<Json::Value> &Result);
  /// The leader if it is known, otherwise the control VMs in turn.
  Endpoint target();
  void followLeader(const Json::Value &Result);
  void noteLeaderLost(const Endpoint &At, const char *Reason);

  std::vector<Endpoint> ControlVms_;
  IRpcClient &Client_;
  const IClock &Clock_;
  ITimers &Timers_;
  const Sync Sync_;
  std::optional<Endpoint> Leader_;
  std::size_t NextVm_ = 0;
  /// The pause between probes, as requested by the leader.
  Duration SyncPause_ = scheduling::MinPollInterval;
  struct Probe {
    /// When the pending probe was sent, if there is one.
    std::optional<Time> SentAt;
    /// Consecutive probes that were not answered in time.
    std::size_t Unanswered = 0;
  };
  std::map<Endpoint, Probe> Probes_;
  /// When the last probe was sent to which a leader answered that it can serve.
  std::optional<Time> LeaderReadyAt_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBGATEWAY_H
