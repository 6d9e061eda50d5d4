//===- registration.cpp - An owner asks before it starts ------------------===//
//
// Jobs that are brought to the owner of a pool. It runs one whose home is
// another pool only once the job's registrar has agreed, see jobregister.h.
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
/// A registrar of the same data centre answers within some milliseconds; one
/// that is busy, within its turn. Then it is asked again, or its successor.
constexpr Duration RegisterTimeout = std::chrono::milliseconds(100);
/// The word that a job may go anywhere is repeated so often. After that the
/// claim lapses by itself.
constexpr int ReleaseTries = 3;
/// What the caller of a job is told to wait whose registrar is not found: a
/// lost owner is replaced within that time.
constexpr Duration RetryAfterNoRegistrar = std::chrono::seconds(1);

Error certainlyNotTaken(const char *Reason) {
  return Error{ErrorCode::Refused, Reason};
}

} // namespace

const std::vector<PoolName> &
EntryJobs::homesIn(const DataCentreId &DataCentre) const {
  static const std::vector<PoolName> Nothing;
  auto Found = Homes_.find(DataCentre);
  return Found == Homes_.end() ? Nothing : Found->second;
}

PoolName EntryJobs::homeOfJob(const JobId &Id) const {
  return homeOf(Id, homesIn(DataCentre_)).value_or(PoolName());
}

void EntryJobs::takeIn(IncomingPtr New, PoolMember &In) {
  New->Pool = In.name();
  New->Token = In.scheduler()->token();
  New->Since = Needs_.Clock.now();
  if (New->Home.value().empty() || In.scheduler()->hasAnswerFor(New->Wanted.Id))
    return runIncoming(New, In);
  Incoming_.insert(New);
  askRegistrar(New);
}

std::optional<Endpoint> EntryJobs::registrarOf(const Incoming &Of) const {
  const PoolMember *Home = findPool(Of.Home);
  bool Watched = Home && Home->dataCentre() == DataCentre_;
  if (Watched && Home->view().Owner.Token != FencingToken(0))
    return Home->view().Owner.At;
  return Watched ? std::nullopt : Of.Registrar;
}

void EntryJobs::askRegistrar(const IncomingPtr &What) {
  std::optional<Endpoint> Registrar = registrarOf(*What);
  if (!Registrar)
    return;
  What->Question = ++LastQuestion_;
  Claimant By{What->Pool, What->Token, What->Question};
  if (*Registrar == Self_) {
    if (auto Agreed = agreeTo(What->Home, What->Wanted.Id, By))
      claimed(What, Agreed->Answer);
    return;
  }
  What->Asking = true;
  Needs_.Client.call(
      *Registrar, wire::method::Register, writeClaim(*What), RegisterTimeout,
      [this, What, By, At = *Registrar](const Outcome<Json::Value> &Result) {
        What->Asking = false;
        takeClaimAnswer(What, By, At, Result);
      });
}

void EntryJobs::takeClaimAnswer(const IncomingPtr &What, const Claimant &By,
                                const Endpoint &Registrar,
                                const Outcome<Json::Value> &Result) {
  auto Told = attempt([&]() -> RetVal<RegistrarWord> {
    if (!Result)
      return fail(Result.error());
    return wire::readRegistrarWord(*Result);
  });
  if (!Told) {
    // The tick asks again.
    logEvent(LogLevel::Warning, Module, "registrar_silent",
             {{"job", What->Wanted.Id},
              {"home", What->Home},
              {"registrar", Registrar.text()},
              {"reason", Told.error().Message}});
    return;
  }
  FencingToken &Heeded = Heeded_[What->Home];
  if (Told->Token < Heeded) {
    logEvent(LogLevel::Warning, Module, "registrar_outdated",
             {{"job", What->Wanted.Id},
              {"home", What->Home},
              {"registrar", Registrar.text()},
              {"token", Told->Token.value()},
              {"heeded", Heeded.value()}});
    return;
  }
  Heeded = Told->Token;
  if (Incoming_.count(What) != 0)
    claimed(What, Told->Answer);
  else if (Told->Answer.Pool == By.Pool)
    giveBack(*What);
}

void EntryJobs::claimed(const IncomingPtr &Given, const ClaimAnswer &Answer) {
  // The set may hold the last other reference to it.
  IncomingPtr What = Given;
  Incoming_.erase(What);
  if (Answer.Pool != What->Pool) {
    logEvent(LogLevel::Info, Module, "job_registered_elsewhere",
             {{"job", What->Wanted.Id},
              {"wanted", What->Pool},
              {"pool", Answer.Pool}});
    return What->Elsewhere(Answer.Pool);
  }
  PoolMember *In = findPool(What->Pool);
  bool Owns = In && In->scheduler() && ownsPool(In->view()) &&
              In->scheduler()->token() == What->Token;
  if (!Owns || !isFresh(What->How.From.Origin)) {
    giveBack(*What);
    return What->Ended(certainlyNotTaken("the pool has another owner, or the "
                                         "job has waited for too long"));
  }
  What->How.MaybeTaken = What->How.MaybeTaken || Answer.HadByOther;
  runIncoming(What, *In);
}

void EntryJobs::runIncoming(const IncomingPtr &What, PoolMember &In) {
  Duration Waited = Needs_.Clock.now() - What->Since;
  What->How.Age += Waited;
  What->How.Patience -= Waited;
  In.scheduler()->run(What->Wanted, What->How,
                      [this, What](const Outcome<TransientEnd> &Ended) {
                        if (wasRefused(Ended) && !What->How.MaybeTaken)
                          giveBack(*What);
                        What->Ended(Ended);
                      });
}

void EntryJobs::askRegistrarsAgain() {
  Time Now = Needs_.Clock.now();
  std::vector<IncomingPtr> Waiting(Incoming_.begin(), Incoming_.end());
  for (const IncomingPtr &What : Waiting) {
    if (Incoming_.count(What) == 0)
      continue;
    const PoolMember *In = findPool(What->Pool);
    if (!In || !In->scheduler() || In->scheduler()->token() != What->Token) {
      Incoming_.erase(What);
      What->Ended(certainlyNotTaken("the pool has another owner"));
    } else if (Now - What->Since + What->How.Age >= BeforeCallersReturn) {
      Incoming_.erase(What);
      logEvent(LogLevel::Warning, Module, "registrar_not_found",
               {{"job", What->Wanted.Id},
                {"home", What->Home},
                {"waited_us", (Now - What->Since).count()}});
      What->Ended(refusalOf("its registrar was not found in time",
                            RetryAfterNoRegistrar));
    } else if (!What->Asking) {
      askRegistrar(What);
    }
  }
}

bool EntryJobs::dropIncoming(const JobId &Id, const WaiterId &From) {
  return std::erase_if(Incoming_, [&](const IncomingPtr &Each) {
           return Each->Wanted.Id == Id && Each->How.From == From;
         }) != 0;
}

bool EntryJobs::holds(const JobId &Id, const PoolName &Pool) const {
  const PoolMember *In = findPool(Pool);
  return (In && In->scheduler() && In->scheduler()->has(Id)) ||
         std::any_of(Incoming_.begin(), Incoming_.end(),
                     [&](const IncomingPtr &Each) {
                       return Each->Wanted.Id == Id && Each->Pool == Pool;
                     });
}

void EntryJobs::giveBack(const Incoming &Of) {
  if (Of.Question == 0 || holds(Of.Wanted.Id, Of.Pool))
    return;
  std::optional<Endpoint> Registrar = registrarOf(Of);
  if (!Registrar)
    return;
  if (*Registrar == Self_)
    return releaseHere(Of.Home, Of.Wanted.Id, {Of.Pool, Of.Token, Of.Question});
  Json::Value Params = writeClaim(Of);
  Params["release"] = true;
  sendRelease(*Registrar, Params, ReleaseTries);
}

void EntryJobs::sendRelease(const Endpoint &Registrar,
                            const Json::Value &Params, int Tries) {
  Needs_.Client.call(
      Registrar, wire::method::Register, Params, RegisterTimeout,
      [this, Registrar, Params, Tries](const Outcome<Json::Value> &Result) {
        if (!Result && Tries > 1)
          sendRelease(Registrar, Params, Tries - 1);
      });
}

Json::Value EntryJobs::writeClaim(const Incoming &Of) {
  Json::Value Params(Json::objectValue);
  Params["job"] = Of.Wanted.Id.value();
  Params["home"] = Of.Home.value();
  Params["pool"] = Of.Pool.value();
  Params["token"] = Json::UInt64(Of.Token.value());
  Params["question"] = Json::UInt64(Of.Question);
  return Params;
}

} // namespace geraniumbay::jobs
