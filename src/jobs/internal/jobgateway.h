//===- jobgateway.h - Asking the leader about jobs --------------*- C++ -*-===//
//
// Finds the leader among the control VMs and follows it. A request goes to
// another control VM only when it certainly had no effect at the one before.
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
  /// Makes the question that is put to control VMs from time to time, and takes
  /// their answers and who gave them.
  struct Sync {
    std::function<Json::Value()> Ask;
    std::function<void(const Json::Value &, const Endpoint &)> Take;
    /// Whether callers wait for what control VMs say.
    std::function<bool()> IsUrgent;
  };
  using FetchCallback = std::function<void(const Outcome<Json::Value> &)>;

  /// \p ControlVms are those that the settings name; others are learned. All
  /// references outlive the gateway, which lives as long as the loop.
  JobGateway(std::vector<Endpoint> ControlVms, IRpcClient &Client,
             const IClock &Clock, ITimers &Timers, Sync Exchange);

  void submit(const JobRequest &Request, const JobSpec &Spec, Callback Done);
  void state(const JobRequest &Request, Callback Done);
  void cancel(const JobRequest &Request, Callback Done);
  void pending(const JobRequest &Request, Callback Done);
  /// Whether a leader that can serve has answered lately.
  bool ready() const;

  /// Starts to look for the leader and to exchange what changes; called once.
  void start();
  void addControlVms(const std::vector<Endpoint> &Found);
  /// Asks one control VM for something large.
  void fetch(const Endpoint &From, const char *Method, Json::Value Params,
             Duration Timeout, FetchCallback Done);
  /// The control VM that the \p Number-th asker should ask for what all have.
  Endpoint spread(std::size_t Number) const {
    return ControlVms_[Number % ControlVms_.size()];
  }

private:
  struct Ask;

  void send(const char *Method, const JobRequest &Request, Json::Value Params,
            Callback Done);
  void attemptAsk(const std::shared_ptr<Ask> &What);
  void answered(const std::shared_ptr<Ask> &What, const Endpoint &From,
                const Outcome<Json::Value> &Result);
  void tryAgain(const std::shared_ptr<Ask> &What);
  void probe();
  /// The leader, unless its answer is still to come; if that is late, or no
  /// leader is known, another VM. Each VM has one question at a time.
  std::optional<Endpoint> nextToProbe();
  std::size_t unansweredByLeader() const;
  void probed(const Endpoint &From, const Outcome<Json::Value> &Result);
  /// The leader if it is known, else the control VMs in turn.
  Endpoint target();
  void follow(const Json::Value &Result);
  void lost(const Endpoint &At, const char *Reason);

  std::vector<Endpoint> ControlVms_;
  IRpcClient &Client_;
  const IClock &Clock_;
  ITimers &Timers_;
  const Sync Exchange_;
  std::optional<Endpoint> Leader_;
  std::size_t NextVm_ = 0;
  /// The pause between questions, as the leader has told.
  Duration AskPause_ = scheduling::MinPollInterval;
  struct Question {
    /// Of the one under way.
    std::optional<Time> Sent;
    /// Those in a row that were not answered in time.
    std::size_t Unanswered = 0;
  };
  std::map<Endpoint, Question> Questions_;
  /// When the question was sent to which a leader last answered that it can
  /// serve.
  std::optional<Time> ReadyAt_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBGATEWAY_H
