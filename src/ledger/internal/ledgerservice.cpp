//===- ledgerservice.cpp - A ledger process -------------------------------===//
//
// Methods, the timer and what follows from a sync or a new view.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/ledgerservice.h"
#include "framework/log/log.h"
#include "ledger/internal/entrywire.h"

namespace geraniumbay::ledger {

namespace {

/// How often a ledger whose disk has failed tries to use it again.
constexpr Duration RepairInterval = std::chrono::milliseconds(800);

/// Hands a typed result on as JSON.
template <typename T>
Primary::Reply<T> asJson(IRpcServer::Reply Answer,
                         Json::Value (*Write)(const T &)) {
  return [Answer = std::move(Answer), Write](const Outcome<T> &Result) {
    if (Result)
      Answer(Write(*Result));
    else
      Answer(Result.error());
  };
}

Json::Value writeAnswer(const std::string &Answer) {
  Json::Value Out(Json::objectValue);
  Out["answer"] = Answer;
  return Out;
}

Json::Value writeReleased(const Done & /*Value*/) {
  Json::Value Out(Json::objectValue);
  Out["released"] = true;
  return Out;
}

Json::Value writeEpoch(const Epoch &Value) {
  Json::Value Out(Json::objectValue);
  Out["epoch"] = Json::UInt64(Value.value());
  return Out;
}

/// Reads parameters with \p Read and passes them to \p Handle, or answers with
/// the error.
template <typename ReadT, typename HandleT>
IRpcServer::Method typed(ReadT Read, HandleT Handle) {
  return [Read, Handle](const Json::Value &Params, IRpcServer::Reply Answer) {
    auto Request = attempt([&] { return Read(Params); });
    if (Request)
      Handle(*Request, std::move(Answer));
    else
      Answer(Request.error());
  };
}

} // namespace

LedgerService::LedgerService(const LedgerConfig &Config, const IClock &Clock,
                             ITimers &Timers, IStorage &Storage,
                             IRpcServer &Server, IRpcClient &Client,
                             const ProposeView &Propose, std::uint64_t Seed)
    : Config_(Config), Clock_(Clock), Timers_(Timers), Numbers_(Seed),
      Replica_(Config_, Clock, Storage, Numbers_, [this] { onSynced(); }),
      Replicator_(Config_, Clock, Client, Replica_, Propose,
                  [this] { Primary_.onProgress(); }),
      Primary_(Config_, Clock, Replica_, Replicator_),
      Follower_(Config_, Clock, Client, Replica_, Propose),
      LastTick_(Clock.now()) {
  offerMethods(Server);
}

LedgerService::~LedgerService() { Timers_.cancel(NextTick_); }

Ret LedgerService::start() {
  auto Opened = attempt([this] { return Replica_.open(); });
  if (!Opened) {
    NextTick_ = Timers_.after(RepairInterval,
                              [this] { attempt([this] { return start(); }); });
    return fail(Opened.error());
  }
  Started_ = true;
  logEvent(LogLevel::Info, "ledger", "started",
           {{"data_centre", Config_.DataCentre},
            {"disk", Replica_.self().Disk},
            {"records", Replica_.past().Last.Index},
            {"submissions", Replica_.claims().Entries.size()}});
  onViewChanged();
  LastTick_ = Clock_.now();
  NextTick_ = Timers_.after(Config_.Tick, [this] { onTick(); });
  return {};
}

void LedgerService::applyView(const LedgerView &View) {
  if (!Started_ || View.DataCentre != Config_.DataCentre)
    return;
  auto Newer = attempt([&] { return Replica_.applyView(View); });
  if (!Newer)
    logEvent(LogLevel::Error, "ledger", "view_not_taken",
             {{"view", View.Number}, {"reason", Newer.error().Message}});
  else if (*Newer)
    onViewChanged();
}

LedgerStatus LedgerService::status() {
  Role Part = Replica_.role();
  LedgerStatus Result;
  Result.Self = Replica_.self();
  if (Replica_.view())
    Result.View = Replica_.view()->Number;
  Result.Current = Replica_.claims().Current;
  Result.IsPrimary = Part == Role::Primary;
  Result.IsMember = Part != Role::Outsider;
  Result.Failed = Replica_.failed();
  Result.Stalled = Result.IsPrimary && Replicator_.stalled();
  Result.LastIndex = Replica_.past().Last.Index;
  Result.CommittedIndex = Replicator_.committed();
  Result.Submissions = Replica_.claims().Entries.size();
  Result.Records = Replica_.stats().Records;
  Result.Syncs = Replica_.stats().Syncs;
  return Result;
}

void LedgerService::offerMethods(IRpcServer &Server) {
  offerToEntries(Server);
  offerToLedgers(Server);
}

void LedgerService::offerToEntries(IRpcServer &Server) {
  Server.method(method::Claim,
                typed(claimFromJson, [this](const auto &Request, auto Answer) {
                  notePause();
                  Primary_.claim(Request,
                                 asJson<ClaimReply>(std::move(Answer), toJson));
                }));
  Server.method(method::RecordAnswer,
                typed(answerFromJson, [this](const auto &Request, auto Answer) {
                  notePause();
                  Primary_.record(Request, asJson<std::string>(
                                               std::move(Answer), writeAnswer));
                }));
  Server.method(
      method::Release,
      typed(releaseFromJson, [this](const auto &Request, auto Answer) {
        notePause();
        Primary_.release(Request,
                         asJson<Done>(std::move(Answer), writeReleased));
      }));
  Server.method(
      method::Renew, typed(holderFromJson, [this](const auto &By, auto Answer) {
        notePause();
        Primary_.renew(By, asJson<Epoch>(std::move(Answer), writeEpoch));
      }));
}

void LedgerService::offerToLedgers(IRpcServer &Server) {
  Server.method(
      method::Replicate,
      typed(replicateFromJson, [this](const auto &Request, auto Answer) {
        Follower_.replicate(Request, [Answer](const PeerReply &Reply) {
          Answer(toJson(Reply));
        });
      }));
  Server.method(method::Copy,
                typed(copyFromJson, [this](const auto &Request, auto Answer) {
                  Follower_.copy(Request, [Answer](const PeerReply &Reply) {
                    Answer(toJson(Reply));
                  });
                }));
  Server.method(method::Join,
                typed(joinFromJson, [this](const auto &Request, auto Answer) {
                  Replicator_.join(Request);
                  Answer(Json::Value(Json::objectValue));
                }));
}

void LedgerService::onSynced() {
  Follower_.onSynced();
  Replicator_.push();
  Primary_.onProgress();
}

void LedgerService::onTick() {
  notePause();
  LastTick_ = Clock_.now();
  NextTick_ = Timers_.after(Config_.Tick, [this] { onTick(); });
  watchDisk();
  Replicator_.tick();
  Follower_.tick();
  Primary_.tick();
  Replica_.prune();
}

void LedgerService::watchDisk() {
  Time Now = Clock_.now();
  if (!Replica_.failed() || Now < RepairAt_)
    return;
  RepairAt_ = Now + RepairInterval;
  if (!FailedSince_) {
    FailedSince_ = Now;
    logEvent(LogLevel::Error, "ledger", "disk_failed",
             {{"reason", Replica_.failure()},
              {"last", Replica_.past().Last.Index},
              {"durable", Replica_.durableIndex()}});
  }
  auto Written = attempt([this] { return Replica_.repair(); });
  if (!Written)
    return;
  logEvent(LogLevel::Info, "ledger", "disk_recovered",
           {{"failed_us", (Now - *std::exchange(FailedSince_, {})).count()},
            {"submissions", Replica_.claims().Entries.size()},
            {"last", Replica_.past().Last.Index}});
  Follower_.dropCopy();
  onSynced();
}

void LedgerService::notePause() {
  if (Clock_.now() - LastTick_ <= Config_.LongPause)
    return;
  // This process stood still, so it can't tell who was silent.
  LastTick_ = Clock_.now();
  Replicator_.forgiveSilence();
  Follower_.forgiveSilence();
  Primary_.forgiveSilence();
}

void LedgerService::onViewChanged() {
  Replicator_.viewChanged();
  Follower_.viewChanged();
  Primary_.viewChanged();
  if (Replica_.view())
    logEvent(LogLevel::Info, "ledger", "view",
             {{"view", Replica_.view()->Number},
              {"epoch", Replica_.view()->LedgerEpoch},
              {"primary", Replica_.view()->Primary},
              {"members", Replica_.view()->Members.size()}});
}

} // namespace geraniumbay::ledger
