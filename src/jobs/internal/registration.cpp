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
#include <utility>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A registrar that has not answered for so long is asked again. One that is
/// short of processor time needs its turn, and would get more to do by shorter
/// times; its successor is asked at once.
constexpr Duration RegisterTimeout = std::chrono::milliseconds(300);
/// After a question that failed, or came to one that cannot agree yet; longer
/// the longer that lasts. After a loss of all the owners of many pools ask the
/// registrars of many homes in vain, and these must get to their own work.
constexpr Duration AskAgainAfter = std::chrono::milliseconds(25);
constexpr Duration LongestAskAgain = std::chrono::milliseconds(200);
/// Jobs in one question. A registrar takes some milliseconds for so many.
constexpr std::size_t MostClaims = 64;
/// Claims to give back that wait for a registrar to answer; others lapse.
constexpr std::size_t MostReleases = 256;
/// By then the claims have lapsed by themselves.
constexpr Duration ReleasesLast = std::chrono::seconds(10);
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

void EntryJobs::takeIn(const IncomingPtr &New, PoolMember &In) {
  New->Pool = In.name();
  New->Token = In.scheduler()->token();
  New->Since = Deps_.Clock.now();
  New->Number = ++LastIncoming_;
  if (New->Home.value().empty() || In.scheduler()->hasAnswerFor(New->Wanted.Id))
    return runIncoming(New, In);
  if (New->Registrar)
    Questions_[New->Home].Told = New->Registrar;
  Incoming_.insert(New);
  askRegistrar(New->Home);
}

std::optional<Endpoint> EntryJobs::registrarOf(const PoolName &Name) {
  const PoolMember *Home = findPool(Name);
  if (!Home || Home->dataCentre() != DataCentre_)
    return Questions_[Name].Told;
  if (Home->view().Owner.Token == FencingToken(0))
    return std::nullopt;
  return Home->view().Owner.At;
}

void EntryJobs::askHere(const PoolName &Home) {
  std::vector<IncomingPtr> Waiting(Incoming_.begin(), Incoming_.end());
  for (const IncomingPtr &What : Waiting) {
    if (What->Home != Home || Incoming_.count(What) == 0)
      continue;
    What->Question = ++LastQuestion_;
    auto Agreed = agreeTo(Home, What->Wanted.Id, claimantOf(*What));
    if (!Agreed)
      return;
    claimed(What, *Agreed);
  }
}

void EntryJobs::askRegistrar(const PoolName &Home) {
  std::optional<Endpoint> Registrar = registrarOf(Home);
  if (!Registrar)
    return;
  if (*Registrar == Self_)
    return askHere(Home);
  Questions &Of = Questions_[Home];
  Time Now = Deps_.Clock.now();
  // The answer brings the next question.
  bool UnderWay = Of.UnderWay && Of.At == *Registrar;
  if (UnderWay || (Of.At == *Registrar && Now < Of.NotBefore))
    return;
  std::vector<IncomingPtr> Asked;
  Json::Value Params(Json::objectValue);
  Params["home"] = Home.value();
  Params["heeded"] = Json::UInt64(Heeded_[Home].value());
  for (const IncomingPtr &Each : Incoming_) {
    if (Each->Home != Home || Asked.size() == MostClaims)
      continue;
    Each->Question = ++LastQuestion_;
    Asked.push_back(Each);
    Params["claims"].append(wire::write(Each->Wanted.Id, claimantOf(*Each)));
  }
  std::vector<Json::Value> Releases = std::exchange(Of.Releases, {});
  for (const Json::Value &Each : Releases)
    Params["releases"].append(Each);
  if (Asked.empty() && Releases.empty())
    return;
  Of.UnderWay = true;
  Of.At = *Registrar;
  Deps_.Client.call(
      *Registrar, wire::method::Register, std::move(Params), RegisterTimeout,
      [this, Home, Asked = std::move(Asked), Releases = std::move(Releases),
       Serial = ++Of.Serial](const Outcome<Json::Value> &Result) {
        takeRegistrarAnswer(Home, Serial, Asked, Releases, Result);
      });
}

void EntryJobs::noteUnanswered(const PoolName &Home,
                               const std::vector<Json::Value> &Releases) {
  // The tick asks again.
  Questions &Of = Questions_[Home];
  Time Now = Deps_.Clock.now();
  if (!Of.FailsSince)
    Of.FailsSince = Now;
  Of.NotBefore = Now + std::clamp((Now - *Of.FailsSince) / 2, AskAgainAfter,
                                  LongestAskAgain);
  bool Lapsed = Now - *Of.FailsSince >= ReleasesLast;
  for (const Json::Value &Each : Releases)
    if (!Lapsed && Of.Releases.size() < MostReleases)
      Of.Releases.push_back(Each);
}

void EntryJobs::takeRegistrarAnswer(const PoolName &Home, std::uint64_t Serial,
                                    const std::vector<IncomingPtr> &Asked,
                                    const std::vector<Json::Value> &Releases,
                                    const Outcome<Json::Value> &Result) {
  Questions &Of = Questions_[Home];
  if (Of.Serial == Serial)
    Of.UnderWay = false;
  auto Told = attempt([&]() -> RetVal<RegistrarWord> {
    if (!Result)
      return fail(Result.error());
    return wire::readRegistrarWord(*Result);
  });
  if (!Told || Told->Answers.size() != Asked.size()) {
    logEvent(
        LogLevel::Warning, Module, "registrar_silent",
        {{"home", Home},
         {"jobs", Asked.size()},
         {"reason", Told ? "malformed answer" : Told.error().Message.c_str()}});
    return noteUnanswered(Home, Releases);
  }
  FencingToken &Heeded = Heeded_[Home];
  const PoolMember *Known = findPool(Home);
  if (Known && Known->isCandidate())
    Heeded = std::max(Heeded, Known->view().LastClaim);
  if (Told->Token < Heeded) {
    logEvent(LogLevel::Warning, Module, "registrar_outdated",
             {{"home", Home},
              {"jobs", Asked.size()},
              {"token", Told->Token.value()},
              {"heeded", Heeded.value()}});
    return noteUnanswered(Home, Releases);
  }
  Of.FailsSince.reset();
  Heeded = Told->Token;
  for (std::size_t I = 0; I < Asked.size(); ++I) {
    if (Incoming_.count(Asked[I]) != 0)
      claimed(Asked[I], Told->Answers[I]);
    else if (Told->Answers[I].Pool == Asked[I]->Pool)
      giveBack(*Asked[I]);
  }
  askRegistrar(Home);
}

void EntryJobs::claimed(const IncomingPtr &What, const ClaimAnswer &Answer) {
  Incoming_.erase(What);
  if (Answer.Pool != What->Pool) {
    logEvent(LogLevel::Info, Module, "job_registered_elsewhere",
             {{"job", What->Wanted.Id},
              {"wanted", What->Pool},
              {"pool", Answer.Pool}});
    return What->OnRedirected(Answer.Pool);
  }
  PoolMember *In = findPool(What->Pool);
  bool Owns = In && In->scheduler() && ownsPool(In->view()) &&
              In->scheduler()->token() == What->Token;
  if (!Owns || !wasHeardRecently(What->ArrivalInfo.From.Origin)) {
    giveBack(*What);
    return What->OnEnded(certainlyNotTaken("the pool has another owner, or the "
                                           "job has waited for too long"));
  }
  What->ArrivalInfo.MaybeTaken =
      What->ArrivalInfo.MaybeTaken || Answer.HadByOther;
  runIncoming(What, *In);
}

void EntryJobs::runIncoming(const IncomingPtr &What, PoolMember &In) {
  Duration Waited = Deps_.Clock.now() - What->Since;
  What->ArrivalInfo.Age += Waited;
  What->ArrivalInfo.Patience -= Waited;
  In.scheduler()->run(What->Wanted, What->ArrivalInfo,
                      [this, What](const Outcome<TransientEnd> &Ended) {
                        if (wasRefused(Ended) && !What->ArrivalInfo.MaybeTaken)
                          giveBack(*What);
                        What->OnEnded(Ended);
                      });
}

void EntryJobs::askRegistrarsAgain() {
  Time Now = Deps_.Clock.now();
  std::set<PoolName> Due;
  std::vector<IncomingPtr> Waiting(Incoming_.begin(), Incoming_.end());
  for (const IncomingPtr &What : Waiting) {
    if (Incoming_.count(What) == 0)
      continue;
    const PoolMember *In = findPool(What->Pool);
    if (!In || !In->scheduler() || In->scheduler()->token() != What->Token) {
      Incoming_.erase(What);
      What->OnEnded(certainlyNotTaken("the pool has another owner"));
    } else if (Now - What->Since + What->ArrivalInfo.Age >=
               BeforeCallersReturn) {
      Incoming_.erase(What);
      logEvent(LogLevel::Warning, Module, "registrar_not_found",
               {{"job", What->Wanted.Id},
                {"home", What->Home},
                {"waited_us", (Now - What->Since).count()}});
      What->OnEnded(refusalOf("its registrar was not found in time",
                              RetryAfterNoRegistrar));
    } else {
      Due.insert(What->Home);
    }
  }
  for (const auto &[Home, Of] : Questions_)
    if (!Of.Releases.empty())
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
  // Later than all questions for the job so far.
  Claimant By{Of.Pool, Of.Token, ++LastQuestion_};
  std::optional<Endpoint> Registrar = registrarOf(Of.Home);
  if (Registrar && *Registrar == Self_)
    return releaseHere(Of.Home, Of.Wanted.Id, By);
  Questions &To = Questions_[Of.Home];
  if (To.Releases.size() < MostReleases)
    To.Releases.push_back(wire::write(Of.Wanted.Id, By));
  askRegistrar(Of.Home);
}

Claimant EntryJobs::claimantOf(const Incoming &Of) {
  return {Of.Pool, Of.Token, Of.Question};
}

} // namespace geraniumbay::jobs
