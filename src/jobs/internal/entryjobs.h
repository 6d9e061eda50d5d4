//===- entryjobs.h - Jobs on an entry ---------------------------*- C++ -*-===//
//
// Serves callers' job requests on an entry. The entry looks up the queue in its
// copy of the configuration, sends transient jobs to the entry that owns the
// pool of workers (possibly itself), and durable jobs to the leader of the
// replicated log. It also takes part in choosing the pools' owners.
//
// Transient jobs don't depend on control VMs: while none can be reached,
// entries continue with the last known configuration and workers.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
#define GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H

#include "framework/rpc/irpcserver.h"
#include "jobs/internal/jobgateway.h"
#include "jobs/internal/jobregister.h"
#include "jobs/internal/poolmember.h"
#include "jobs/routing.h"

#include <array>

namespace geraniumbay::jobs {

/// Collaborators of the service; all of them outlive it.
struct EntryDependencies {
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  IRpcServer &Server;
  IRpcClient &Client;
};

class EntryJobs : public IJobGateway {
public:
  EntryJobs(EntryDependencies Deps, EntryPlace Self,
            std::vector<Endpoint> ControlVms, RoutingReader Reader,
            LeaseSettings Lease);

  /// Registers the RPC methods and starts the timers; called once.
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
  /// Whether this entry owns at least one pool and thus runs a scheduler.
  bool ownsAPool() const;

private:
  using Reply = IRpcServer::Reply;
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  struct Incoming;
  using IncomingPtr = std::shared_ptr<Incoming>;
  struct ByArrival {
    bool operator()(const IncomingPtr &One, const IncomingPtr &Other) const;
  };
  using Pools = std::map<PoolName, std::unique_ptr<PoolMember>>;

  // Synchronisation with control VMs (entrysync.cpp, entryworkers.cpp).
  Json::Value makeSyncRequest() const;
  void applySyncReply(const Json::Value &Result, const Endpoint &From);
  /// The control VM to fetch large lists from: entries spread their fetches
  /// over all control VMs.
  Endpoint controlVmForLists() const;
  /// Fetches the configuration document from \p From, or from \p Fallback if
  /// that brings no newer one.
  void fetchDocument(const Endpoint &From,
                     const std::optional<Endpoint> &Fallback);
  /// Fetches the list of workers from \p From, or from \p Fallback if the reply
  /// has no list. A call that fails is not retried here.
  void fetchWorkers(const Endpoint &From,
                    const std::optional<Endpoint> &Fallback);
  void applyDocument(const Json::Value &Result);
  void applyPoolPlan(const Json::Value &Result);
  void applyEvacuations(const Json::Value &Result);
  /// The number of tasks that this entry's schedulers are running in each
  /// evacuated data centre.
  Json::Value writeEvacuatedRunning() const;
  void applyWorkers(const Json::Value &Result);
  void applyWorkerList(const Json::Value &Result);
  /// Removes the worker; returns the pool that it was in, or null.
  PoolMember *forgetWorker(const WorkerId &Worker);
  /// The data centres whose pools this entry may own.
  std::set<DataCentreId> dataCentresToCover() const;
  /// Requests the workers of those data centres from now on. If the known list
  /// doesn't cover them, the whole list is requested again.
  void updateCoveredDataCentres();
  /// Writes which version of the list of workers this entry has, so that only
  /// changes are sent.
  void writeKnownWorkers(Json::Value &Params) const;
  /// Merges the entries in \p Result into the last list; returns whether
  /// \p Result contained or confirmed a list.
  bool mergeEntryList(const Json::Value &Result);
  void applyEntryList(const Json::Value &Result);
  void applyOwners(const Json::Value &Result);
  /// If \p Result comes from the leader of another term, resets the change
  /// counters and what was reported under the previous leader.
  void followListsTerm(const Json::Value &Result);
  /// Whether this entry's copy of the list whose change counter is the field
  /// \p Change is up to date with the leader's.
  bool isCurrent(const Json::Value &Result, const char *Change,
                 std::uint64_t Known) const;
  PoolMember &getOrCreatePool(const PoolName &Name,
                              const DataCentreId &DataCentre);
  /// Recomputes the ranking of each pool's candidates if the entries, the pools
  /// or the owners have changed.
  void rankCandidates();
  /// The current owners of the pools for which this entry is a candidate.
  std::map<PoolName, Endpoint> knownOwners() const;

  // Pings and claims (poolowner.cpp).
  void tick();
  void pingAll();
  std::map<Endpoint, std::set<PoolName>> pingsDue(bool Follow) const;
  void ping(const Endpoint &To, const std::set<PoolName> &About,
            bool TellsSuspects = false);
  void pinged(const Endpoint &To, Time Sent, const Outcome<Json::Value> &Reply);
  void answerPing(const Json::Value &Params, const Reply &Answer);
  void takePools(const Json::Value &From, const Endpoint &Speaker);
  void tellCandidates(const PoolMember &Of);
  /// Tasks that may crash their workers. All entries that ping hear of those
  /// that this owner has seen and send them along with the job, so that the
  /// pool's next owner knows of them; one that has just started hears of all.
  /// Written anew every PingInterval at most, or if \p Fresh: dozens of entries
  /// ping an owner that may know of hundreds of them.
  const Json::Value &suspectsToTell(bool AskerIsYoung, bool Fresh);
  /// Tells those that may own the pool next at once.
  void tellSuspects(const PoolMember &Of);
  void takeSuspects(const Json::Value &From);
  void addSuspects(PendingRequest &Request) const;
  /// Gives up what waits here if this process has stood still.
  void notePause(Time Now);
  void followOwners();
  /// Of owners that have just claimed their pools: ends what they wait for if
  /// all entries have started anew.
  void noteEarlierOwnersGone();
  /// The age of this process while it is young.
  std::optional<Duration> youngAge() const;
  /// Of an entry that owns several pools: lets go of one for an entry that owns
  /// none.
  void shareOwnership();
  /// Stops the jobs of entries that have been silent in two ticks in a row.
  void dropSilentOrigins(Time Now);
  /// Takes this entry's own stamp that a message of \p From brings back.
  void noteEcho(const Endpoint &From, const Json::Value &Params);
  /// Whether no later ping of the same process has come. A cut holds pings up,
  /// and what they say of owners is of the past when it heals.
  bool isNewest(const Endpoint &From, const Json::Value &Params);
  /// Takes the incarnation that a message of \p From carries.
  void noteIncarnation(const Endpoint &From, const Json::Value &Params);
  /// Whether \p Owner can tell from the next message that it is heard here.
  bool hasFreshEcho(const Endpoint &Owner) const;
  /// Whether a job may be sent to the pool's owner without pinging it first.
  bool isReachable(const PoolMember &Pool) const;
  PoolMember *findPool(const PoolName &Name) const;
  PoolMember *poolOfMessage(const Json::Value &Params) const;

  // An owner's work for other entries (ownercalls.cpp).
  void answerDrop(const Json::Value &Params, const Reply &Answer);
  void answerRun(const Json::Value &Params, const Reply &Answer);

  // Choice of a pool for a job (poolchoice.cpp).
  PoolMember *choosePool(const Job &Wanted,
                         const std::set<PoolName> &Excluded) const;
  std::vector<PoolMember *> poolsToCompare(const Job &Wanted,
                                           const std::set<PoolName> &Excluded,
                                           PoolMember *Home) const;
  /// The extra run time of a task in a pool that doesn't contain the rack with
  /// its data: it takes about twice as long there.
  Duration costAwayFromData(const Job &Wanted, const PoolMember &Pool) const;
  /// Whether the pool's workers are all in an evacuated data centre.
  bool isEvacuated(const PoolMember &Pool) const;
  bool areAllEvacuated() const;
  void recordRefusal(PendingRequest &Request, const JobAnswer &Refusal) const;
  /// Sends a job that a pool's owner has refused to another pool; returns
  /// whether there is one.
  bool tryAnotherPool(const PendingRequestPtr &Request,
                      const JobAnswer &Refusal);

  // Jobs that are brought to pools of this entry (registration.cpp).
  /// The pools of \p DataCentre among which its entries' jobs have their homes;
  /// none where there is one pool of all workers.
  const std::vector<PoolName> &homesIn(const DataCentreId &DataCentre) const;
  /// The home of a job of this entry's callers; empty without homes.
  PoolName homeOfJob(const JobId &Id) const;
  /// Runs a job once its registrar agrees. \p In has a scheduler.
  void takeIn(const IncomingPtr &New, PoolMember &In);
  std::optional<Endpoint> registrarOf(const PoolName &Home);
  /// Asks for all jobs that wait for the registrar of \p Home, unless a
  /// question is under way: one that is slow is not asked more for it.
  void askRegistrar(const PoolName &Home);
  /// The same where this entry is the registrar.
  void askHere(const PoolName &Home);
  void noteUnanswered(const PoolName &Home,
                      const std::vector<Json::Value> &Releases);
  void takeRegistrarAnswer(const PoolName &Home, std::uint64_t Serial,
                           const std::vector<IncomingPtr> &Asked,
                           const std::vector<Json::Value> &Releases,
                           const Outcome<Json::Value> &Result);
  void claimed(const IncomingPtr &What, const ClaimAnswer &Answer);
  void runIncoming(const IncomingPtr &What, PoolMember &In);
  /// Asks anew for jobs whose registrar has not answered, and gives up those
  /// that have waited for too long.
  void askRegistrarsAgain();
  /// Returns whether the job waited for its registrar.
  bool dropIncoming(const JobId &Id, const WaiterId &From);
  /// Whether the job is in the pool of this entry, or on its way there.
  bool holds(const JobId &Id, const PoolName &Pool) const;
  /// A sending of the job has not run here and will not. The job may go to any
  /// pool, unless another sending keeps it here.
  void giveBack(const Incoming &Of);
  static Claimant claimantOf(const Incoming &Of);

  // The registers of the homes that this entry owns (registrar.cpp).
  /// Null unless this entry owns \p Home.
  JobRegister *registerOf(const PoolName &Home);
  /// Asks the owners of pools for what they have, for registers that are not
  /// complete.
  void collectReports();
  void askForReport(const PoolName &Home, JobRegister &Of, PoolMember &About);
  void takeReport(const PoolName &Home, FencingToken Token,
                  const PoolName &Pool, const Outcome<Json::Value> &Result);
  void completeIfKnown(const PoolName &Home, JobRegister &Of);
  std::vector<JobId> jobsAtHome(const PoolName &Home,
                                const Scheduler &Of) const;
  void answerReport(const Json::Value &Params, const Reply &Answer);
  /// An owner heeds no registrar of \p Home below this token. Whoever had it
  /// may be gone: the owner of the home outbids it then.
  void noteHeeded(const PoolName &Home, FencingToken Heeded);
  /// The register if this entry may agree to claims by it; else null.
  JobRegister *completeRegisterOf(const PoolName &Home);
  /// Nothing if it may not.
  std::optional<ClaimAnswer> agreeTo(const PoolName &Home, const JobId &Id,
                                     const Claimant &By);
  void releaseHere(const PoolName &Home, const JobId &Id, const Claimant &By);
  void answerRegister(const Json::Value &Params, const Reply &Answer);

  // Transient jobs of this entry's callers (entryjobs.cpp).
  void dispatch(const PendingRequestPtr &Request);
  PoolMember *poolForRequest(const PendingRequestPtr &Request);
  void runLocally(const PendingRequestPtr &Request, PoolMember &Pool);
  void sendToOwner(const PendingRequestPtr &Request);
  /// Writes the fields that identify the waiting caller and the target pool.
  void writeRequestOrigin(const PendingRequest &Request,
                          Json::Value &Params) const;
  /// Sends the job to \p Pool, which its registrar has named as its holder.
  void redirect(const PendingRequestPtr &Request, const PoolName &Pool);
  void handleOwnerReply(const PendingRequestPtr &Request, std::uint64_t Attempt,
                        const Endpoint &From,
                        const Outcome<Json::Value> &Result);
  /// Handles the answer of the owner that the job was sent to.
  void handleOwnerAnswer(const PendingRequestPtr &Request,
                         const JobAnswer &Answer);
  void finish(const PendingRequestPtr &Request, const JobAnswer &Answer);
  /// Answers a request that was not dispatched.
  void refuse(const JobRequest &Request, const JobAnswer &Answer,
              const Callback &Done) const;
  void logAnswer(const PendingRequest &Request, const JobAnswer &Answer) const;
  void giveUpAfterPause(const PendingRequestPtr &Request);
  /// Whether a request may have waited in a socket while this process was
  /// paused.
  bool hasJustPaused() const;
  void abandon(const PendingRequestPtr &Request);
  /// Whether \p Origin was heard recently. Otherwise the caller of a job from
  /// there may already have sent it again through another entry.
  bool wasHeardRecently(const Endpoint &Origin);
  void notifyDropped(const Endpoint &To, const Json::Value &Params, int Tries);
  void park(const PendingRequestPtr &Request);
  void redispatchParked();
  void redispatch(const PendingRequestPtr &Request);

  const EntryDependencies Deps_;
  const Endpoint Self_;
  const DataCentreId DataCentre_;
  const RoutingReader Reader_;
  const LeaseSettings Lease_;
  JobGateway Control_;

  Routing Routing_;
  ConfigVersion RoutingVersion_;
  PoolPlan Plan_ = PoolPlan::One;
  RackGroups Groups_;
  /// The pools of the recorded division, by data centre.
  std::map<DataCentreId, std::vector<PoolName>> Homes_;
  /// The version of this entry's list of workers: the term of the leader that
  /// issued it, and the number of changes included.
  std::uint64_t WorkerListTerm_ = 0;
  std::uint64_t WorkerListChange_ = 0;
  /// The data centres that the list of workers covers; empty means all.
  std::set<DataCentreId> CoveredDataCentres_;
  /// Failed fetches of the list of workers; each one moves this entry on to the
  /// next control VM.
  std::size_t FailedFetches_ = 0;
  /// The leader of the term ListsTerm_ knows all workers, and this entry has
  /// its list.
  bool KnowsAllWorkers_ = false;
  bool FetchingDocument_ = false;
  bool FetchingWorkers_ = false;
  /// Evacuated data centres, and the number of the last order applied.
  std::set<DataCentreId> Evacuated_;
  EvacuationNumber LastEvacuation_;
  /// The pool of each worker.
  std::map<WorkerId, PoolName> WorkerPools_;
  /// Known entries, and when a leader's list last contained each.
  std::map<EntryPlace, Time> Entries_;
  /// The term of the leader that issued the lists of entries and owners, and
  /// the number of changes that each includes.
  std::uint64_t ListsTerm_ = 0;
  std::uint64_t EntriesChange_ = 0;
  std::uint64_t OwnersChange_ = 0;
  /// The leader sends the pools' loads in rounds, some pools per reply: the
  /// change count that the last full round covers, the change count at the
  /// start of the current round, and the last pool sent in it.
  std::uint64_t LoadsChange_ = 0;
  std::uint64_t LoadsRoundStart_ = 0;
  std::string LastLoadPool_;
  /// The leader's last list of entries, and when it was last applied.
  std::vector<EntryPlace> ReportedEntries_;
  Time EntriesReportedAt_;
  /// The leader of the log runs the scheduler, for transient jobs too.
  bool ControlSchedules_ = false;

  /// Shared by all pools.
  PeerTable Peers_;
  Pools Pools_;
  /// Entries or pools were added or removed since candidates were ranked.
  bool RanksOutdated_ = true;
  /// The owners that the current ranking is based on.
  std::map<PoolName, Endpoint> RankedOwners_;
  /// Counts the rounds of pings.
  std::uint64_t PingRounds_ = 0;
  bool Stopping_ = false;
  /// The last tick, and the end of the last pause that was noticed.
  std::optional<Time> TickedAt_;
  std::optional<Time> PausedUntil_;
  /// When this entry last let go of a pool for another entry.
  Time SharedAt_;
  std::map<Endpoint, std::size_t> PingsUnderWay_;
  /// The clock of an entry in its last answer, to be sent back to it.
  struct Echo {
    std::uint64_t Stamp = 0;
    Time Taken;
  };
  std::map<Endpoint, Echo> Echoes_;
  /// Of an owner: until when each entry has certainly heard it.
  std::map<Endpoint, Time> Contacts_;
  /// Entries with jobs here that were silent in the last tick.
  std::set<Endpoint> SilentOrigins_;

  /// When this process started.
  const Time StartedAt_;
  /// Tells this process from earlier ones at its address.
  const std::uint64_t Incarnation_;
  /// The process that was heard last at each entry's address.
  std::map<Endpoint, std::uint64_t> Incarnations_;
  /// When that process sent the latest of its pings that has come, by its
  /// clock.
  std::map<Endpoint, std::uint64_t> LatestPings_;
  /// Of the homes that this entry owns.
  std::map<PoolName, JobRegister> Registers_;
  /// A registrar's question to the owner of a pool.
  struct ReportQuestion {
    /// The token of the registrar.
    FencingToken Of;
    Time NotBefore;
    /// Until it is asked again.
    Duration Pause{0};
  };
  /// By home and pool.
  std::map<std::pair<PoolName, PoolName>, ReportQuestion> ReportsAsked_;
  /// The highest token of a registrar of each home that this entry has answered
  /// or been answered by; it heeds no lower one.
  std::map<PoolName, FencingToken> Heeded_;
  /// Jobs that wait for their registrars.
  std::set<IncomingPtr, ByArrival> Incoming_;
  /// An owner's questions to the registrar of one home.
  struct Questions {
    /// Where the last one was sent, and whether its answer is missing.
    Endpoint At;
    bool UnderWay = false;
    std::uint64_t Serial = 0;
    /// After one that failed; and since when all have.
    Time NotBefore;
    std::optional<Time> FailsSince;
    /// Claims to be given back with the next one.
    std::vector<Json::Value> Releases;
    /// Of a home in another data centre: its registrar, as an entry there
    /// knows.
    std::optional<Endpoint> Told;
  };
  std::map<PoolName, Questions> Questions_;
  std::uint64_t LastIncoming_ = 0;
  std::uint64_t LastQuestion_ = 0;
  /// Tasks that may crash their workers, as owners have told.
  SuspectsByJob Suspects_;
  /// What was written last of them, for usual and for young askers.
  struct WrittenSuspects {
    std::optional<Time> At;
    Json::Value Written;
  };
  std::array<WrittenSuspects, 2> SuspectsTold_;
  /// Transient jobs of this entry's callers that have not been answered.
  std::set<PendingRequestPtr> PendingRequests_;
  std::uint64_t LastSerial_ = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
