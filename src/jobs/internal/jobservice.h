//===- jobservice.h - Jobs on a control VM ----------------------*- C++ -*-===//
//
// Answers entries and workers on a control VM. The leader serves them itself,
// with a scheduler once there are durable jobs; a follower redirects to the
// leader or forwards the message.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBSERVICE_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBSERVICE_H

#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"
#include "jobs/ijobcontrol.h"
#include "jobs/internal/announcementrelay.h"
#include "jobs/internal/pools.h"
#include "jobs/internal/scheduler.h"
#include "jobs/routing.h"

namespace geraniumbay::jobs {

/// All referenced objects outlive the service.
struct JobServiceDependencies {
  control::IReplicatedLog &Log;
  const JobStore &Store;
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  IRpcServer &Server;
  IRpcClient &Client;
  /// Those named in the settings; others are known from their entries and
  /// workers.
  std::set<DataCentreId> DataCentres;
};

class JobService : public IJobControl {
public:
  JobService(JobServiceDependencies Deps, RoutingReader Reader,
             LeaseSettings Lease);

  /// Registers the RPC methods and starts to follow the log; called once.
  void start();

  void announceWorker(const WorkerInfo &Info, Acknowledge Done) override;
  void workerLeaves(const WorkerId &Worker, Acknowledge Done) override;
  std::optional<Endpoint> announceAt(const WorkerId &Worker) const override;
  void putRouting(const std::string &Document, Acknowledge Done) override;
  void getRouting(std::function<void(Outcome<std::string>)> Done) override;
  void orderEvacuation(const DataCentreId &DataCentre, bool Evacuate,
                       Acknowledge Done) override;
  void prepareStop(std::function<void()> Done) override;

private:
  using Reply = IRpcServer::Reply;

  void registerMethods();
  /// Loads a changed routing document, and starts or ends the scheduler as the
  /// leadership changes.
  void handleLogChange();
  void tick();
  void shareWorkers();
  /// Sends the changed workers to another control VM.
  void shareWith(const Endpoint &Member);
  void applySharedWorkers(const Json::Value &Params, const Reply &Answer);
  Json::Value redirection() const;
  bool serves() const { return Term_ && Deps_.Log.holdsLease(); }

  // Requests of entries.
  /// Finds the queue that a request names; answers the request with an error if
  /// there is none.
  std::optional<QueueMatch> findRequestedQueue(const Json::Value &Params,
                                               const Reply &Answer) const;
  void submit(const Json::Value &Params, const Reply &Answer);
  void runTransient(Job New, const Json::Value &Params, const Reply &Answer);
  void state(const Json::Value &Params, const Reply &Answer);
  void answerState(const JobId &Id, const Reply &Answer);
  void cancel(const Json::Value &Params, const Reply &Answer);
  void pending(const Json::Value &Params, const Reply &Answer);
  /// Records that the entry has asked, and adds what has changed since.
  void addEntryUpdate(const Json::Value &Params, Json::Value &Response);
  /// Removes the workers that an owner has found gone. One that runs after all
  /// announces itself again.
  void removeGoneWorkers(const Json::Value &Params);
  struct EntryContact;
  std::vector<scheduling::VmCapacity> entryCapacities() const;
  /// Notes the capacity that the entry's request states.
  void noteCapacity(EntryContact &Contact, bool New, const Json::Value &Params);
  ListedEntry listed(const EntryPlace &Place,
                     const EntryContact &Contact) const;
  void addAllEntries(const Json::Value &Params, Json::Value &Response);
  void addEntryChanges(const Json::Value &Params, Json::Value &Response);
  /// Whether the entries known to the requester have had the time to contact
  /// this leader.
  bool haveEntriesAsked(const Json::Value &Params) const;
  struct OwnerReport;
  void recordOwnerReport(const PoolName &Name, const Json::Value &Claim,
                         Time Now);
  void updateOwnerReport(OwnerReport &Report, const Json::Value &Claim);
  void addOwnerChanges(const Json::Value &Params, Json::Value &Response);
  /// Adds a batch of the pools of which only the load has changed, in turn.
  void addLoadChanges(const Json::Value &Params, bool SameTerm,
                      Json::Value &Response) const;
  /// Whether the entry's lists come from this leader's term.
  bool knowsCurrentTerm(const Json::Value &Params) const;
  /// Without \p IncludeLarge a list that is too long for a sync reply is left
  /// out and only announced.
  void addWorkerChanges(const Json::Value &Params, bool IncludeLarge,
                        Json::Value &Response);
  void addDocument(bool IncludeLarge, Json::Value &Response) const;
  void document(const Json::Value &Params, const Reply &Answer);
  void workers(const Json::Value &Params, const Reply &Answer);
  /// Whether all running workers are known here: all have had the time to
  /// announce themselves, or the previous leader has shared its list.
  bool knowsAllWorkers() const;
  /// On a follower: adds the workers that the leader has shared, if the entry
  /// asks for that leader's term and has no list of it yet.
  bool addSharedWorkers(const Json::Value &Params, Json::Value &Response) const;
  /// Whether there are too many workers for one pool. Until they are divided
  /// entries are sent none: one entry cannot own thousands.
  bool needsDivision() const;
  /// Divides the workers into pools by racks once there are too many for one
  /// pool.
  void divideIfLarge();
  void sync(const Json::Value &Params, const Reply &Answer);
  /// Creates the scheduler, if there is none yet. From the first durable job
  /// on, the leader of the log owns the workers.
  void startScheduler();

  // Evacuations (evacuationservice.cpp).
  void registerEvacuationMethods();
  bool isKnownDataCentre(const DataCentreId &DataCentre) const;
  void handleEvacuationOrder(const EvacuationOrder &Order, bool Forwarded,
                             const Acknowledge &Done);
  void recordEvacuation(const EvacuationOrder &Order, const Acknowledge &Done);
  /// Adds the evacuations if they have changed since the entry's last sync.
  void addEvacuations(const Json::Value &Params, Json::Value &Response) const;
  void recordEvacuationReport(const Json::Value &Params,
                              const EntryPlace &From);
  /// For operators: the evacuated data centres, the tasks still running there,
  /// and the entries that do not know of the evacuation yet.
  void listEvacuations(const Json::Value &Params, const Reply &Answer);
  Json::Value describeEvacuation(const DataCentreId &DataCentre,
                                 const EvacuationRecord &Record) const;
  void applyEvacuations();

  // Forwarding to the leader. A message that was forwarded once is not
  // forwarded again.
  void forwardToLeader(const char *Method, Json::Value Params, bool Forwarded,
                       std::function<void(Outcome<Json::Value>)> Done);
  void handleAnnouncements(const Json::Value &Params, const Reply &Answer);
  /// Forwards all pending announcements in one message; one message is in
  /// flight at a time.
  void forwardAnnouncements();
  /// Periodically reports to the leader which workers were heard here.
  void reportHeardWorkers();
  void handleHeardWorkers(const Json::Value &Params, const Reply &Answer);
  void handleLeave(const WorkerId &Worker, bool Forwarded,
                   const Acknowledge &Done);
  void handleRouting(const std::string &Document, bool Forwarded,
                     const Acknowledge &Done);
  void proposeRouting(const std::string &Document, DocumentVersion Version,
                      int Tries, const Acknowledge &Done);

  const JobServiceDependencies Deps_;
  const RoutingReader Reader_;
  const LeaseSettings Lease_;
  /// The term in which this VM leads; unset on a follower.
  std::optional<control::LeaderTerm> Term_;
  Time LeadsSince_;
  /// The previous leader knew all workers and shared them until its term ended.
  bool InheritsAllWorkers_ = false;
  /// On a leader with durable jobs.
  std::unique_ptr<Scheduler> Scheduler_;
  struct EntryContact {
    Time LastHeardAt;
    /// Number of the change that added the entry.
    std::uint64_t ChangeNumber = 0;
    scheduling::VmCapacity Capacity;
  };
  /// The entries that have contacted this VM within EntryTimeout.
  std::map<EntryPlace, EntryContact> Entries_;
  /// An entry's last report on evacuations: the last one it knows of, and how
  /// many tasks that it manages run in evacuated data centres.
  struct EvacuationReport {
    EvacuationNumber LastKnown;
    std::map<DataCentreId, std::uint64_t> Running;
  };
  std::map<Endpoint, EvacuationReport> EvacuationReports_;
  /// The last evacuation order that is reflected in Evacuated_ and the
  /// scheduler.
  EvacuationNumber AppliedEvacuations_;
  std::set<DataCentreId> Evacuated_;
  /// Counts the changes of Entries_.
  std::uint64_t EntriesChange_ = 0;
  /// No entry's capacity differs, so that none is listed.
  bool EntriesAlike_ = true;
  /// The last change that removed an entry, or after which all capacities are
  /// listed anew. Entries that are behind it are sent the whole list.
  std::uint64_t LastEntryRemoval_ = 0;
  /// The serialized list of all entries, cached since entries that start
  /// together all ask for it.
  struct SerializedEntries {
    /// Value of EntriesChange_ that the list was built at.
    std::uint64_t Change = 0;
    std::uint64_t Digest = 0;
    Json::Value Serialized;
    Json::Value Capacities;
  };
  SerializedEntries AllEntries_;
  std::uint64_t OwnersChange_ = 0;
  /// The last report of a pool's owner; its claim is null once the owner has
  /// stopped reporting.
  struct OwnerReport {
    Json::Value Claim;
    Time LastHeardAt;
    std::uint64_t ChangeNumber = 0;
    /// The last change of more than the load.
    std::uint64_t OwnerChangeNumber = 0;
  };
  std::map<PoolName, OwnerReport> Owners_;
  /// On the leader: how far each control VM has received the changes of the
  /// workers.
  struct ShareState {
    std::uint64_t LastChange = 0;
    /// The directory's change number when the list was begun.
    std::uint64_t ListStart = 0;
    bool InFlight = false;
    std::optional<Time> AnsweredAt;
  };
  std::map<Endpoint, ShareState> Shared_;
  /// On a follower: the workers that a leader has shared, the leader's term,
  /// and the last change included.
  std::uint64_t SharedTerm_ = 0;
  std::uint64_t SharedLastChange_ = 0;
  std::set<WorkerId> SharedWorkers_;
  /// When a leader that knew all workers last shared a complete list.
  std::optional<Time> AllSharedAt_;
  /// The division by racks is being appended to the log.
  bool Dividing_ = false;
  /// The number of workers, and when it last changed.
  std::size_t WorkersCounted_ = 0;
  Time WorkersCountedAt_;
  /// Since when there have been too many workers for one pool.
  std::optional<Time> TooManySince_;
  WorkerDirectory Directory_;
  AnnouncementRelay Relay_;
  /// An announcement that is yet to be forwarded to the leader.
  struct PendingAnnouncement {
    WorkerInfo Info;
    Acknowledge Done;
  };
  std::vector<PendingAnnouncement> PendingAnnouncements_;
  bool AnnouncementsInFlight_ = false;
  Routing Routing_;
  ConfigVersion RoutingConfigVersion_;
  bool Stopping_ = false;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBSERVICE_H
