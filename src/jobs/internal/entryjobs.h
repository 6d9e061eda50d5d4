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
#include "jobs/internal/jobregister.h"
#include "jobs/internal/poolmember.h"
#include "jobs/routing.h"

#include <array>

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
  EntryJobs(EntryNeeds Needs, EntryPlace Self, std::vector<Endpoint> ControlVms,
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
  bool ownsAPool() const;

private:
  using Reply = IRpcServer::Reply;
  struct Ask;
  using AskPtr = std::shared_ptr<Ask>;
  struct Incoming;
  using IncomingPtr = std::shared_ptr<Incoming>;
  struct ByArrival {
    bool operator()(const IncomingPtr &One, const IncomingPtr &Other) const;
  };
  using Pools = std::map<PoolName, std::unique_ptr<PoolMember>>;

  // What control VMs say (entrysync.cpp).
  Json::Value askControl() const;
  void takeControl(const Json::Value &Result, const Endpoint &From);
  /// The control VM that is asked for what is long: entries spread themselves
  /// over all of them.
  Endpoint sourceOfLists() const;
  /// Asks \p From for the document; \p OrElse is asked if that fails.
  void fetchDocument(const Endpoint &From,
                     const std::optional<Endpoint> &OrElse);
  /// The same for the list of workers.
  void fetchWorkers(const Endpoint &From,
                    const std::optional<Endpoint> &OrElse);
  void takeDocument(const Json::Value &Result);
  void takePlan(const Json::Value &Result);
  void takeEvacuations(const Json::Value &Result);
  /// How many tasks run under this entry's orders in evacuated data centres.
  Json::Value writeEvacuatedRunning() const;
  void takeWorkers(const Json::Value &Result);
  void takeWorkerList(const Json::Value &Result);
  /// Returns the pool that it was in, or null.
  PoolMember *forgetWorker(const WorkerId &Worker);
  /// The data centres whose pools this entry may own.
  std::set<DataCentreId> dataCentresWanted() const;
  /// Asks for the workers of those from now on.
  void wantDataCentres();
  /// What this entry has of the list of workers.
  void writeWorkersKnown(Json::Value &Params) const;
  /// Takes what \p Result says of other entries; returns whether it is
  /// anything.
  bool takeNamedEntries(const Json::Value &Result);
  void takeEntryList(const Json::Value &Result);
  void takeOwners(const Json::Value &Result);
  /// Forgets the lists of a leader before.
  void followLists(const Json::Value &Result);
  /// Whether the leader's list with the number of changes \p Change is the one
  /// that is known here.
  bool isCurrent(const Json::Value &Result, const char *Change,
                 std::uint64_t Known) const;
  PoolMember &memberOf(const PoolName &Name, const DataCentreId &DataCentre);
  /// Ranks the candidates of each pool anew if the entries, the pools or the
  /// owners have changed.
  void rankCandidates();
  /// The owners of the pools that this entry may own.
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
  void addSuspects(Ask &What) const;
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
  /// Whether a job may be sent to the pool's owner at once.
  bool isReachable(const PoolMember &In) const;
  PoolMember *findPool(const PoolName &Name) const;
  PoolMember *poolOfMessage(const Json::Value &Params) const;

  // An owner's work for other entries (ownercalls.cpp).
  void answerDrop(const Json::Value &Params, const Reply &Answer);
  void answerRun(const Json::Value &Params, const Reply &Answer);

  // Which pool a job goes to (poolchoice.cpp).
  PoolMember *choosePool(const Job &Wanted,
                         const std::set<PoolName> &Without) const;
  std::vector<PoolMember *> poolsToWeigh(const Job &Wanted,
                                         const std::set<PoolName> &Without,
                                         PoolMember *Home) const;
  /// What a task loses away from the rack that holds its data: it takes about
  /// twice as long there.
  Duration lossAwayFromData(const Job &Wanted, const PoolMember &In) const;
  /// Whether the pool's workers are all in an evacuated data centre.
  bool isEvacuated(const PoolMember &In) const;
  bool areAllEvacuated() const;
  void noteRefusedBy(Ask &What, const JobAnswer &Refusal) const;
  /// Takes a job that a pool's owner has refused to another pool; returns
  /// whether there is one.
  bool tryElsewhere(const AskPtr &What, const JobAnswer &Refusal);

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
  void dispatch(const AskPtr &What);
  PoolMember *poolFor(const AskPtr &What);
  void runHere(const AskPtr &What, PoolMember &In);
  void sendToOwner(const AskPtr &What);
  /// Writes whose job it is and which pool it is meant for.
  void writeAsker(const Ask &What, Json::Value &Params) const;
  /// The job's registrar has named \p Pool: it goes there.
  void registered(const AskPtr &What, const PoolName &Pool);
  void answered(const AskPtr &What, std::uint64_t Attempt, const Endpoint &From,
                const Outcome<Json::Value> &Result);
  /// Takes the answer of the owner that the job was sent to.
  void settle(const AskPtr &What, const JobAnswer &Answer);
  void finish(const AskPtr &Asked, const JobAnswer &Answer);
  /// Answers a request that went nowhere.
  void refuse(const JobRequest &Request, const JobAnswer &Answer,
              const Callback &Done) const;
  void logAnswer(const Ask &Of, const JobAnswer &Told) const;
  void giveUpAfterPause(const AskPtr &What);
  /// Whether a request may have waited in a socket while this process stood
  /// still.
  bool hasJustPaused() const;
  void abandon(const AskPtr &What);
  /// Whether \p Origin was heard lately: what has lain here for longer may be
  /// of a caller that has come back elsewhere.
  bool isFresh(const Endpoint &Origin);
  void tellDropped(const Endpoint &To, const Json::Value &Params, int Tries);
  void park(const AskPtr &What);
  void redispatchParked();
  void redispatch(const AskPtr &What);

  const EntryNeeds Needs_;
  const Endpoint Self_;
  const DataCentreId DataCentre_;
  const RoutingReader Reader_;
  const LeaseSettings Lease_;
  JobGateway Control_;

  Routing Routing_;
  ConfigVersion RoutingFrom_;
  PoolPlan Plan_ = PoolPlan::One;
  RackGroups Groups_;
  /// The pools of the recorded division, by data centre.
  std::map<DataCentreId, std::vector<PoolName>> Homes_;
  /// Which list of workers this entry has: of which leader's term, and how many
  /// changes it covers.
  std::uint64_t WorkersOf_ = 0;
  std::uint64_t WorkersChange_ = 0;
  /// The data centres whose workers it covers; none stands for all.
  std::set<DataCentreId> WorkersIn_;
  /// Questions for long lists that got no answer; another VM is asked next.
  std::size_t FetchesLost_ = 0;
  /// The leader of ListsOf_ knows all workers, and this entry its list.
  bool KnowsAllWorkers_ = false;
  bool FetchesDocument_ = false;
  bool FetchesWorkers_ = false;
  /// Data centres that are evacuated, and the last order that this covers.
  std::set<DataCentreId> Evacuated_;
  EvacuationNumber EvacuationsKnown_;
  /// In which pool each worker is.
  std::map<WorkerId, PoolName> WorkerPools_;
  /// Entries, and when the leader last named each.
  std::map<EntryPlace, Time> Entries_;
  /// Of which leader's term the lists of entries and owners are, and how many
  /// changes each covers.
  std::uint64_t ListsOf_ = 0;
  std::uint64_t EntriesChange_ = 0;
  std::uint64_t OwnersChange_ = 0;
  /// Loads are told in turn: the changes that are covered, those that were
  /// there when the turn under way began, and the last pool told in it.
  std::uint64_t LoadsChange_ = 0;
  std::uint64_t LoadsBegan_ = 0;
  std::string LoadsAfter_;
  /// The leader's last list of entries, and when it was last taken.
  std::vector<EntryPlace> ToldEntries_;
  Time EntriesNamed_;
  /// The leader of the log schedules itself, transient jobs too.
  bool ControlSchedules_ = false;

  /// Shared by all pools.
  PeerTable Peers_;
  Pools Pools_;
  /// Entries or pools have come or gone since candidates were ranked.
  bool RanksDue_ = true;
  /// The owners that the ranks were made with.
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
  /// Jobs of this entry's callers that have not been answered.
  std::set<AskPtr> Asks_;
  std::uint64_t LastSerial_ = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
