//===- poolowner.cpp - An entry's part in owning the pool -----------------===//
//
// Pings, claims, and what the owner does for other entries.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration PingTimeout = std::chrono::milliseconds(300);

/// The owner's clock as a number that comes back to it.
std::uint64_t stampOf(Time At) {
  return static_cast<std::uint64_t>(At.time_since_epoch().count());
}

/// How long a new owner leaves alone what runs of unknown jobs, for the entries
/// to hand these in again. Behind an owner that was silent for long, little
/// that runs is left; it is stopped at once.
Duration keepOrphans(const OwnerLoss &Loss) {
  constexpr Duration Keep = std::chrono::milliseconds(1000);
  return Loss.LetGo || Loss.Refused ? Keep : Duration(0);
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

std::uint64_t serialOf(const Json::Value &From) {
  return From["serial"].isUInt64() ? From["serial"].asUInt64() : 0;
}

bool flag(const Json::Value &From, const char *Name) {
  return From[Name].isBool() && From[Name].asBool();
}

} // namespace

void EntryJobs::tick() {
  Time Now = Needs_.Clock.now();
  if (!ControlSchedules_) {
    auto Claim = claimIfDue(View_, Now, Needs_.Clock.wallNow());
    if (Claim) {
      logEvent(LogLevel::Info, Module, "pool_claimed",
               {{"token", Claim->Token.value()},
                {"entries", View_.Ranked.size()},
                {"earlier", View_.Earlier.At.text()},
                {"let_go", earlierOwnerLoss(View_).LetGo}});
      pingEntries();
    }
  }
  followOwner();
  dropSilentOrigins(Now);
  redispatchParked();
  Needs_.Timers.after(TickInterval, [this] { tick(); });
}

void EntryJobs::followOwner() {
  bool Owns = ownsPool(View_) && !ControlSchedules_;
  if (Scheduler_ && Owns && Scheduler_->token() != View_.Owner.Token) {
    logEvent(LogLevel::Info, Module, "pool_token_raised",
             {{"token", View_.Owner.Token.value()}});
    Scheduler_->raiseToken(View_.Owner.Token, MetOther_);
    MetOther_ = false;
    pingEntries();
  }
  if (Scheduler_ && !Owns) {
    logEvent(LogLevel::Warning, Module, "pool_let_go",
             {{"token", Scheduler_->token().value()},
              {"owner", View_.Owner.At.text()},
              {"owner_token", View_.Owner.Token.value()}});
    Scheduler_.reset();
  }
  if (!Owns || Scheduler_)
    return;
  SchedulerNeeds Needs{[this] { return ownsPool(View_); },
                       [this](FencingToken Token) {
                         noteFenced(View_, Token, Needs_.Clock.now());
                       },
                       nullptr,
                       NoDurableJobs_,
                       Needs_.Workers,
                       Needs_.Clock,
                       Needs_.Timers,
                       Needs_.Measured};
  LeaseSettings Lease = Lease_;
  OwnerLoss Loss = earlierOwnerLoss(View_);
  Lease.EarlierOwner = Loss.LetGo ? Duration(0) : OwnerSilence;
  Lease.KeepOrphans = keepOrphans(Loss);
  Lease.RenewOrphans = Loss.LetGo;
  Scheduler_ =
      std::make_unique<Scheduler>(std::move(Needs), View_.Owner.Token, Lease);
  Scheduler_->takeWorkers(Directory_);
}

void EntryJobs::dropSilentOrigins(Time Now) {
  if (!Scheduler_)
    return;
  for (const Endpoint &Origin : Scheduler_->origins()) {
    if (Origin == Self_ || Now - Contacts_[Origin] < OwnerSilence)
      continue;
    logEvent(LogLevel::Warning, Module, "entry_silent",
             {{"entry", Origin.text()}});
    Scheduler_->dropOrigin(Origin);
  }
}

void EntryJobs::pingAll() {
  for (const Endpoint &To : pingTargets(View_, Needs_.Clock.now()))
    ping(To);
  Needs_.Timers.after(PingInterval, [this] { pingAll(); });
}

void EntryJobs::pingEntries() {
  // All hear of the claim at once, so that they hand their jobs in again.
  for (const Endpoint &Entry : View_.Ranked)
    if (Entry != Self_)
      ping(Entry);
}

void EntryJobs::meetOwner(const Json::Value &From, const OwnerClaim &Word,
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
             {{"other", Speaker.text()},
              {"workers", Own},
              {"others_workers", Others},
              {"owner", View_.Owner.At.text()}});
}

Json::Value EntryJobs::writeClaim() const {
  Json::Value Result(Json::objectValue);
  Result["owner"] = View_.Owner.At.text();
  Result["token"] = Json::UInt64(View_.Owner.Token.value());
  Result["highest"] = Json::UInt64(View_.Highest.value());
  if (Scheduler_ && ownsPool(View_))
    Result["workers"] = Json::UInt64(Scheduler_->workers());
  if (View_.Rival.Token != FencingToken(0)) {
    Result["rival"] = View_.Rival.At.text();
    Result["rival_token"] = Json::UInt64(View_.Rival.Token.value());
  }
  return Result;
}

OwnerClaim EntryJobs::takeClaim(const Json::Value &From,
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
             {{"owner", Claim->At.text()}, {"token", Claim->Token.value()}});
  return Claim ? *Claim : OwnerClaim();
}

void EntryJobs::ping(const Endpoint &To) {
  if (!PingsUnderWay_.insert(To).second)
    return;
  Json::Value Params = writeClaim();
  Params["from"] = Self_.text();
  Params["echo_us"] = Json::UInt64(Echoes_[To].Stamp);
  Params["stopping"] = View_.Stopping;
  Needs_.Client.call(
      To, wire::method::Ping, std::move(Params), PingTimeout,
      [this, To, Sent = Needs_.Clock.now()](
          const Outcome<Json::Value> &Result) { pinged(To, Sent, Result); });
}

void EntryJobs::pinged(const Endpoint &To, Time Sent,
                       const Outcome<Json::Value> &Result) {
  PingsUnderWay_.erase(To);
  if (!Result) {
    // A refusal within the time of a round trip is the VM's own: no process
    // listens there. A late one is a connection that never came about.
    bool AtOnce = Needs_.Clock.now() - Sent < PingTimeout;
    if (Result.error().Code == ErrorCode::Refused && AtOnce)
      noteRefused(View_, To, Needs_.Clock.now());
    return;
  }
  noteAnswer(View_, To, flag(*Result, "stopping"), Sent);
  if ((*Result)["stamp_us"].isUInt64())
    Echoes_[To] = {(*Result)["stamp_us"].asUInt64(), Sent};
  OwnerClaim Word = takeClaim(*Result, To);
  noteOwnWord(View_, To, Word);
  meetOwner(*Result, Word, To);
  if (To == View_.Owner.At)
    redispatchParked();
}

void EntryJobs::noteEcho(const Endpoint &From, const Json::Value &Params) {
  // The echo is this entry's own clock; one from before its start means
  // nothing, and one from the future is none of its own.
  if (!Params["echo_us"].isUInt64() || Params["echo_us"].asUInt64() == 0)
    return;
  Time Heard{
      Duration(static_cast<Duration::rep>(Params["echo_us"].asUInt64()))};
  Time &Contact = Contacts_[From];
  Contact = std::max(Contact, std::min(Heard, Needs_.Clock.now()));
}

bool EntryJobs::hasFreshEcho(const Endpoint &Owner) const {
  auto Found = Echoes_.find(Owner);
  return Found != Echoes_.end() &&
         Needs_.Clock.now() - Found->second.Taken < OwnerSilence;
}

void EntryJobs::answerPing(const Json::Value &Params, const Reply &Answer) {
  auto From = attempt([&] { return wire::readEndpoint(Params, "from"); });
  if (!From)
    return Answer(From.error());
  noteHeard(View_, *From, Needs_.Clock.now());
  OwnerClaim Word = takeClaim(Params, *From);
  noteOwnWord(View_, *From, Word);
  meetOwner(Params, Word, *From);
  if (flag(Params, "stopping"))
    noteStopping(View_, *From);
  noteEcho(*From, Params);
  Json::Value Result = writeClaim();
  Result["stamp_us"] = Json::UInt64(stampOf(Needs_.Clock.now()));
  Result["stopping"] = View_.Stopping;
  Answer(std::move(Result));
}

void EntryJobs::answerDrop(const Json::Value &Params, const Reply &Answer) {
  auto Job = attempt([&] { return json::readString(Params, "job"); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  if (!Job || !Origin)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  if (Scheduler_)
    Scheduler_->dropWaiter(JobId(*Job), {*Origin, serialOf(Params)});
  Answer(Json::Value(Json::objectValue));
}

void EntryJobs::answerRun(const Json::Value &Params, const Reply &Answer) {
  auto Wanted = attempt([&] { return wire::readJob(Params["job"]); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  auto Left = attempt([&] { return json::readUint(Params, "left_us"); });
  if (!Wanted || !Origin || !Left)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  auto NotOwner = [this](bool MaybeTaken) {
    Json::Value Result = writeClaim();
    Result["not_owner"] = true;
    if (MaybeTaken)
      Result["maybe_taken"] = true;
    return Result;
  };
  if (!Scheduler_ || !ownsPool(View_))
    return Answer(NotOwner(false));
  noteEcho(*Origin, Params);
  Scheduler_->run(std::move(*Wanted),
                  Duration(static_cast<Duration::rep>(*Left)),
                  {*Origin, serialOf(Params)}, flag(Params, "maybe_taken"),
                  [Answer, NotOwner](const Outcome<JobState> &Ended) {
                    if (Ended)
                      return Answer(wire::write(answerOfEnd(*Ended)));
                    Answer(NotOwner(true));
                  });
}

} // namespace geraniumbay::jobs
