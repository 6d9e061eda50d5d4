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
  void addSuspects(Ask &What) const;
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
  /// Jobs of this entry's callers that have not been answered.
  std::set<AskPtr> Asks_;
  std::uint64_t LastSerial_ = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ENTRYJOBS_H
