//===- poolowner.cpp - An entry's part in owning the pools ----------------===//
//
// Pings between entries, and claims to pools.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
constexpr Duration TickInterval = std::chrono::milliseconds(25);
/// The minimum time between two releases to other entries, in which all have
/// heard of the last change.
constexpr Duration MinShareInterval = std::chrono::seconds(1);
constexpr Duration PingTimeout = std::chrono::milliseconds(300);
/// Concurrent pings to one entry. A lost one must not keep the next from being
/// sent.
constexpr std::size_t MaxPingsInFlight = 3;
/// A process reports its age for this long: several times the longest wait of a
/// new owner.
constexpr Duration RecentlyStartedPeriod = std::chrono::seconds(10);

/// The time stamp that the receiver sends back.
std::uint64_t stampOf(Time At) {
  return static_cast<std::uint64_t>(At.time_since_epoch().count());
}

} // namespace

void EntryJobs::detectPause(Time Now) {
  Duration Gap = LastTickAt_ ? Now - *LastTickAt_ : Duration(0);
  LastTickAt_ = Now;
  if (Gap < LongPause)
    return;
  PausedUntil_ = Now;
  // Workers may have been added meanwhile.
  KnowsAllWorkers_ = false;
  std::vector<PendingRequestPtr> Unsent;
  for (const PendingRequestPtr &Request : PendingRequests_)
    if (!Request->SentTo)
      Unsent.push_back(Request);
  logEvent(LogLevel::Warning, Module, "stood_still",
           {{"pause_us", Gap.count()}, {"given_up", Unsent.size()}});
  for (const PendingRequestPtr &Request : Unsent)
    giveUpAfterPause(Request);
}

void EntryJobs::tick() {
  Time Now = Deps_.Clock.now();
  detectPause(Now);
  for (auto &[Name, Member] : Pools_)
    if (!ControlSchedules_ && Member->claimIfDue())
      notifyCandidates(*Member);
  followOwners();
  noteEarlierOwnersEnded();
  dropSilentOrigins(Now);
  collectReports();
  retryRegistrars();
  redispatchParked();
  Deps_.Timers.after(TickInterval, [this] { tick(); });
}

void EntryJobs::followOwners() {
  for (auto &[Name, Member] : Pools_)
    if (Member->followOwner(ControlSchedules_))
      notifyCandidates(*Member);
}

std::optional<Duration> EntryJobs::ageIfRecentlyStarted() const {
  Duration Age = Deps_.Clock.now() - StartedAt_;
  return Age < RecentlyStartedPeriod ? std::optional(Age) : std::nullopt;
}

void EntryJobs::noteEarlierOwnersEnded() {
  if (!ageIfRecentlyStarted())
    return;
  for (auto &[Name, Member] : Pools_) {
    if (!Member->scheduler())
      continue;
    auto EndedBy = Member->earlierOwnersEndedBy(StartedAt_);
    if (!EndedBy)
      continue;
    Member->scheduler()->noteEarlierOwnersEnded(*EndedBy);
    if (JobRegister *Register = registerOf(Name))
      Register->noteEntriesEnded(*EndedBy);
  }
}

void EntryJobs::shareOwnership() {
  Time Now = Deps_.Clock.now();
  if (Plan_ == PoolPlan::One || Stopping_ ||
      Now - LastSharedAt_ < MinShareInterval)
    return;
  // An entry that has started without control answers pings but knows no pools,
  // and candidates behind it wait for it.
  if (!Control_.ready())
    return;
  std::set<Endpoint> Owners;
  std::vector<PoolMember *> OwnPools;
  for (const auto &[Name, Member] : Pools_) {
    if (Member->isOwned())
      Owners.insert(Member->view().Owner.At);
    if (Member->scheduler())
      OwnPools.push_back(Member.get());
  }
  // Among unequal entries a small one hands over its only pool too.
  std::size_t Least = RanksByCapacity_ ? 1 : 2;
  if (OwnPools.size() < Least)
    return;
  PoolMember &Shared = *OwnPools.back();
  // The next owner must be able to rely on what this one knows.
  if (!Shared.scheduler()->isSettled())
    return;
  // The first candidate that is alive takes it over.
  for (const Endpoint &Next : Shared.view().Ranked) {
    // The others would be used no less than this entry is.
    if (Next == Self_ && RanksByCapacity_)
      return;
    if (Next == Self_ || !wasAliveLately(Shared.view(), Next, Now))
      continue;
    if (Owners.count(Next) != 0 && !RanksByCapacity_)
      return;
    LastSharedAt_ = Now;
    logEvent(LogLevel::Info, Module, "pool_shared",
             {{"pool", Shared.name()},
              {"to", Next.text()},
              {"own", OwnPools.size()},
              {"by_capacity", RanksByCapacity_}});
    Shared.releaseOwnership();
    Shared.followOwner(ControlSchedules_);
    return notifyCandidates(Shared);
  }
}

void EntryJobs::dropSilentOrigins(Time Now) {
  std::set<Endpoint> Silent;
  for (auto &[Name, Member] : Pools_) {
    Scheduler *PoolScheduler = Member->scheduler();
    if (!PoolScheduler)
      continue;
    for (const Endpoint &Origin : PoolScheduler->origins()) {
      if (Origin == Self_ || Now - ConfirmedUntil_[Origin] < OriginTimeout)
        continue;
      Silent.insert(Origin);
      // After a pause of this process the pings of others are still unread.
      if (SilentOrigins_.count(Origin) == 0)
        continue;
      logEvent(LogLevel::Warning, Module, "entry_silent",
               {{"entry", Origin.text()},
                {"pool", Name},
                {"heard_us", (Now - ConfirmedUntil_[Origin]).count()}});
      PoolScheduler->dropOrigin(Origin);
    }
  }
  SilentOrigins_ = std::move(Silent);
}

std::map<Endpoint, std::set<PoolName>> EntryJobs::pingsDue(bool Follow) const {
  Time Now = Deps_.Clock.now();
  std::map<Endpoint, std::set<PoolName>> Due;
  for (const auto &[Name, Member] : Pools_) {
    if (!Member->isCandidate())
      continue;
    for (const Endpoint &To : pingTargets(Member->view(), Now))
      Due[To].insert(Name);
    if (!Follow)
      continue;
    if (ageIfRecentlyStarted())
      for (const Endpoint &To : Member->candidatesToHear())
        Due[To].insert(Name);
    for (const Endpoint &To : followTargets(Member->view(), Now))
      Due[To].insert(Name);
  }
  // The owner of another entry needs confirmation that this one hears it while
  // it has jobs from here.
  for (const PendingRequestPtr &Request : PendingRequests_)
    if (Request->SentTo && Request->SentTo->At != Self_)
      Due[Request->SentTo->At].insert(Request->Pool);
  return Due;
}

void EntryJobs::pingAll() {
  rankCandidates();
  shareOwnership();
  bool Follow = PingRounds_++ % (FollowInterval / PingInterval) == 0;
  for (const auto &[To, PoolNames] : pingsDue(Follow))
    ping(To, PoolNames);
  Deps_.Timers.after(PingInterval, [this] { pingAll(); });
}

void EntryJobs::notifyCandidates(const PoolMember &Pool) {
  // All are notified of the claim at once, so that they submit their jobs
  // again.
  for (const Endpoint &Entry : Pool.view().Ranked)
    if (Entry != Self_)
      ping(Entry, {Pool.name()});
}

void EntryJobs::ping(const Endpoint &To, const std::set<PoolName> &PoolNames,
                     bool IncludeSuspects) {
  std::size_t &UnderWay = PingsUnderWay_[To];
  if (UnderWay >= MaxPingsInFlight)
    return;
  ++UnderWay;
  Json::Value Params(Json::objectValue);
  for (const PoolName &Name : PoolNames)
    if (const PoolMember *Member = findPool(Name))
      Params["pools"][Name.value()] = Member->writeClaim();
  Params["from"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["echo_us"] = Json::UInt64(Echoes_[To].Stamp);
  Params["sent_us"] = Json::UInt64(stampOf(Deps_.Clock.now()));
  Params["stopping"] = Stopping_;
  if (ageIfRecentlyStarted())
    Params["young"] = true;
  if (IncludeSuspects)
    Params["suspects"] = suspectsToSend(false, false);
  Deps_.Client.call(
      To, wire::method::Ping, std::move(Params), PingTimeout,
      [this, To, Sent = Deps_.Clock.now()](const Outcome<Json::Value> &Result) {
        handlePingReply(To, Sent, Result);
      });
}

void EntryJobs::handlePingReply(const Endpoint &To, Time Sent,
                                const Outcome<Json::Value> &Result) {
  --PingsUnderWay_[To];
  if (!Result) {
    // A refusal within a round trip comes from the VM itself: no process
    // listens there. A late one is a connection that was never established.
    bool AtOnce = Deps_.Clock.now() - Sent < PingTimeout;
    if (Result.error().Code == ErrorCode::Refused && AtOnce)
      noteRefused(Peers_, To, Deps_.Clock.now());
    return;
  }
  noteAnswer(Peers_, To, wire::isSet(*Result, "stopping"), Sent);
  std::optional<Duration> Age;
  if ((*Result)["age_us"].isUInt64())
    Age = Duration(static_cast<Duration::rep>((*Result)["age_us"].asUInt64()));
  noteAge(Peers_, To, Age, Deps_.Clock.now());
  if ((*Result)["stamp_us"].isUInt64())
    Echoes_[To] = {(*Result)["stamp_us"].asUInt64(), Sent};
  applyPoolStatements(*Result, To);
  applySuspects((*Result)["suspects"]);
  bool Owner =
      std::any_of(Pools_.begin(), Pools_.end(), [&](const auto &Entry) {
        return Entry.second->view().Owner.At == To;
      });
  if (Owner)
    redispatchParked();
}

const Json::Value &EntryJobs::suspectsToSend(bool PeerRecentlyStarted,
                                             bool Fresh) {
  EncodedSuspects &Cached = EncodedSuspects_[PeerRecentlyStarted];
  Time Now = Deps_.Clock.now();
  if (!Fresh && Cached.EncodedAt && Now - *Cached.EncodedAt < PingInterval)
    return Cached.Encoded;
  SuspectsByJob Known;
  if (PeerRecentlyStarted)
    Known = Suspects_;
  for (const auto &[Name, Member] : Pools_)
    if (const Scheduler *PoolScheduler = Member->scheduler())
      merge(Known, PoolScheduler->suspects());
  Cached = {Now, wire::write(Known, Now)};
  return Cached.Encoded;
}

void EntryJobs::sendSuspects(const PoolMember &Pool) {
  suspectsToSend(false, true);
  for (const Endpoint &Next : frontRanks(Pool.view(), Deps_.Clock.now()))
    ping(Next, {Pool.name()}, true);
}

void EntryJobs::applySuspects(const Json::Value &From) {
  Time Now = Deps_.Clock.now();
  SuspectsByJob Received = wire::readSuspectsByJob(From, Now);
  if (Received.empty())
    return;
  forgetOld(Suspects_, Now);
  merge(Suspects_, Received);
  // An entry that has just started may have claimed a pool before it received
  // these.
  if (!ageIfRecentlyStarted())
    return;
  for (const auto &[Name, Member] : Pools_)
    if (Member->scheduler())
      Member->scheduler()->mergeSuspects(Received);
}

void EntryJobs::applyPoolStatements(const Json::Value &From,
                                    const Endpoint &Speaker) {
  const Json::Value &Statements = From["pools"];
  if (!Statements.isObject())
    return;
  for (const std::string &Name : Statements.getMemberNames())
    if (PoolMember *Member = findPool(PoolName(Name)))
      Member->applyPeerStatement(Statements[Name], Speaker);
}

void EntryJobs::noteEcho(const Endpoint &From, const Json::Value &Params) {
  // The echo is a time stamp of this entry's own clock. One from before its
  // start is meaningless, and one in the future cannot be its own.
  if (!Params["echo_us"].isUInt64() || Params["echo_us"].asUInt64() == 0)
    return;
  Time Heard{
      Duration(static_cast<Duration::rep>(Params["echo_us"].asUInt64()))};
  Time &Contact = ConfirmedUntil_[From];
  Contact = std::max(Contact, std::min(Heard, Deps_.Clock.now()));
}

bool EntryJobs::isLatestPing(const Endpoint &From, const Json::Value &Params) {
  std::uint64_t Sent = wire::numberOf(Params, "sent_us");
  std::uint64_t &Latest = LatestPings_[From];
  if (Sent < Latest)
    return false;
  Latest = Sent;
  return true;
}

void EntryJobs::noteIncarnation(const Endpoint &From,
                                const Json::Value &Params) {
  std::uint64_t Reported = wire::numberOf(Params, "incarnation");
  std::uint64_t &Known = Incarnations_[From];
  if (Reported == 0 || Reported == Known)
    return;
  Known = Reported;
  LatestPings_.erase(From);
  std::erase_if(Incoming_, [&](const IncomingPtr &Each) {
    return Each->ArrivalInfo.From.Origin == From &&
           Each->ArrivalInfo.From.Incarnation != Reported;
  });
  for (auto &[Name, Member] : Pools_)
    if (Member->scheduler())
      Member->scheduler()->dropEarlierIncarnations(From, Reported);
}

bool EntryJobs::hasFreshEcho(const Endpoint &Owner) const {
  auto Found = Echoes_.find(Owner);
  return Found != Echoes_.end() &&
         Deps_.Clock.now() - Found->second.RequestSentAt < MaxEchoAge;
}

PoolMember *EntryJobs::findPool(const PoolName &Name) const {
  auto Found = Pools_.find(Name);
  return Found == Pools_.end() ? nullptr : Found->second.get();
}

PoolMember *EntryJobs::poolOfMessage(const Json::Value &Params) const {
  auto Name = attempt([&] { return json::readString(Params, "pool"); });
  return Name ? findPool(PoolName(*Name)) : nullptr;
}

void EntryJobs::answerPing(const Json::Value &Params, const Reply &Answer) {
  auto From = attempt([&] { return wire::readEndpoint(Params, "from"); });
  if (!From)
    return Answer(From.error());
  noteIncarnation(*From, Params);
  if (isLatestPing(*From, Params)) {
    noteHeard(Peers_, *From, wire::isSet(Params, "stopping"),
              Deps_.Clock.now());
    applyPoolStatements(Params, *From);
    applySuspects(Params["suspects"]);
    noteEcho(*From, Params);
  }
  Json::Value Result(Json::objectValue);
  if (Params["pools"].isObject())
    for (const std::string &Name : Params["pools"].getMemberNames())
      if (const PoolMember *Member = findPool(PoolName(Name)))
        Result["pools"][Name] = Member->writeClaim();
  Result["stamp_us"] = Json::UInt64(stampOf(Deps_.Clock.now()));
  Result["stopping"] = Stopping_;
  if (auto Age = ageIfRecentlyStarted())
    Result["age_us"] = Json::UInt64(Age->count());
  const Json::Value &Suspects =
      suspectsToSend(wire::isSet(Params, "young"), false);
  if (!Suspects.empty())
    Result["suspects"] = Suspects;
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
