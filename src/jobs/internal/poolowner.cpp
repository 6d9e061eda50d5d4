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
/// An entry gives pools to others this often at most: the time in which all
/// have heard of the last change.
constexpr Duration SharePause = std::chrono::seconds(1);
constexpr Duration PingTimeout = std::chrono::milliseconds(300);
/// Pings to one entry under way at a time. One that is lost must not keep the
/// next from being sent.
constexpr std::size_t MaxPings = 3;
/// A process tells its age for so long: several times what a new owner may have
/// to wait for.
constexpr Duration YoungFor = std::chrono::seconds(10);

/// The owner's clock as a number that comes back to it.
std::uint64_t stampOf(Time At) {
  return static_cast<std::uint64_t>(At.time_since_epoch().count());
}

} // namespace

void EntryJobs::notePause(Time Now) {
  Duration Gap = TickedAt_ ? Now - *TickedAt_ : Duration(0);
  TickedAt_ = Now;
  if (Gap < LongPause)
    return;
  PausedUntil_ = Now;
  // Workers may have come meanwhile.
  KnowsAllWorkers_ = false;
  std::vector<PendingRequestPtr> Unsent;
  for (const PendingRequestPtr &What : PendingRequests_)
    if (!What->SentTo)
      Unsent.push_back(What);
  logEvent(LogLevel::Warning, Module, "stood_still",
           {{"pause_us", Gap.count()}, {"given_up", Unsent.size()}});
  for (const PendingRequestPtr &What : Unsent)
    giveUpAfterPause(What);
}

void EntryJobs::tick() {
  Time Now = Deps_.Clock.now();
  notePause(Now);
  for (auto &[Name, In] : Pools_)
    if (!ControlSchedules_ && In->claimIfDue())
      tellCandidates(*In);
  followOwners();
  noteEarlierOwnersGone();
  dropSilentOrigins(Now);
  collectReports();
  askRegistrarsAgain();
  redispatchParked();
  Deps_.Timers.after(TickInterval, [this] { tick(); });
}

void EntryJobs::followOwners() {
  for (auto &[Name, In] : Pools_)
    if (In->followOwner(ControlSchedules_))
      tellCandidates(*In);
}

std::optional<Duration> EntryJobs::youngAge() const {
  Duration Age = Deps_.Clock.now() - StartedAt_;
  return Age < YoungFor ? std::optional(Age) : std::nullopt;
}

void EntryJobs::noteEarlierOwnersGone() {
  if (!youngAge())
    return;
  for (auto &[Name, In] : Pools_) {
    if (!In->scheduler())
      continue;
    auto Gone = In->earlierOwnersGoneBy(StartedAt_);
    if (!Gone)
      continue;
    In->scheduler()->noteEarlierOwnersGone(*Gone);
    if (JobRegister *Of = registerOf(Name))
      Of->noteEntriesGone(*Gone);
  }
}

void EntryJobs::shareOwnership() {
  Time Now = Deps_.Clock.now();
  if (Plan_ == PoolPlan::One || Stopping_ || Now - SharedAt_ < SharePause)
    return;
  std::set<Endpoint> Owners;
  std::vector<PoolMember *> Own;
  for (const auto &[Name, In] : Pools_) {
    if (In->isOwned())
      Owners.insert(In->view().Owner.At);
    if (In->scheduler())
      Own.push_back(In.get());
  }
  if (Own.size() < 2)
    return;
  PoolMember &Given = *Own.back();
  // The next owner must be able to count on what this one knows.
  if (!Given.scheduler()->isSettled())
    return;
  // The first candidate that is alive takes it over.
  for (const Endpoint &Next : Given.view().Ranked) {
    if (Next == Self_ || !wasAliveLately(Given.view(), Next, Now))
      continue;
    if (Owners.count(Next) != 0)
      return;
    SharedAt_ = Now;
    logEvent(
        LogLevel::Info, Module, "pool_shared",
        {{"pool", Given.name()}, {"to", Next.text()}, {"own", Own.size()}});
    Given.letGo();
    Given.followOwner(ControlSchedules_);
    return tellCandidates(Given);
  }
}

void EntryJobs::dropSilentOrigins(Time Now) {
  std::set<Endpoint> Silent;
  for (auto &[Name, In] : Pools_) {
    Scheduler *Of = In->scheduler();
    if (!Of)
      continue;
    for (const Endpoint &Origin : Of->origins()) {
      if (Origin == Self_ || Now - Contacts_[Origin] < OwnerSilence)
        continue;
      Silent.insert(Origin);
      // After a pause of this process its pings are still to be read.
      if (SilentOrigins_.count(Origin) == 0)
        continue;
      logEvent(LogLevel::Warning, Module, "entry_silent",
               {{"entry", Origin.text()},
                {"pool", Name},
                {"heard_us", (Now - Contacts_[Origin]).count()}});
      Of->dropOrigin(Origin);
    }
  }
  SilentOrigins_ = std::move(Silent);
}

std::map<Endpoint, std::set<PoolName>> EntryJobs::pingsDue(bool Follow) const {
  Time Now = Deps_.Clock.now();
  std::map<Endpoint, std::set<PoolName>> Due;
  for (const auto &[Name, In] : Pools_) {
    if (!In->isCandidate())
      continue;
    for (const Endpoint &To : pingTargets(In->view(), Now))
      Due[To].insert(Name);
    if (!Follow)
      continue;
    if (youngAge())
      for (const Endpoint &To : In->candidatesToHear())
        Due[To].insert(Name);
    for (const Endpoint &To : followTargets(In->view(), Now))
      Due[To].insert(Name);
  }
  // An owner elsewhere must hear that it is heard while it has jobs from here.
  for (const PendingRequestPtr &What : PendingRequests_)
    if (What->SentTo && What->SentTo->At != Self_)
      Due[What->SentTo->At].insert(What->Pool);
  return Due;
}

void EntryJobs::pingAll() {
  rankCandidates();
  shareOwnership();
  bool Follow = PingRounds_++ % (FollowInterval / PingInterval) == 0;
  for (const auto &[To, About] : pingsDue(Follow))
    ping(To, About);
  Deps_.Timers.after(PingInterval, [this] { pingAll(); });
}

void EntryJobs::tellCandidates(const PoolMember &Of) {
  // All hear of the claim at once, so that they hand their jobs in again.
  for (const Endpoint &Entry : Of.view().Ranked)
    if (Entry != Self_)
      ping(Entry, {Of.name()});
}

void EntryJobs::ping(const Endpoint &To, const std::set<PoolName> &About,
                     bool TellsSuspects) {
  std::size_t &UnderWay = PingsUnderWay_[To];
  if (UnderWay >= MaxPings)
    return;
  ++UnderWay;
  Json::Value Params(Json::objectValue);
  for (const PoolName &Name : About)
    if (const PoolMember *In = findPool(Name))
      Params["pools"][Name.value()] = In->writeClaim();
  Params["from"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["echo_us"] = Json::UInt64(Echoes_[To].Stamp);
  Params["sent_us"] = Json::UInt64(stampOf(Deps_.Clock.now()));
  Params["stopping"] = Stopping_;
  if (youngAge())
    Params["young"] = true;
  if (TellsSuspects)
    Params["suspects"] = suspectsToTell(false, false);
  Deps_.Client.call(
      To, wire::method::Ping, std::move(Params), PingTimeout,
      [this, To, Sent = Deps_.Clock.now()](const Outcome<Json::Value> &Result) {
        pinged(To, Sent, Result);
      });
}

void EntryJobs::pinged(const Endpoint &To, Time Sent,
                       const Outcome<Json::Value> &Result) {
  --PingsUnderWay_[To];
  if (!Result) {
    // A refusal within the time of a round trip is the VM's own: no process
    // listens there. A late one is a connection that never came about.
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
  takePools(*Result, To);
  takeSuspects((*Result)["suspects"]);
  bool Owner =
      std::any_of(Pools_.begin(), Pools_.end(), [&](const auto &Entry) {
        return Entry.second->view().Owner.At == To;
      });
  if (Owner)
    redispatchParked();
}

const Json::Value &EntryJobs::suspectsToTell(bool AskerIsYoung, bool Fresh) {
  WrittenSuspects &Told = SuspectsTold_[AskerIsYoung];
  Time Now = Deps_.Clock.now();
  if (!Fresh && Told.At && Now - *Told.At < PingInterval)
    return Told.Written;
  SuspectsByJob Known;
  if (AskerIsYoung)
    Known = Suspects_;
  for (const auto &[Name, In] : Pools_)
    if (const Scheduler *Of = In->scheduler())
      merge(Known, Of->suspects());
  Told = {Now, wire::write(Known, Now)};
  return Told.Written;
}

void EntryJobs::tellSuspects(const PoolMember &Of) {
  suspectsToTell(false, true);
  for (const Endpoint &Next : frontRanks(Of.view(), Deps_.Clock.now()))
    ping(Next, {Of.name()}, true);
}

void EntryJobs::takeSuspects(const Json::Value &From) {
  Time Now = Deps_.Clock.now();
  SuspectsByJob Told = wire::readSuspectsByJob(From, Now);
  if (Told.empty())
    return;
  forgetOld(Suspects_, Now);
  merge(Suspects_, Told);
  // One that has just started may have claimed a pool before it was told.
  if (!youngAge())
    return;
  for (const auto &[Name, In] : Pools_)
    if (In->scheduler())
      In->scheduler()->takeSuspects(Told);
}

void EntryJobs::takePools(const Json::Value &From, const Endpoint &Speaker) {
  const Json::Value &Told = From["pools"];
  if (!Told.isObject())
    return;
  for (const std::string &Name : Told.getMemberNames())
    if (PoolMember *In = findPool(PoolName(Name)))
      In->takeWord(Told[Name], Speaker);
}

void EntryJobs::noteEcho(const Endpoint &From, const Json::Value &Params) {
  // The echo is this entry's own clock; one from before its start means
  // nothing, and one from the future is none of its own.
  if (!Params["echo_us"].isUInt64() || Params["echo_us"].asUInt64() == 0)
    return;
  Time Heard{
      Duration(static_cast<Duration::rep>(Params["echo_us"].asUInt64()))};
  Time &Contact = Contacts_[From];
  Contact = std::max(Contact, std::min(Heard, Deps_.Clock.now()));
}

bool EntryJobs::isNewest(const Endpoint &From, const Json::Value &Params) {
  std::uint64_t Sent = wire::numberOf(Params, "sent_us");
  std::uint64_t &Latest = LatestPings_[From];
  if (Sent < Latest)
    return false;
  Latest = Sent;
  return true;
}

void EntryJobs::noteIncarnation(const Endpoint &From,
                                const Json::Value &Params) {
  std::uint64_t Told = wire::numberOf(Params, "incarnation");
  std::uint64_t &Known = Incarnations_[From];
  if (Told == 0 || Told == Known)
    return;
  Known = Told;
  LatestPings_.erase(From);
  std::erase_if(Incoming_, [&](const IncomingPtr &Each) {
    return Each->ArrivalInfo.From.Origin == From &&
           Each->ArrivalInfo.From.Incarnation != Told;
  });
  for (auto &[Name, In] : Pools_)
    if (In->scheduler())
      In->scheduler()->dropEarlier(From, Told);
}

bool EntryJobs::hasFreshEcho(const Endpoint &Owner) const {
  auto Found = Echoes_.find(Owner);
  return Found != Echoes_.end() &&
         Deps_.Clock.now() - Found->second.Taken < FreshEcho;
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
  if (isNewest(*From, Params)) {
    noteHeard(Peers_, *From, wire::isSet(Params, "stopping"),
              Deps_.Clock.now());
    takePools(Params, *From);
    takeSuspects(Params["suspects"]);
    noteEcho(*From, Params);
  }
  Json::Value Result(Json::objectValue);
  if (Params["pools"].isObject())
    for (const std::string &Name : Params["pools"].getMemberNames())
      if (const PoolMember *In = findPool(PoolName(Name)))
        Result["pools"][Name] = In->writeClaim();
  Result["stamp_us"] = Json::UInt64(stampOf(Deps_.Clock.now()));
  Result["stopping"] = Stopping_;
  if (auto Age = youngAge())
    Result["age_us"] = Json::UInt64(Age->count());
  const Json::Value &Suspects =
      suspectsToTell(wire::isSet(Params, "young"), false);
  if (!Suspects.empty())
    Result["suspects"] = Suspects;
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
