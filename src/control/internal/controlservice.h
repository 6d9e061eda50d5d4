//===- controlservice.h - One control VM on the network ---------*- C++ -*-===//
//
// The adapter around one member of the control group: JSON-RPC in and out, the
// timer, the disk. Consensus messages are RPC calls whose result is the answer
// message.
//
//   control.vote, control.append, control.snapshot, control.join,
//   control.take_over
//     consensus messages between control VMs
//   control.propose {operation, base, document} -> {version, failure}
//   control.ledger  {change} -> {view, failure}
//   control.remove  {vm} -> {}
//     forwarded once to the leader; Unavailable if there is none
//   control.watch   {vm, process, incarnation, in_force, revision}
//     -> {version, revision, document?, ledgers?}, from what is applied here
//   control.status  {} -> the merged report; {local: true} -> this VM's own
//
// While its disk fails, the VM answers only what needs no disk: control.watch
// and control.status. Other calls are refused at once.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_CONTROLSERVICE_H
#define GERANIUMBAY_CONTROL_INTERNAL_CONTROLSERVICE_H

#include "control/controloptions.h"
#include "control/internal/groupreport.h"
#include "control/internal/memberrunner.h"
#include "control/internal/watchtable.h"
#include "control/ireplicatedlog.h"
#include "framework/clock/itimers.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"

namespace geraniumbay::control {

/// One control VM. Lives as long as the loop.
class ControlService : public IReplicatedLog {
public:
  ControlService(ControlOptions Options, IStorage &Storage, const IClock &Clock,
                 ITimers &Timers, IRpcServer &Server, IRpcClient &Client,
                 Metrics &Measured);

  /// Recovers the member from its disk, offers the methods and starts to tick.
  /// Fails with Io if the disk cannot be used.
  Ret start();

  /// What watchers of this VM see.
  const ConfigSnapshot &published() const { return Published_; }

  // IReplicatedLog.
  std::optional<LeaderTerm> leadsIn() const override;
  bool holdsLease() const override;
  std::optional<Endpoint> leaderAddress() const override;
  std::vector<Endpoint> memberAddresses() const override;
  void append(std::string Batch,
              std::function<void(Outcome<Done>)> Done) override;
  const ConfigSnapshot &configuration() const override { return Published_; }
  void change(ConfigChange Change,
              std::function<void(Outcome<ConfigAnswer>)> Answer) override;
  void onChanged(std::function<void()> Run) override {
    Subscribers_.push_back(std::move(Run));
  }
  void handOver() override;
  void giveUpVote(std::function<void()> Done) override;

private:
  using Reply = IRpcServer::Reply;
  using TypedReply = std::function<void(const Outcome<ProposalAnswer> &)>;
  using StatusCallback = std::function<void(ControlStatus)>;

  void offerMethods();
  void tick();

  // Consensus messages.
  void receive(const Json::Value &Params, Reply Answer);
  void send(const Message &What);
  void handled(const ReplicaEvent &What);
  /// Logs a change of the members or the leader.
  void logChanges();
  /// Keeps the gauges of the group, and logs what has changed.
  void watchGroup();

  // The disk.
  void failed(const Error &Why);
  /// Tries to write the member anew, again after \p Pause if that fails.
  void repair(Duration Pause);
  /// Logs a write that takes long, once, and its end; sets the gauge.
  void watchDisk();
  /// Whether this VM can write: no write has failed, and none takes long.
  bool writes() const;
  void notifySubscribers();

  // Proposals.
  void propose(const Json::Value &Params, const Reply &Answer);
  void changeLedger(const Json::Value &Params, const Reply &Answer);
  void promote(LedgerChange Change, const Reply &Answer);
  void remove(const Json::Value &Params, const Reply &Answer);
  /// Takes the word of a VM that stops.
  void takeVote(const Json::Value &Params, const Reply &Answer);
  void askToLeave(Time Until, const std::function<void()> &Done);
  /// Proposes the first document if this leader's group has none.
  void proposeFirst();
  bool leads() const;
  void forward(const char *Method, Json::Value Params, const Reply &Answer);
  void submit(ProposalBody Body, const Reply &Answer);
  void submitTyped(ProposalBody Body, TypedReply Answer);
  void replied(const ProposalReply &Reply);

  // Watching and status.
  void watch(const Json::Value &Params, const Reply &Answer);
  void status(const Json::Value &Params, const Reply &Answer);
  ControlStatus localStatus() const;
  /// Asks every other control VM and calls back once with what has come.
  void gatherStatus(StatusCallback Done);
  void publish();

  std::optional<Endpoint> addressOf(const VmId &Vm) const;

  ControlOptions Options_;
  const IClock &Clock_;
  ITimers &Timers_;
  IRpcServer &Server_;
  IRpcClient &Client_;
  Metrics &Measured_;
  Random Rng_;
  MemberStore Store_;
  /// Null until start().
  std::unique_ptr<MemberRunner> Runner_;
  Time Started_;

  /// What was logged last.
  Membership LoggedMembers_;
  std::optional<MemberId> LoggedLeader_;
  GroupReport LoggedGroup_;
  bool LoggedStall_ = false;

  /// When the disk failed, and how often the member was written since in vain.
  Time FailedSince_;
  std::uint64_t FailedRepairs_ = 0;
  std::string LoggedFailure_;

  std::uint64_t LastCall_ = 0;
  /// Consensus messages received and not yet answered, by Message::Call.
  std::map<std::uint64_t, Reply> Calls_;
  std::uint64_t LastProposal_ = 0;
  std::map<ProposalId, TypedReply> Proposals_;
  std::vector<std::function<void()>> Subscribers_;
  /// Set once the vote is given up, or kept for want of other voters: the
  /// member does not campaign or ask for a group while its process ends.
  bool Leaving_ = false;
  /// The first document has been proposed by this process.
  bool ProposedFirst_ = false;
  WatchTable Watchers_;
  /// Applied and durable: unlike the replica's machine, never ahead of a sync.
  ConfigSnapshot Published_;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_CONTROLSERVICE_H
