//===- jobservice.h - Jobs on a control VM ----------------------*- C++ -*-===//
//
// Answers entries and workers on a control VM. While this VM leads it has a
// scheduler; otherwise it points to the leader, or passes the message on.
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

/// What the service works with; all of it outlives the service.
struct JobServiceNeeds {
  control::IReplicatedLog &Log;
  const JobStore &Store;
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  IRpcServer &Server;
  IRpcClient &Client;
  /// Those that the settings name; others are known from what is there.
  std::set<DataCentreId> DataCentres;
};

class JobService : public IJobControl {
public:
  JobService(JobServiceNeeds Needs, RoutingReader Reader, LeaseSettings Lease);

  /// Offers the methods and starts to follow the leadership; called once.
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

  void offerMethods();
  /// Starts or ends the scheduler as the leadership and the routing change.
  void follow();
  void tick();
  void shareWorkers();
  /// Tells another control VM which workers have changed.
  void shareWith(const Endpoint &Member);
  void takeShared(const Json::Value &Params, const Reply &Answer);
  Json::Value redirection() const;
  bool serves() const { return Term_ && Needs_.Log.holdsLease(); }

  // Entries.
  /// The queue that a request names; answers the request if there is none.
  std::optional<QueueMatch> findPlace(const Json::Value &Params,
                                      const Reply &Answer) const;
  void submit(const Json::Value &Params, const Reply &Answer);
  void runTransient(Job New, const Json::Value &Params, const Reply &Answer);
  void state(const Json::Value &Params, const Reply &Answer);
  void tellState(const JobId &Id, const Reply &Answer);
  void cancel(const Json::Value &Params, const Reply &Answer);
  void pending(const Json::Value &Params, const Reply &Answer);
  /// What has changed for the entry that asks.
  void tellEntry(const Json::Value &Params, Json::Value &Into);
  void tellAllEntries(const Json::Value &Params, Json::Value &Into);
  void tellEntries(const Json::Value &Params, Json::Value &Into);
  /// Whether the entries that the asker knows have had the time to ask.
  bool haveEntriesAsked(const Json::Value &Params) const;
  struct OwnerWord;
  void noteOwner(const PoolName &Name, const Json::Value &Claim, Time Now);
  void changeOwner(OwnerWord &Known, const Json::Value &Claim);
  void tellOwners(const Json::Value &Params, Json::Value &Into);
  /// Tells some of the pools whose load alone has changed, in turn.
  void tellLoads(const Json::Value &Params, bool SameTerm,
                 Json::Value &Into) const;
  /// Whether the entry that asks knows this leader's lists.
  bool isOfThisTerm(const Json::Value &Params) const;
  /// With \p Any also a list that is too long to come with every answer.
  void tellWorkers(const Json::Value &Params, bool Any, Json::Value &Into);
  void tellDocument(bool Any, Json::Value &Into) const;
  void document(const Json::Value &Params, const Reply &Answer);
  void workers(const Json::Value &Params, const Reply &Answer);
  /// Whether all workers that run are known here: all have had the time to
  /// announce themselves, or the leader before has shared its list.
  bool knowsAllWorkers() const;
  /// Of a follower: lists what the leader has shared, where that is of use.
  bool listShared(const Json::Value &Params, Json::Value &Into) const;
  /// Whether the workers are too many for one pool. Until they are divided
  /// entries hear of none: one entry cannot hold thousands.
  bool isToBeDivided() const;
  /// Divides the workers by racks once they are too many for one pool.
  void divideIfLarge();
  void sync(const Json::Value &Params, const Reply &Answer);
  /// Starts to schedule: from the first durable job on, the leader of the log
  /// owns the workers.
  void engage();

  // Evacuations (evacuationservice.cpp).
  void offerEvacuations();
  bool isKnown(const DataCentreId &DataCentre) const;
  void takeEvacuation(const EvacuationOrder &Order, bool Forwarded,
                      const Acknowledge &Done);
  void recordEvacuation(const EvacuationOrder &Order, const Acknowledge &Done);
  /// What has changed since the entry that asks was told.
  void tellEvacuations(const Json::Value &Params, Json::Value &Into) const;
  void takeEvacuationWord(const Json::Value &Params, const EntryPlace &From);
  /// For operators: what is evacuated and how far that is obeyed.
  void listEvacuations(const Json::Value &Params, const Reply &Answer);
  Json::Value describeEvacuation(const DataCentreId &DataCentre,
                                 const EvacuationRecord &Record) const;
  void followEvacuations();

  // Passed on to the leader. Forwarded messages are not passed on again.
  void passOn(const char *Method, Json::Value Params, bool Forwarded,
              std::function<void(Outcome<Json::Value>)> Done);
  void takeNews(const Json::Value &Params, const Reply &Answer);
  /// Passes on what has come meanwhile, in one message at a time.
  void passNewsOn();
  /// Tells the leader again and again which workers were heard here.
  void tellHeard();
  void takeHeard(const Json::Value &Params, const Reply &Answer);
  void takeLeave(const WorkerId &Worker, bool Forwarded,
                 const Acknowledge &Done);
  void takeRouting(const std::string &Document, bool Forwarded,
                   const Acknowledge &Done);
  void proposeRouting(const std::string &Document, DocumentVersion Version,
                      int Tries, const Acknowledge &Done);

  const JobServiceNeeds Needs_;
  const RoutingReader Reader_;
  const LeaseSettings Lease_;
  /// The term in which this VM leads.
  std::optional<control::LeaderTerm> Term_;
  Time LeadsSince_;
  /// The leader before knew all workers and shared them until it ended.
  bool InheritsAllWorkers_ = false;
  /// Of a leader with durable jobs.
  std::unique_ptr<Scheduler> Scheduler_;
  struct EntryWord {
    Time Heard;
    /// The number of the change by which it came.
    std::uint64_t ChangedAt = 0;
  };
  /// The entries that have asked lately.
  std::map<EntryPlace, EntryWord> Entries_;
  /// What an entry said last of the evacuations: which it knows of, and how
  /// many tasks run in evacuated data centres under its orders.
  struct EvacuationWord {
    EvacuationNumber Known;
    std::map<DataCentreId, std::uint64_t> Running;
  };
  std::map<Endpoint, EvacuationWord> EvacuationWords_;
  /// Of the evacuations that the log and the scheduler here know.
  EvacuationNumber EvacuationsSeen_;
  std::set<DataCentreId> Evacuated_;
  /// Counts the changes of this list, and of the next one.
  std::uint64_t EntriesChange_ = 0;
  /// The last change by which an entry went: who has not heard of it is told
  /// all anew.
  std::uint64_t EntryGoneAt_ = 0;
  /// The whole list as it is told. All that start together ask for it.
  struct WrittenEntries {
    /// Of EntriesChange_.
    std::uint64_t Change = 0;
    std::uint64_t Digest = 0;
    Json::Value Written;
  };
  WrittenEntries AllEntries_;
  std::uint64_t OwnersChange_ = 0;
  /// What the owner of a pool said last, and when; null once it is silent.
  struct OwnerWord {
    Json::Value Claim;
    Time Heard;
    std::uint64_t ChangedAt = 0;
    /// The same for more than its load.
    std::uint64_t OwnerChangedAt = 0;
  };
  std::map<PoolName, OwnerWord> Owners_;
  /// Of a leader: how many changes of the workers each control VM was told.
  struct ShareState {
    std::uint64_t Upto = 0;
    /// How many there were when the list was begun.
    std::uint64_t ListedFrom = 0;
    bool UnderWay = false;
    std::optional<Time> AnsweredAt;
  };
  std::map<Endpoint, ShareState> Shared_;
  /// Of the others: which leader's term told them of which workers, and how
  /// many changes that covers.
  std::uint64_t SharedOf_ = 0;
  std::uint64_t SharedChange_ = 0;
  std::set<WorkerId> SharedWorkers_;
  /// When a leader that knows all workers shared the last of them.
  std::optional<Time> AllSharedAt_;
  /// The division by racks is on its way into the log.
  bool Dividing_ = false;
  /// How many workers there were when that number changed last.
  std::size_t WorkersCounted_ = 0;
  Time WorkersCountedAt_;
  /// Since when they have been too many for one pool.
  std::optional<Time> TooManySince_;
  WorkerDirectory Directory_;
  AnnouncementRelay Relay_;
  /// What the leader is still to be told.
  struct PieceOfNews {
    WorkerInfo Info;
    Acknowledge Done;
  };
  std::vector<PieceOfNews> News_;
  bool NewsUnderWay_ = false;
  Routing Routing_;
  /// The version of the configuration that Routing_ was read from.
  ConfigVersion RoutingFrom_;
  bool Stopping_ = false;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBSERVICE_H
