//===- poolmember.cpp - An entry's part in one pool -----------------------===//
//
// Claims, and the start and stop of the scheduler.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/poolmember.h"

#include "framework/log/log.h"
#include "jobs/internal/jobmessages.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

/// How long an owner's report about its load is used.
constexpr Duration LoadValidity = std::chrono::seconds(2);
/// For this long a load reported by the owner itself takes precedence over
/// control's reports.
constexpr Duration DirectLoadValidity = std::chrono::milliseconds(500);

/// A candidate takes over a released pool within two pings; after this time the
/// entry that released it may claim it again.
constexpr Duration ReleaseTimeout = std::chrono::seconds(1);

/// The time in which entries submit the jobs of an earlier owner again.
constexpr Duration OrphanGracePeriod = std::chrono::milliseconds(1000);

/// How long a new owner keeps runs of unknown jobs, so that the entries can
/// submit these jobs again. After an owner that was silent for long few runs
/// are left, and they are stopped at once.
Duration orphanGracePeriod(const OwnerLoss &Loss) {
  return Loss.Released || Loss.RefusedAt ? OrphanGracePeriod : Duration(0);
}

RetVal<OwnerClaim> readClaim(const Json::Value &From, const char *At,
                             const char *Token) {
  BOOST_LEAF_AUTO(Number, json::readUintOr(From, Token, 0));
  if (Number == 0)
    return OwnerClaim();
  BOOST_LEAF_AUTO(Text, json::readString(From, At));
  BOOST_LEAF_AUTO(Address, parseEndpoint(Text));
  return OwnerClaim{Address, FencingToken(Number)};
}

/// The work of all tasks, as declared.
scheduling::CoreTime workOf(const JobSpec &Spec) {
  scheduling::CoreTime Work;
  for (const StepSpec &Step : Spec.Steps)
    Work +=
        scheduling::workOf(Step.Needs.CpuMillis, Step.Estimate * Step.Count);
  return Work;
}

} // namespace

PoolMember::PoolMember(PoolMemberDependencies Deps, PoolName Name,
                       DataCentreId DataCentre, const Endpoint &Self)
    : Deps_(std::move(Deps)), Name_(std::move(Name)),
      DataCentre_(std::move(DataCentre)), View_(Self, Deps_.Peers) {}

void PoolMember::applyCandidates(const std::vector<Endpoint> &Ranked,
                                 bool Candidate) {
  Candidate_ = Candidate;
  applyEntries(View_, Ranked, Deps_.Clock.now());
  // The pool's data centre has entries of its own again, which choose an owner
  // among themselves without this entry.
  if (!Candidate_ && View_.Owner.At == View_.Self)
    View_.Owner = OwnerClaim();
}

bool PoolMember::isOwned() const {
  return isOwnerAlive(View_, Deps_.Clock.now());
}

bool PoolMember::claimIfDue() {
  if (!Candidate_)
    return false;
  auto Claim =
      jobs::claimIfDue(View_, Deps_.Clock.now(), Deps_.Clock.wallNow());
  if (!Claim)
    return false;
  ClaimedAt_ = Deps_.Clock.now();
  logEvent(LogLevel::Info, Module, "pool_claimed",
           {{"pool", Name_},
            {"token", Claim->Token.value()},
            {"candidates", View_.Ranked.size()},
            {"earlier", View_.Earlier.At.text()},
            {"let_go", earlierOwnerLoss(View_, Deps_.Clock.now()).Released}});
  return true;
}

void PoolMember::releaseOwnership() {
  ReleasingSince_ = Deps_.Clock.now();
  View_.Stopping = true;
}

void PoolMember::endRelease() {
  if (!ReleasingSince_)
    return;
  bool Taken =
      View_.Owner.Token != FencingToken(0) && View_.Owner.At != View_.Self;
  if (!Taken && Deps_.Clock.now() - *ReleasingSince_ < ReleaseTimeout)
    return;
  ReleasingSince_.reset();
  View_.Stopping = false;
  if (Taken || View_.Owner.At != View_.Self)
    return;
  // Its jobs and their runs were given up with the release, so the pool is
  // taken again like one that another entry has owned in between. Under the old
  // token the numbers of runs would begin anew beside the earlier runs.
  raiseToken(View_, Deps_.Clock.wallNow());
  logEvent(LogLevel::Warning, Module, "pool_release_failed",
           {{"pool", Name_}, {"token", View_.Owner.Token.value()}});
  startScheduler(true);
}

bool PoolMember::followOwner(bool Disengaged) {
  endRelease();
  if (outbidSilentRival(View_, Deps_.Clock.now(), Deps_.Clock.wallNow()))
    logEvent(LogLevel::Info, Module, "pool_rival_outbid",
             {{"pool", Name_}, {"token", View_.Owner.Token.value()}});
  bool Owns = ownsPool(View_) && !Disengaged;
  bool Raised = Scheduler_ && Owns && Scheduler_->token() != View_.Owner.Token;
  if (Raised) {
    logEvent(LogLevel::Info, Module, "pool_token_raised",
             {{"pool", Name_}, {"token", View_.Owner.Token.value()}});
    if (Name_ == poolOfAll())
      Scheduler_->raiseToken(View_.Owner.Token, RaisedForRival_);
    else
      startScheduler(true);
    RaisedForRival_ = false;
  }
  if (Scheduler_ && !Owns) {
    logEvent(LogLevel::Warning, Module, "pool_let_go",
             {{"pool", Name_},
              {"token", Scheduler_->token().value()},
              {"owner", View_.Owner.At.text()},
              {"owner_token", View_.Owner.Token.value()},
              {"settled", Scheduler_->isSettled()}});
    WasSettledAtEnd_ = Scheduler_->isSettled();
    Scheduler_.reset();
  }
  if (Owns && !Scheduler_)
    startScheduler(false);
  return Raised;
}

std::optional<Time> PoolMember::earlierOwnersEndedBy(Time Started) const {
  auto Others = jobs::earlierOwnersEndedBy(View_, ClaimedAt_);
  return Others ? std::optional(std::max(Started, *Others)) : std::nullopt;
}

std::vector<Endpoint> PoolMember::candidatesToHear() const {
  if (!Scheduler_ || Scheduler_->hasTakenOver() ||
      View_.FirstClaim != View_.Owner.Token)
    return {};
  return unansweredSince(View_, ClaimedAt_);
}

void PoolMember::startScheduler(bool Restarted) {
  SchedulerDependencies Deps{Name_,
                             [this] { return ownsPool(View_); },
                             [this](FencingToken Token) {
                               noteFenced(View_, Token, Deps_.Clock.now());
                             },
                             [this] { return Deps_.KnowsAllWorkers; },
                             nullptr,
                             NoDurableJobs_,
                             Deps_.Evacuated,
                             Deps_.Workers,
                             Deps_.Clock,
                             Deps_.Timers,
                             Deps_.Measured,
                             [this] { Deps_.SuspectsFound(*this); },
                             ClaimedAt_};
  // Otherwise the crashes of jobs that other entries submit would be counted
  // from zero.
  SuspectsByJob Suspects = Deps_.Suspects;
  if (Scheduler_)
    merge(Suspects, Scheduler_->suspects());
  Scheduler_.reset();
  LeaseSettings Lease = Deps_.Lease;
  OwnerLoss Loss =
      Restarted ? OwnerLoss() : earlierOwnerLoss(View_, Deps_.Clock.now());
  Lease.EarlierOwnerSilence = Loss.Released ? Duration(0) : OriginTimeout;
  Lease.OrphanRetention =
      Restarted ? OrphanGracePeriod : orphanGracePeriod(Loss);
  // A run that the last owner did not find itself may be of a job that has gone
  // to another pool since its own owner was lost; its lease must expire.
  Lease.RenewOrphans = Loss.Released && Loss.Settled;
  ReportedLoad_ = SmoothedPoolLoad();
  Scheduler_ =
      std::make_unique<Scheduler>(std::move(Deps), View_.Owner.Token, Lease);
  Scheduler_->mergeSuspects(Suspects);
  Scheduler_->applyWorkers(Directory_);
}

void PoolMember::workersChanged() {
  if (Scheduler_)
    Scheduler_->applyWorkers(Directory_);
}

void PoolMember::evacuationsChanged() {
  if (Scheduler_)
    Scheduler_->evacuationsChanged();
}

Json::Value PoolMember::writeClaim() const {
  Json::Value Result(Json::objectValue);
  Result["owner"] = View_.Owner.At.text();
  Result["token"] = Json::UInt64(View_.Owner.Token.value());
  Result["highest"] = Json::UInt64(View_.Highest.value());
  if (View_.FirstClaim != FencingToken(0))
    Result["first"] = Json::UInt64(View_.FirstClaim.value());
  if (ReleasingSince_)
    Result["lets_go"] = true;
  if (Scheduler_ ? Scheduler_->isSettled() : WasSettledAtEnd_)
    Result["settled"] = true;
  if (Scheduler_ && ownsPool(View_)) {
    Result["workers"] = Json::UInt64(Scheduler_->workers());
    Result["load"] = write(Scheduler_->load());
  }
  if (View_.Rival.Token != FencingToken(0)) {
    Result["rival"] = View_.Rival.At.text();
    Result["rival_token"] = Json::UInt64(View_.Rival.Token.value());
  }
  return Result;
}

Json::Value PoolMember::writeReport() {
  Json::Value Result(Json::objectValue);
  Result["owner"] = View_.Owner.At.text();
  Result["token"] = Json::UInt64(View_.Owner.Token.value());
  if (Scheduler_)
    Result["load"] =
        write(smoothLoad(ReportedLoad_, Scheduler_->load(), Deps_.Clock.now()));
  return Result;
}

OwnerClaim PoolMember::applyClaim(const Json::Value &From,
                                  const Endpoint &Speaker) {
  auto Highest = attempt([&] { return json::readUintOr(From, "highest", 0); });
  if (Highest)
    noteHighest(View_, FencingToken(*Highest));
  auto Rival = attempt([&] { return readClaim(From, "rival", "rival_token"); });
  if (Rival)
    noteClaim(View_, *Rival, Endpoint(), Deps_.Clock.now());
  auto Claim = attempt([&] { return readClaim(From, "owner", "token"); });
  if (Claim && noteClaim(View_, *Claim, Speaker, Deps_.Clock.now()))
    logEvent(LogLevel::Info, Module, "pool_owner",
             {{"pool", Name_},
              {"owner", Claim->At.text()},
              {"token", Claim->Token.value()}});
  return Claim ? *Claim : OwnerClaim();
}

void PoolMember::applyPeerStatement(const Json::Value &From,
                                    const Endpoint &Speaker) {
  OwnerClaim Claim = applyClaim(From, Speaker);
  noteOwnStatement(View_, Speaker, Claim);
  noteSettled(View_, Speaker, wire::isSet(From, "settled"));
  noteFirstClaim(View_, Speaker, FencingToken(wire::numberOf(From, "first")));
  noteReleasing(View_, Speaker, wire::isSet(From, "lets_go"),
                Deps_.Clock.now());
  handleRivalOwner(From, Claim, Speaker);
  if (Speaker != View_.Owner.At)
    return;
  applyLoad(From);
  LoadHeardAt_ = Deps_.Clock.now();
}

bool PoolMember::needsReports() const {
  return !Candidate_ || !watchesClosely(View_);
}

void PoolMember::applyControlReport(const Json::Value &From) {
  auto Claim = attempt([&] { return readClaim(From, "owner", "token"); });
  ReportedOwner_.reset();
  if (!From.isObject() || !Claim || Claim->Token == FencingToken(0))
    return;
  ReportedOwner_ = Claim->At;
  if (!needsReports())
    return;
  // If the known owner does not answer, control's report is accepted whatever
  // its token: jobs are safe with any owner that accepts them.
  if (!Candidate_ && !isOwned())
    View_.LastClaim = FencingToken(0);
  applyClaim(From, Endpoint());
  confirmReport();
  if (View_.Owner.At == Claim->At && !hasFreshLoad())
    applyLoad(From);
}

void PoolMember::confirmReport() {
  if (!ReportedOwner_ || !needsReports() || View_.Owner.At != *ReportedOwner_)
    return;
  Time Now = Deps_.Clock.now();
  noteReport(View_, *ReportedOwner_, Now);
  if (hasFreshLoad() || !LoadUpdatedAt_)
    return;
  LoadUpdatedAt_ = Now;
  SentSinceUpdate_ = scheduling::CoreTime();
}

bool PoolMember::hasFreshLoad() const {
  return LoadHeardAt_ && Deps_.Clock.now() - *LoadHeardAt_ < DirectLoadValidity;
}

void PoolMember::applyLoad(const Json::Value &From) {
  if (!From["load"].isObject())
    return;
  Load_ = readPoolLoad(From["load"]);
  LoadUpdatedAt_ = Deps_.Clock.now();
  SentSinceUpdate_ = scheduling::CoreTime();
}

void PoolMember::handleRivalOwner(const Json::Value &From,
                                  const OwnerClaim &Claim,
                                  const Endpoint &Speaker) {
  if (Claim.At != Speaker || Claim.Token == FencingToken(0) || !Scheduler_ ||
      !ownsPool(View_) || !From["workers"].isUInt64())
    return;
  std::uint64_t OwnWorkers = Scheduler_->workers();
  std::uint64_t OtherWorkers = From["workers"].asUInt64();
  bool Changed = resolveRival(View_, Claim, OwnWorkers, OtherWorkers,
                              Deps_.Clock.now(), Deps_.Clock.wallNow());
  RaisedForRival_ = RaisedForRival_ || Changed;
  if (Changed)
    logEvent(LogLevel::Info, Module, "pool_owner_conflict",
             {{"pool", Name_},
              {"other", Speaker.text()},
              {"workers", OwnWorkers},
              {"other_workers", OtherWorkers},
              {"owner", View_.Owner.At.text()}});
}

std::optional<Duration> PoolMember::expectedWait(const Job &Wanted) const {
  const StepSpec &First = Wanted.Spec.Steps.front();
  std::uint64_t Cores = std::uint64_t{First.Count} * First.Needs.CpuMillis;
  if (Scheduler_) {
    PoolLoad Own = Scheduler_->load();
    if (Own.Capacity == 0)
      return std::nullopt;
    return jobs::expectedWait(Own, Wanted.Priority, Cores);
  }
  if (!LoadUpdatedAt_ || Deps_.Clock.now() - *LoadUpdatedAt_ >= LoadValidity ||
      Load_.Capacity == 0)
    return std::nullopt;
  return jobs::expectedWait(Load_, Wanted.Priority, Cores) +
         scheduling::timeFor(SentSinceUpdate_,
                             static_cast<double>(Load_.Capacity));
}

double PoolMember::use() const {
  PoolLoad Now = Scheduler_ ? Scheduler_->load() : Load_;
  if (Now.Capacity == 0)
    return 1.0;
  return static_cast<double>(Now.Used) / static_cast<double>(Now.Capacity);
}

void PoolMember::noteSent(const Job &Sent) {
  SentSinceUpdate_ += workOf(Sent.Spec);
}

} // namespace geraniumbay::jobs
