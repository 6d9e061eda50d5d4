//===- entryjobs.h - Jobs on an entry ---------------------------*- C++ -*-===//
//
// What an entry does for callers: it finds the queue in the configuration that
// it knows, hands transient jobs to the entry that owns the pool of workers
// (itself, perhaps), and durable ones to the leader of the log. It takes part
// in choosing the owner.
//
// Transient jobs need no control VM: while those are away, entries go on with
// the configuration and the workers that they know.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
#define GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H

#include "framework/rpc/irpcserver.h"
#include "jobs/internal/jobgateway.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"
#include "jobs/routing.h"

namespace geraniumbay::jobs {

/// What the service works with; all of it outlives the service.
struct EntryNeeds {
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  IRpcServer &Server;
  IRpcClient &Client;
};

class EntryJobs : public IJobGateway {
public:
  EntryJobs(EntryNeeds Needs, Endpoint Self, std::vector<Endpoint> ControlVms,
            RoutingReader Reader, LeaseSettings Lease);

  /// Offers the methods and starts; called once.
  void start();

  std::function<void()> submit(const JobRequest &Request, const JobSpec &Spec,
                               Callback Done) override;
  void state(const JobRequest &Request, Callback Done) override;
  void cancel(const JobRequest &Request, Callback Done) override;
  void pending(const JobRequest &Request, Callback Done) override;
  bool ready() const override;
  void addControlVms(const std::vector<Endpoint> &Found) override {
    Control_.addControlVms(Found);
  }
  void prepareStop() override;
  /// Whether this entry schedules.
  bool ownsThePool() const { return Scheduler_ != nullptr; }

private:
  using Reply = IRpcServer::Reply;
  struct Ask;
  using AskPtr = std::shared_ptr<Ask>;

  // What control VMs say (entrysync.cpp).
  Json::Value askControl() const;
  void takeControl(const Json::Value &Result);
  void takeDocument(const Json::Value &Result);
  void takeWorkers(const Json::Value &Result);
  void takeEntryList(const Json::Value &Result);

  // The owner of the pool (poolowner.cpp).
  void tick();
  void pingAll();
  void ping(const Endpoint &To);
  void pinged(const Endpoint &To, Time Sent, const Outcome<Json::Value> &Reply);
  void answerPing(const Json::Value &Params, const Reply &Answer);
  void answerDrop(const Json::Value &Params, const Reply &Answer);
  void answerRun(const Json::Value &Params, const Reply &Answer);
  /// Takes and returns the claim that a message carries.
  OwnerClaim takeClaim(const Json::Value &From, const Endpoint &Speaker);
  /// Settles with another owner which of the two goes on.
  void meetOwner(const Json::Value &From, const OwnerClaim &Word,
                 const Endpoint &Speaker);
  void pingEntries();
  void followOwner();
  void dropSilentOrigins(Time Now);
  /// Takes this entry's own stamp that a message of \p From brings back.
  void noteEcho(const Endpoint &From, const Json::Value &Params);
  /// Whether \p Owner can tell from the next message that it is heard here.
  bool hasFreshEcho(const Endpoint &Owner) const;
  Json::Value writeClaim() const;

  // Transient jobs of this entry's callers (entryjobs.cpp).
  void dispatch(const AskPtr &What);
  void sendToOwner(const AskPtr &What);
  void answered(const AskPtr &What, std::uint64_t Attempt, const Endpoint &From,
                const Outcome<Json::Value> &Result);
  void finish(const AskPtr &Asked, const JobAnswer &Answer);
  void abandon(const AskPtr &What);
  void park(const AskPtr &What);
  void redispatchParked();

  const EntryNeeds Needs_;
  const Endpoint Self_;
  const RoutingReader Reader_;
  const LeaseSettings Lease_;
  JobGateway Control_;

  Routing Routing_;
  ConfigVersion RoutingFrom_;
  WorkerDirectory Directory_;
  /// Which list of workers this entry has: of which leader's term, and how many
  /// changes it covers.
  std::uint64_t WorkersOf_ = 0;
  std::uint64_t WorkersChange_ = 0;
  /// Entries, and when the leader last named each.
  std::map<Endpoint, Time> Entries_;
  /// The leader of the log schedules itself, transient jobs too.
  bool ControlSchedules_ = false;

  PoolView View_;
  std::set<Endpoint> PingsUnderWay_;
  /// The clock of an entry in its last answer, to be sent back to it.
  struct Echo {
    std::uint64_t Stamp = 0;
    Time Taken;
  };
  std::map<Endpoint, Echo> Echoes_;
  /// Of an owner: until when each entry has certainly heard it.
  std::map<Endpoint, Time> Contacts_;
  const JobStore NoDurableJobs_;
  /// Of the owner.
  std::unique_ptr<Scheduler> Scheduler_;
  /// The claim went up because another owner was met, which lets go.
  bool MetOther_ = false;

  /// Jobs of this entry's callers that have not been answered.
  std::set<AskPtr> Asks_;
  std::uint64_t LastSerial_ = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
