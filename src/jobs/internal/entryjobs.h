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
  EntryJobs(EntryDependencies Deps, ListedEntry Self,
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
  void setCapacity(const scheduling::VmCapacity &Capacity) override;
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
  /// The incarnations that this entry's schedulers have found gone and that
  /// control still lists, by id; null if there are none.
  Json::Value writeGoneWorkers() const;
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
  /// The capacities of the known entries, and of this one.
  std::map<Endpoint, scheduling::VmCapacity> knownCapacities() const;
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
  void reportOwnership(const std::map<PoolName, Endpoint> &Owners);
  /// Ranks the candidates of a data centre's pools where all are alike. \p
  /// Pools gives each pool its owner, \p Owners those of all pools.
  void rankAlike(const std::map<PoolName, std::optional<Endpoint>> &Pools,
                 const std::vector<Endpoint> &Candidates,
                 const std::map<PoolName, Endpoint> &Owners);
  /// The current owners of the pools for which this entry is a candidate.
  std::map<PoolName, Endpoint> knownOwners() const;

  // Pings and claims (poolowner.cpp).
  void tick();
  void pingAll();
  std::map<Endpoint, std::set<PoolName>> pingsDue(bool Follow) const;
  void ping(const Endpoint &To, const std::set<PoolName> &PoolNames,
            bool IncludeSuspects = false);
  void handlePingReply(const Endpoint &To, Time Sent,
                       const Outcome<Json::Value> &Result);
  void answerPing(const Json::Value &Params, const Reply &Answer);
  void applyPoolStatements(const Json::Value &From, const Endpoint &Speaker);
  void notifyCandidates(const PoolMember &Pool);
  /// The tasks that may crash their workers, as pings and their answers carry
  /// them: those that this owner has seen itself. Entries that receive them
  /// send them along with the job, so that the pool's next owner knows them. A
  /// peer that has recently started gets all that are known here. The encoded
  /// list is reused for PingInterval unless \p Fresh is set: dozens of entries
  /// ping an owner that may know of hundreds of such tasks.
  const Json::Value &suspectsToSend(bool PeerRecentlyStarted, bool Fresh);
  /// Sends them at once to the entries that may own the pool next.
  void sendSuspects(const PoolMember &Pool);
  void applySuspects(const Json::Value &From);
  /// How long ago the job was sent to another owner than the one that it is
  /// being sent to, if it was.
  std::optional<Duration> sentElsewhereAgo(const PendingRequest &Request) const;
  void addSuspects(PendingRequest &Request) const;
  /// Gives up requests that were not sent yet if this process was paused.
  void detectPause(Time Now);
  void followOwners();
  /// For pools that this entry has just claimed: ends the wait for earlier
  /// owners and registrars if all entries have been restarted.
  void noteEarlierOwnersEnded();
  /// The age of this process if it has recently started.
  std::optional<Duration> ageIfRecentlyStarted() const;
  /// If this entry owns several pools, releases one of them to an entry that
  /// owns none.
  void shareOwnership();
  /// Stops the jobs of entries that have been silent in two ticks in a row.
  void dropSilentOrigins(Time Now);
  /// Reads the time stamp of this entry that a message of \p From returns.
  void noteEcho(const Endpoint &From, const Json::Value &Params);
  /// Whether no later ping of the same process has arrived. A network partition
  /// delays pings, and once it heals their claims of ownership are out of date.
  bool isLatestPing(const Endpoint &From, const Json::Value &Params);
  /// Reads the incarnation that a message of \p From carries.
  void noteIncarnation(const Endpoint &From, const Json::Value &Params);
  /// Whether the next message proves to \p Owner that this entry hears it.
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
  /// The pools of \p DataCentre that serve as homes for the jobs of its
  /// entries; empty if there is a single pool of all workers.
  const std::vector<PoolName> &homesIn(const DataCentreId &DataCentre) const;
  /// The home of a job of this entry's callers; empty without homes.
  PoolName homeOfJob(const JobId &Id) const;
  /// Runs a job once its registrar agrees. \p Member has a scheduler.
  void admitJob(const IncomingPtr &Request, PoolMember &Member);
  std::optional<Endpoint> findRegistrar(const PoolName &Name);
  /// Sends the registrar of \p Home the claims of all jobs that wait for it,
  /// unless a request is under way: a slow registrar gets no additional load.
  void askRegistrar(const PoolName &Home);
  /// The same where this entry is the registrar.
  void claimLocally(const PoolName &Home);
  void handleRegistrarFailure(const PoolName &Home,
                              const std::vector<Json::Value> &Releases);
  void handleRegistrarReply(const PoolName &Home, std::uint64_t Serial,
                            const std::vector<IncomingPtr> &Asked,
                            const std::vector<Json::Value> &Releases,
                            const Outcome<Json::Value> &Result);
  void handleClaimAnswer(const IncomingPtr &Request, const ClaimAnswer &Answer);
  void runIncoming(const IncomingPtr &Request, PoolMember &Member);
  /// Repeats the claims of jobs whose registrar has not answered, and gives up
  /// the jobs that have waited for too long.
  void retryRegistrars();
  /// Returns whether the job waited for its registrar.
  bool dropIncoming(const JobId &Id, const WaiterId &From);
  /// Whether the job is in the pool of this entry, or on its way there.
  bool holds(const JobId &Id, const PoolName &Pool) const;
  /// Releases the claim for a submission of a job that has not run here and
  /// will not, so that the job may go to any pool. Does nothing while another
  /// submission of the job is here.
  /// Releases the claim that \p Answer has agreed to, of a job that is not
  /// taken after all, unless an earlier owner of the pool had the job.
  void releaseUnused(const Incoming &Request, const ClaimAnswer &Answer);
  void releaseClaim(const Incoming &Request);
  static Claimant claimantOf(const Incoming &Request);

  // The registers of the homes that this entry owns (registrar.cpp).
  /// Null unless this entry owns \p Home.
  JobRegister *registerOf(const PoolName &Home);
  /// Asks the owners of pools which jobs they have, for registers that are not
  /// complete.
  void collectReports();
  void requestReport(const PoolName &Home, JobRegister &Register,
                     PoolMember &Member);
  void handleReportReply(const PoolName &Home, FencingToken Token,
                         const PoolName &Pool,
                         const Outcome<Json::Value> &Result);
  void completeIfKnown(const PoolName &Home, JobRegister &Register);
  std::vector<JobId> jobsAtHome(const PoolName &Home,
                                const Scheduler &PoolScheduler) const;
  void answerReport(const Json::Value &Params, const Reply &Answer);
  /// Notes that an owner of a pool accepts no registrar of \p Home with a lower
  /// token. The registrar with that token may be lost; then the owner of the
  /// home has to take a higher one.
  void noteAcceptedToken(const PoolName &Home, FencingToken AcceptedToken);
  /// The register if this entry may agree to claims by it; else null.
  JobRegister *completeRegisterOf(const PoolName &Home);
  /// Nothing if this entry may not agree to claims.
  std::optional<ClaimAnswer>
  registerClaim(const PoolName &Home, const JobId &Id, const Claimant &Claim);
  void releaseLocally(const PoolName &Home, const JobId &Id,
                      const Claimant &Claim);
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
  /// Of this VM, from its settings.
  scheduling::VmCapacity Capacity_;
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
  struct KnownEntry {
    /// When a leader's list last contained it.
    Time ListedAt;
    scheduling::VmCapacity Capacity;
  };
  std::map<EntryPlace, KnownEntry> Entries_;
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
  std::vector<ListedEntry> ReportedEntries_;
  Time EntriesReportedAt_;
  /// The leader of the log runs the scheduler, for transient jobs too.
  bool ControlSchedules_ = false;

  /// Shared by all pools.
  PeerTable Peers_;
  Pools Pools_;
  /// Entries or pools were added or removed since candidates were ranked.
  bool RanksOutdated_ = true;
  /// The candidates differ, so that pools are ranked by their capacities.
  bool RanksByCapacity_ = false;
  /// The owners that the current ranking is based on.
  std::map<PoolName, Endpoint> RankedOwners_;
  /// Counts the rounds of pings.
  std::uint64_t PingRounds_ = 0;
  bool Stopping_ = false;
  /// The last tick, and the end of the last pause that was noticed.
  std::optional<Time> LastTickAt_;
  std::optional<Time> PausedUntil_;
  /// When this entry last released a pool to another entry.
  Time LastSharedAt_;
  std::map<Endpoint, std::size_t> PingsUnderWay_;
  /// The time stamp in an entry's last answer, which is sent back to it, and
  /// when the request for that answer was sent.
  struct Echo {
    std::uint64_t Stamp = 0;
    Time RequestSentAt;
  };
  std::map<Endpoint, Echo> Echoes_;
  /// For an owner: the latest time at which each entry is known to have heard
  /// it.
  std::map<Endpoint, Time> ConfirmedUntil_;
  /// Entries with jobs here that were silent in the last tick.
  std::set<Endpoint> SilentOrigins_;

  /// When this process started.
  const Time StartedAt_;
  /// Distinguishes this process from earlier ones at its address.
  const std::uint64_t Incarnation_;
  /// The process that was heard last at each entry's address.
  std::map<Endpoint, std::uint64_t> Incarnations_;
  /// When that process sent the latest of its pings that have arrived, by its
  /// own clock.
  std::map<Endpoint, std::uint64_t> LatestPings_;
  /// Of the homes that this entry owns.
  std::map<PoolName, JobRegister> Registers_;
  /// A registrar's request for a report of the owner of a pool.
  struct ReportRequest {
    FencingToken RegistrarToken;
    Time RetryAt;
    /// The delay before the request is repeated; doubles each time.
    Duration Pause{0};
  };
  /// By home and pool.
  std::map<std::pair<PoolName, PoolName>, ReportRequest> ReportRequests_;
  /// The highest token of a registrar of each home that this entry has
  /// exchanged messages with; registrars with a lower token are not accepted.
  std::map<PoolName, FencingToken> AcceptedTokens_;
  /// Jobs that wait for their registrars.
  std::set<IncomingPtr, ByArrival> Incoming_;
  /// An owner's requests to the registrar of one home.
  struct RegistrarRequests {
    /// Where the last request was sent, and whether its answer is outstanding.
    Endpoint At;
    bool UnderWay = false;
    std::uint64_t Serial = 0;
    /// When to repeat a request that failed, and since when all have failed.
    Time RetryAt;
    std::optional<Time> FailingSince;
    /// Claims to be released with the next request.
    std::vector<Json::Value> Releases;
    /// For a home in another data centre: its registrar as named by an entry of
    /// that data centre.
    std::optional<Endpoint> ReportedRegistrar;
  };
  std::map<PoolName, RegistrarRequests> RegistrarRequests_;
  std::uint64_t LastIncoming_ = 0;
  std::uint64_t LastQuestion_ = 0;
  /// Tasks that may crash their workers, as reported by owners.
  SuspectsByJob Suspects_;
  /// The list as it was last encoded: for peers that have been running for
  /// some time, and for peers that have recently started.
  struct EncodedSuspects {
    std::optional<Time> EncodedAt;
    Json::Value Encoded;
  };
  std::array<EncodedSuspects, 2> EncodedSuspects_;
  /// Transient jobs of this entry's callers that have not been answered.
  std::set<PendingRequestPtr> PendingRequests_;
  std::uint64_t LastSerial_ = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
