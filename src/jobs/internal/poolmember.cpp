//===- poolmember.cpp - An entry's part in one pool -----------------------===//
//
// Claims, and the scheduler's beginning and end.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/poolmember.h"

#include "framework/log/log.h"
#include "jobs/internal/jobmessages.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

/// What an owner said of its load is worth nothing after this time.
constexpr Duration LoadLasts = std::chrono::seconds(2);
/// What the owner itself said goes before what control says of it for so long.
constexpr Duration LoadIsFresh = std::chrono::milliseconds(500);

/// A candidate takes over what was let go for it within two pings; else this
/// entry may claim it again.
constexpr Duration GoneFor = std::chrono::seconds(1);

/// The time in which entries hand the jobs of an earlier owner in again.
constexpr Duration KeepOrphans = std::chrono::milliseconds(1000);

/// How long a new owner leaves alone what runs of unknown jobs, for the entries
/// to hand these in again. Behind an owner that was silent for long, little
/// that runs is left; it is stopped at once.
Duration keepOrphans(const OwnerLoss &Loss) {
  return Loss.LetGo || Loss.Refused ? KeepOrphans : Duration(0);
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

PoolMember::PoolMember(PoolMemberNeeds Needs, PoolName Name,
                       DataCentreId DataCentre, const Endpoint &Self)
    : Needs_(std::move(Needs)), Name_(std::move(Name)),
      DataCentre_(std::move(DataCentre)), View_(Self, Needs_.Peers) {}

void PoolMember::takeCandidates(const std::vector<Endpoint> &Ranked,
                                bool Candidate) {
  Candidate_ = Candidate;
  takeEntries(View_, Ranked, Needs_.Clock.now());
  // The pool's data centre has entries of its own again, which do not ask this
  // one and have an owner among themselves.
  if (!Candidate_ && View_.Owner.At == View_.Self)
    View_.Owner = OwnerClaim();
}

bool PoolMember::isOwned() const {
  return isOwnerAlive(View_, Needs_.Clock.now());
}

bool PoolMember::claimIfDue() {
  if (!Candidate_)
    return false;
  auto Claim =
      jobs::claimIfDue(View_, Needs_.Clock.now(), Needs_.Clock.wallNow());
  if (!Claim)
    return false;
  ClaimedAt_ = Needs_.Clock.now();
  logEvent(LogLevel::Info, Module, "pool_claimed",
           {{"pool", Name_},
            {"token", Claim->Token.value()},
            {"candidates", View_.Ranked.size()},
            {"earlier", View_.Earlier.At.text()},
            {"let_go", earlierOwnerLoss(View_, Needs_.Clock.now()).LetGo}});
  return true;
}

void PoolMember::letGo() {
  LetGoAt_ = Needs_.Clock.now();
  View_.Stopping = true;
}

void PoolMember::endLettingGo() {
  if (!LetGoAt_)
    return;
  bool Taken =
      View_.Owner.Token != FencingToken(0) && View_.Owner.At != View_.Self;
  if (!Taken && Needs_.Clock.now() - *LetGoAt_ < GoneFor)
    return;
  LetGoAt_.reset();
  View_.Stopping = false;
}

bool PoolMember::followOwner(bool Disengaged) {
  endLettingGo();
  if (outbidSilentRival(View_, Needs_.Clock.now(), Needs_.Clock.wallNow()))
    logEvent(LogLevel::Info, Module, "pool_rival_outbid",
             {{"pool", Name_}, {"token", View_.Owner.Token.value()}});
  bool Owns = ownsPool(View_) && !Disengaged;
  bool Raised = Scheduler_ && Owns && Scheduler_->token() != View_.Owner.Token;
  if (Raised) {
    logEvent(LogLevel::Info, Module, "pool_token_raised",
             {{"pool", Name_}, {"token", View_.Owner.Token.value()}});
    if (Name_ == poolOfAll())
      Scheduler_->raiseToken(View_.Owner.Token, MetOther_);
    else
      startScheduler(true);
    MetOther_ = false;
  }
  if (Scheduler_ && !Owns) {
    logEvent(LogLevel::Warning, Module, "pool_let_go",
             {{"pool", Name_},
              {"token", Scheduler_->token().value()},
              {"owner", View_.Owner.At.text()},
              {"owner_token", View_.Owner.Token.value()},
              {"settled", Scheduler_->isSettled()}});
    EndedSettled_ = Scheduler_->isSettled();
    Scheduler_.reset();
  }
  if (Owns && !Scheduler_)
    startScheduler(false);
  return Raised;
}

std::optional<Time> PoolMember::earlierOwnersGoneBy(Time Started) const {
  auto Others = jobs::earlierOwnersGoneBy(View_, ClaimedAt_);
  return Others ? std::optional(std::max(Started, *Others)) : std::nullopt;
}

std::vector<Endpoint> PoolMember::candidatesToHear() const {
  if (!Scheduler_ || Scheduler_->hasTakenOver() ||
      View_.First != View_.Owner.Token)
    return {};
  return unansweredSince(View_, ClaimedAt_);
}

void PoolMember::startScheduler(bool Again) {
  SchedulerDependencies Needs{Name_,
                              [this] { return ownsPool(View_); },
                              [this](FencingToken Token) {
                                noteFenced(View_, Token, Needs_.Clock.now());
                              },
                              [this] { return Needs_.KnowsAllWorkers; },
                              nullptr,
                              NoDurableJobs_,
                              Needs_.Evacuated,
                              Needs_.Workers,
                              Needs_.Clock,
                              Needs_.Timers,
                              Needs_.Measured,
                              [this] { Needs_.SuspectsFound(*this); }};
  // Else the jobs that other entries bring would be counted anew.
  SuspectsByJob Suspects = Needs_.Suspects;
  if (Scheduler_)
    merge(Suspects, Scheduler_->suspects());
  Scheduler_.reset();
  LeaseSettings Lease = Needs_.Lease;
  OwnerLoss Loss =
      Again ? OwnerLoss() : earlierOwnerLoss(View_, Needs_.Clock.now());
  Lease.EarlierOwnerSilence = Loss.LetGo ? Duration(0) : OwnerSilence;
  Lease.OrphanRetention = Again ? KeepOrphans : keepOrphans(Loss);
  // What an owner has not found itself may be of a job that has gone elsewhere
  // since its owner died. Its lease must come to an end.
  Lease.RenewOrphans = Loss.LetGo && Loss.Settled;
  ToldLoad_ = SteadyPoolLoad();
  Scheduler_ =
      std::make_unique<Scheduler>(std::move(Needs), View_.Owner.Token, Lease);
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
  if (View_.First != FencingToken(0))
    Result["first"] = Json::UInt64(View_.First.value());
  if (LetGoAt_)
    Result["lets_go"] = true;
  if (Scheduler_ ? Scheduler_->isSettled() : EndedSettled_)
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
        write(steady(ToldLoad_, Scheduler_->load(), Needs_.Clock.now()));
  return Result;
}

OwnerClaim PoolMember::takeClaim(const Json::Value &From,
                                 const Endpoint &Speaker) {
  auto Highest = attempt([&] { return json::readUintOr(From, "highest", 0); });
  if (Highest)
    noteHighest(View_, FencingToken(*Highest));
  auto Rival = attempt([&] { return readClaim(From, "rival", "rival_token"); });
  if (Rival)
    noteClaim(View_, *Rival, Endpoint(), Needs_.Clock.now());
  auto Claim = attempt([&] { return readClaim(From, "owner", "token"); });
  if (Claim && noteClaim(View_, *Claim, Speaker, Needs_.Clock.now()))
    logEvent(LogLevel::Info, Module, "pool_owner",
             {{"pool", Name_},
              {"owner", Claim->At.text()},
              {"token", Claim->Token.value()}});
  return Claim ? *Claim : OwnerClaim();
}

void PoolMember::takeWord(const Json::Value &From, const Endpoint &Speaker) {
  OwnerClaim Word = takeClaim(From, Speaker);
  noteOwnWord(View_, Speaker, Word);
  noteSettled(View_, Speaker, wire::isSet(From, "settled"));
  noteFirst(View_, Speaker, FencingToken(wire::numberOf(From, "first")));
  noteLetsGo(View_, Speaker, wire::isSet(From, "lets_go"), Needs_.Clock.now());
  meetOwner(From, Word, Speaker);
  if (Speaker != View_.Owner.At)
    return;
  takeLoad(From);
  LoadHeard_ = Needs_.Clock.now();
}

bool PoolMember::needsReports() const {
  return !Candidate_ || !watchesClosely(View_);
}

void PoolMember::takeReport(const Json::Value &From) {
  auto Claim = attempt([&] { return readClaim(From, "owner", "token"); });
  ReportedOwner_.reset();
  if (!From.isObject() || !Claim || Claim->Token == FencingToken(0))
    return;
  ReportedOwner_ = Claim->At;
  if (!needsReports())
    return;
  // Where the owner that is believed in does not answer, control's word counts
  // whatever its token: jobs are safe at whoever takes them.
  if (!Candidate_ && !isOwned())
    View_.LastClaim = FencingToken(0);
  takeClaim(From, Endpoint());
  confirmReport();
  if (View_.Owner.At == Claim->At && !hearsLoad())
    takeLoad(From);
}

void PoolMember::confirmReport() {
  if (!ReportedOwner_ || !needsReports() || View_.Owner.At != *ReportedOwner_)
    return;
  Time Now = Needs_.Clock.now();
  noteReport(View_, *ReportedOwner_, Now);
  if (hearsLoad() || !LoadTold_)
    return;
  LoadTold_ = Now;
  SentSince_ = scheduling::CoreTime();
}

bool PoolMember::hearsLoad() const {
  return LoadHeard_ && Needs_.Clock.now() - *LoadHeard_ < LoadIsFresh;
}

void PoolMember::takeLoad(const Json::Value &From) {
  if (!From["load"].isObject())
    return;
  Load_ = readPoolLoad(From["load"]);
  LoadTold_ = Needs_.Clock.now();
  SentSince_ = scheduling::CoreTime();
}

void PoolMember::meetOwner(const Json::Value &From, const OwnerClaim &Word,
                           const Endpoint &Speaker) {
  if (Word.At != Speaker || Word.Token == FencingToken(0) || !Scheduler_ ||
      !ownsPool(View_) || !From["workers"].isUInt64())
    return;
  std::uint64_t Own = Scheduler_->workers();
  std::uint64_t Others = From["workers"].asUInt64();
  bool Changed = meetRival(View_, Word, Own, Others, Needs_.Clock.now(),
                           Needs_.Clock.wallNow());
  MetOther_ = MetOther_ || Changed;
  if (Changed)
    logEvent(LogLevel::Info, Module, "pool_owners_met",
             {{"pool", Name_},
              {"other", Speaker.text()},
              {"workers", Own},
              {"others_workers", Others},
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
  if (!LoadTold_ || Needs_.Clock.now() - *LoadTold_ >= LoadLasts ||
      Load_.Capacity == 0)
    return std::nullopt;
  return jobs::expectedWait(Load_, Wanted.Priority, Cores) +
         scheduling::timeFor(SentSince_, static_cast<double>(Load_.Capacity));
}

double PoolMember::use() const {
  PoolLoad Now = Scheduler_ ? Scheduler_->load() : Load_;
  if (Now.Capacity == 0)
    return 1.0;
  return static_cast<double>(Now.Used) / static_cast<double>(Now.Capacity);
}

void PoolMember::noteSent(const Job &Sent) { SentSince_ += workOf(Sent.Spec); }

} // namespace geraniumbay::jobs
