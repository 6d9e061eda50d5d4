//===- registration.cpp - Claims of jobs by the owner of a pool -----------===//
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
#include <utility>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A registrar that has not answered for this long is asked again. Shorter
/// times would only add load to a registrar that is short of processor time.
/// Its successor is asked at once.
constexpr Duration RegistrarTimeout = std::chrono::milliseconds(300);
/// The delay after a request that failed, or that reached a registrar which
/// cannot agree yet; it grows the longer requests fail. After a loss of all
/// processes the owners of many pools ask the registrars of many homes in vain,
/// which must have time left for their own work.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(25);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(200);
/// A registrar needs some milliseconds for this many.
constexpr std::size_t MaxClaimsPerRequest = 64;
/// Releases that wait for a registrar to answer; further ones are dropped, and
/// their claims expire.
constexpr std::size_t MaxPendingReleases = 256;
/// After this time the claims have expired by themselves.
constexpr Duration ReleaseLifetime = std::chrono::seconds(10);
/// The delay that a caller is told if its job's registrar is not found: a lost
/// owner is replaced within that time.
constexpr Duration RetryAfterNoRegistrar = std::chrono::seconds(1);

/// The answer for a job that was certainly not accepted here.

Error refusedError(const char *Reason) {
  return Error{ErrorCode::Refused, Reason};
}

} // namespace

const std::vector<PoolName> &
EntryJobs::homesIn(const DataCentreId &DataCentre) const {
  static const std::vector<PoolName> NoHomes;
  auto Found = Homes_.find(DataCentre);
  return Found == Homes_.end() ? NoHomes : Found->second;
}

PoolName EntryJobs::homeOfJob(const JobId &Id) const {
  return homeOf(Id, homesIn(DataCentre_)).value_or(PoolName());
}

void EntryJobs::admitJob(const IncomingPtr &Request, PoolMember &Member) {
  Request->Pool = Member.name();
  Request->Token = Member.scheduler()->token();
  Request->Since = Deps_.Clock.now();
  Request->Number = ++LastIncoming_;
  if (Request->Home.value().empty() ||
      Member.scheduler()->hasAnswerFor(Request->Wanted.Id))
    return runIncoming(Request, Member);
  if (Request->Registrar)
    RegistrarRequests_[Request->Home].ReportedRegistrar = Request->Registrar;
  Incoming_.insert(Request);
  askRegistrar(Request->Home);
}

std::optional<Endpoint> EntryJobs::findRegistrar(const PoolName &Name) {
  const PoolMember *Home = findPool(Name);
  if (!Home || Home->dataCentre() != DataCentre_)
    return RegistrarRequests_[Name].ReportedRegistrar;
  if (Home->view().Owner.Token == FencingToken(0))
    return std::nullopt;
  return Home->view().Owner.At;
}

void EntryJobs::claimLocally(const PoolName &Home) {
  std::vector<IncomingPtr> Waiting(Incoming_.begin(), Incoming_.end());
  for (const IncomingPtr &Request : Waiting) {
    if (Request->Home != Home || Incoming_.count(Request) == 0)
      continue;
    Request->Question = ++LastQuestion_;
    auto Agreed = registerClaim(Home, Request->Wanted.Id, claimantOf(*Request));
    if (!Agreed)
      return;
    handleClaimAnswer(Request, *Agreed);
  }
}

void EntryJobs::askRegistrar(const PoolName &Home) {
  std::optional<Endpoint> Registrar = findRegistrar(Home);
  if (!Registrar)
    return;
  if (*Registrar == Self_)
    return claimLocally(Home);
  RegistrarRequests &State = RegistrarRequests_[Home];
  Time Now = Deps_.Clock.now();
  // The next request is sent when the answer arrives.
  bool UnderWay = State.UnderWay && State.At == *Registrar;
  if (UnderWay || (State.At == *Registrar && Now < State.RetryAt))
    return;
  std::vector<IncomingPtr> Asked;
  Json::Value Params(Json::objectValue);
  Params["home"] = Home.value();
  Params["heeded"] = Json::UInt64(AcceptedTokens_[Home].value());
  for (const IncomingPtr &Each : Incoming_) {
    if (Each->Home != Home || Asked.size() == MaxClaimsPerRequest)
      continue;
    Each->Question = ++LastQuestion_;
    Asked.push_back(Each);
    Params["claims"].append(wire::write(Each->Wanted.Id, claimantOf(*Each)));
  }
  std::vector<Json::Value> Releases = std::exchange(State.Releases, {});
  for (const Json::Value &Each : Releases)
    Params["releases"].append(Each);
  if (Asked.empty() && Releases.empty())
    return;
  State.UnderWay = true;
  State.At = *Registrar;
  Deps_.Client.call(
      *Registrar, wire::method::Register, std::move(Params), RegistrarTimeout,
      [this, Home, Asked = std::move(Asked), Releases = std::move(Releases),
       Serial = ++State.Serial](const Outcome<Json::Value> &Result) {
        handleRegistrarReply(Home, Serial, Asked, Releases, Result);
      });
}

void EntryJobs::handleRegistrarFailure(
    const PoolName &Home, const std::vector<Json::Value> &Releases) {
  // tick() repeats the request.
  RegistrarRequests &State = RegistrarRequests_[Home];
  Time Now = Deps_.Clock.now();
  if (!State.FailingSince)
    State.FailingSince = Now;
  State.RetryAt = Now + std::clamp((Now - *State.FailingSince) / 2,
                                   MinRetryDelay, MaxRetryDelay);
  bool HaveExpired = Now - *State.FailingSince >= ReleaseLifetime;
  for (const Json::Value &Each : Releases)
    if (!HaveExpired && State.Releases.size() < MaxPendingReleases)
      State.Releases.push_back(Each);
}

void EntryJobs::handleRegistrarReply(const PoolName &Home, std::uint64_t Serial,
                                     const std::vector<IncomingPtr> &Asked,
                                     const std::vector<Json::Value> &Releases,
                                     const Outcome<Json::Value> &Result) {
  RegistrarRequests &State = RegistrarRequests_[Home];
  if (State.Serial == Serial)
    State.UnderWay = false;
  auto Parsed = attempt([&]() -> RetVal<RegistrarReply> {
    if (!Result)
      return fail(Result.error());
    return wire::readRegistrarWord(*Result);
  });
  if (!Parsed || Parsed->Answers.size() != Asked.size()) {
    logEvent(LogLevel::Warning, Module, "registrar_request_failed",
             {{"home", Home},
              {"jobs", Asked.size()},
              {"reason",
               Parsed ? "malformed answer" : Parsed.error().Message.c_str()}});
    return handleRegistrarFailure(Home, Releases);
  }
  FencingToken &AcceptedToken = AcceptedTokens_[Home];
  const PoolMember *HomeMember = findPool(Home);
  if (HomeMember && HomeMember->isCandidate())
    AcceptedToken = std::max(AcceptedToken, HomeMember->view().LastClaim);
  if (Parsed->Token < AcceptedToken) {
    logEvent(LogLevel::Warning, Module, "registrar_outdated",
             {{"home", Home},
              {"jobs", Asked.size()},
              {"token", Parsed->Token.value()},
              {"heeded", AcceptedToken.value()}});
    return handleRegistrarFailure(Home, Releases);
  }
  State.FailingSince.reset();
  AcceptedToken = Parsed->Token;
  for (std::size_t I = 0; I < Asked.size(); ++I) {
    if (Incoming_.count(Asked[I]) != 0)
      handleClaimAnswer(Asked[I], Parsed->Answers[I]);
    else
      releaseUnused(*Asked[I], Parsed->Answers[I]);
  }
  askRegistrar(Home);
}

void EntryJobs::handleClaimAnswer(const IncomingPtr &Request,
                                  const ClaimAnswer &Answer) {
  Incoming_.erase(Request);
  if (Answer.Pool != Request->Pool) {
    logEvent(LogLevel::Info, Module, "job_registered_elsewhere",
             {{"job", Request->Wanted.Id},
              {"wanted", Request->Pool},
              {"pool", Answer.Pool}});
    return Request->OnRedirected(Answer.Pool);
  }
  PoolMember *Member = findPool(Request->Pool);
  bool Owns = Member && Member->scheduler() && ownsPool(Member->view()) &&
              Member->scheduler()->token() == Request->Token;
  if (!Owns || !wasHeardRecently(Request->ArrivalInfo.From.Origin)) {
    releaseUnused(*Request, Answer);
    return Request->OnEnded(refusedError("the pool has another owner, or the "
                                         "job has waited for too long"));
  }
  Request->ArrivalInfo.MaybeTaken =
      Request->ArrivalInfo.MaybeTaken || Answer.HadOtherOwner;
  runIncoming(Request, *Member);
}

void EntryJobs::runIncoming(const IncomingPtr &Request, PoolMember &Member) {
  Duration Waited = Deps_.Clock.now() - Request->Since;
  Request->ArrivalInfo.Age += Waited;
  Request->ArrivalInfo.TimeLeft -= Waited;
  if (Request->ArrivalInfo.SentElsewhereAgo)
    *Request->ArrivalInfo.SentElsewhereAgo += Waited;
  Member.scheduler()->run(Request->Wanted, Request->ArrivalInfo,
                          [this, Request](const Outcome<TransientEnd> &Ended) {
                            if (wasRefused(Ended) &&
                                !Request->ArrivalInfo.MaybeTaken)
                              releaseClaim(*Request);
                            Request->OnEnded(Ended);
                          });
}

void EntryJobs::retryRegistrars() {
  Time Now = Deps_.Clock.now();
  std::set<PoolName> Due;
  std::vector<IncomingPtr> Waiting(Incoming_.begin(), Incoming_.end());
  for (const IncomingPtr &Request : Waiting) {
    if (Incoming_.count(Request) == 0)
      continue;
    const PoolMember *Member = findPool(Request->Pool);
    if (!Member || !Member->scheduler() ||
        Member->scheduler()->token() != Request->Token) {
      Incoming_.erase(Request);
      Request->OnEnded(refusedError("the pool has another owner"));
    } else if (Now - Request->Since + Request->ArrivalInfo.Age >=
               MaxStartDelay) {
      Incoming_.erase(Request);
      logEvent(LogLevel::Warning, Module, "registrar_not_found",
               {{"job", Request->Wanted.Id},
                {"home", Request->Home},
                {"waited_us", (Now - Request->Since).count()}});
      Request->OnEnded(refusalOf("its registrar was not found in time",
                                 RetryAfterNoRegistrar));
    } else {
      Due.insert(Request->Home);
    }
  }
  for (const auto &[Home, State] : RegistrarRequests_)
    if (!State.Releases.empty())
      Due.insert(Home);
  for (const PoolName &Home : Due)
    askRegistrar(Home);
}

bool EntryJobs::dropIncoming(const JobId &Id, const WaiterId &From) {
  return std::erase_if(Incoming_, [&](const IncomingPtr &Each) {
           return Each->Wanted.Id == Id && Each->ArrivalInfo.From == From;
         }) != 0;
}

bool EntryJobs::holds(const JobId &Id, const PoolName &Pool) const {
  const PoolMember *Member = findPool(Pool);
  return (Member && Member->scheduler() && Member->scheduler()->has(Id)) ||
         std::any_of(Incoming_.begin(), Incoming_.end(),
                     [&](const IncomingPtr &Each) {
                       return Each->Wanted.Id == Id && Each->Pool == Pool;
                     });
}

void EntryJobs::releaseUnused(const Incoming &Request,
                              const ClaimAnswer &Answer) {
  // Tasks that an earlier owner of the pool has started may still run here.
  if (Answer.Pool == Request.Pool && !Answer.HadOtherOwner)
    releaseClaim(Request);
}

void EntryJobs::releaseClaim(const Incoming &Request) {
  if (Request.Question == 0 || holds(Request.Wanted.Id, Request.Pool))
    return;
  // Numbered after all claims of the job so far.
  Claimant Claim{Request.Pool, Request.Token, ++LastQuestion_};
  std::optional<Endpoint> Registrar = findRegistrar(Request.Home);
  if (Registrar && *Registrar == Self_)
    return releaseLocally(Request.Home, Request.Wanted.Id, Claim);
  RegistrarRequests &State = RegistrarRequests_[Request.Home];
  if (State.Releases.size() < MaxPendingReleases)
    State.Releases.push_back(wire::write(Request.Wanted.Id, Claim));
  askRegistrar(Request.Home);
}

Claimant EntryJobs::claimantOf(const Incoming &Request) {
  return {Request.Pool, Request.Token, Request.Question};
}

} // namespace geraniumbay::jobs
