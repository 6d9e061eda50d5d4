//===- registration.cpp - Agreeing on a job's pool ------------------------===//
//
// An entry's questions to the registrars of its jobs, and its answers as the
// registrar of others' jobs.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A registrar of the same data centre answers within some milliseconds; one
/// that is busy, within its turn.
constexpr Duration RegisterTimeout = std::chrono::milliseconds(40);
/// A connection that broke is no answer: the claim may stand all the same, and
/// another registrar knows nothing of it.
constexpr int TriesEach = 2;
/// An owner that did not answer is no registrar for so long: by then it is
/// replaced or back.
constexpr Duration RegistrarRests = std::chrono::seconds(1);

} // namespace

PoolMember *EntryJobs::homePool(const JobId &Id) const {
  if (Plan_ == PoolPlan::One)
    return nullptr;
  Time Now = Needs_.Clock.now();
  std::vector<PoolName> Near;
  for (const auto &[Name, In] : Pools_) {
    auto Lost = RegistrarsLost_.find(In->view().Owner.At);
    bool Rests =
        Lost != RegistrarsLost_.end() && Now - Lost->second < RegistrarRests;
    if (In->dataCentre() == DataCentre_ && In->isOwned() && !Rests)
      Near.push_back(Name);
  }
  auto Home = homeOf(Id, Near);
  return Home ? findPool(*Home) : nullptr;
}

void EntryJobs::registerJob(const AskPtr &What, const PoolMember &Home) {
  const Endpoint &Registrar = Home.view().Owner.At;
  if (Registrar == Self_)
    return registered(What, claimHere(*What));
  What->Registering = true;
  askRegistrar(What, What->Attempt, Registrar, TriesEach);
}

PoolName EntryJobs::claimHere(const Ask &What) {
  return claim(What.Wanted.Id, What.Own, What.Pool, What.RefusedBy);
}

void EntryJobs::askRegistrar(const AskPtr &What, std::uint64_t Attempt,
                             const Endpoint &Registrar, int Tries) {
  Json::Value Params(Json::objectValue);
  Params["job"] = What->Wanted.Id.value();
  writeClaim(*What, Params);
  Needs_.Client.call(
      Registrar, wire::method::Register, std::move(Params), RegisterTimeout,
      [this, What, Attempt, Registrar,
       Tries](const Outcome<Json::Value> &Result) {
        if (Attempt != What->Attempt)
          return;
        auto Told = attempt([&]() -> RetVal<std::string> {
          if (!Result)
            return fail(Result.error());
          return json::readString(*Result, "pool");
        });
        if (!Told && Tries > 1 && Told.error().Code != ErrorCode::Refused)
          return askRegistrar(What, Attempt, Registrar, Tries - 1);
        What->Registering = false;
        if (Told)
          return registered(What, PoolName(*Told));
        logEvent(LogLevel::Warning, Module, "registrar_lost",
                 {{"job", What->Wanted.Id},
                  {"registrar", Registrar.text()},
                  {"reason", Told.error().Message}});
        RegistrarsLost_[Registrar] = Needs_.Clock.now();
        dispatch(What);
      });
}

void EntryJobs::registered(const AskPtr &What, const PoolName &Pool) {
  What->Registered = true;
  if (Pool != What->Pool)
    logEvent(
        LogLevel::Info, Module, "job_registered_elsewhere",
        {{"job", What->Wanted.Id}, {"wanted", What->Pool}, {"pool", Pool}});
  What->Pool = Pool;
  What->PoolChosen = Needs_.Clock.now();
  dispatch(What);
}

void EntryJobs::writeAsker(const Ask &What, Json::Value &Params) const {
  Params["pool"] = What.Pool.value();
  Params["origin"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["serial"] = Json::UInt64(What.Own.Serial);
}

void EntryJobs::writeClaim(const Ask &What, Json::Value &Params) const {
  writeAsker(What, Params);
  for (const PoolName &Each : What.RefusedBy)
    Params["refused_by"].append(Each.value());
}

void EntryJobs::releaseJob(const Ask &What) {
  const PoolMember *Home = homePool(What.Wanted.Id);
  if (!Home)
    return;
  const Endpoint &Registrar = Home->view().Owner.At;
  if (Registrar == Self_)
    return Register_.release(What.Wanted.Id, What.Own);
  Json::Value Params(Json::objectValue);
  Params["job"] = What.Wanted.Id.value();
  writeClaim(What, Params);
  Params["release"] = true;
  Needs_.Client.call(Registrar, wire::method::Register, std::move(Params),
                     RegisterTimeout,
                     [](const Outcome<Json::Value> & /*Result*/) {
                       // The claim ends by itself soon.
                     });
}

PoolName EntryJobs::claimFor(const JobId &Id, const WaiterId &By,
                             const PoolName &Wanted,
                             const Json::Value &Params) {
  std::set<PoolName> RefusedBy;
  if (Params["refused_by"].isArray())
    for (const Json::Value &Each : Params["refused_by"])
      if (Each.isString())
        RefusedBy.insert(PoolName(Each.asString()));
  return claim(Id, By, Wanted, RefusedBy);
}

PoolName EntryJobs::claim(const JobId &Id, const WaiterId &By,
                          const PoolName &Wanted,
                          const std::set<PoolName> &RefusedBy) {
  PoolName Claimed =
      Register_.claim(Id, By, Wanted, RefusedBy, Needs_.Clock.now());
  logEvent(LogLevel::Info, Module, "job_claimed",
           {{"job", Id},
            {"origin", By.Origin.text()},
            {"serial", By.Serial},
            {"wanted", Wanted},
            {"pool", Claimed},
            {"refused_by", RefusedBy.size()},
            {"claims", Register_.size()}});
  return Claimed;
}

void EntryJobs::answerRegister(const Json::Value &Params, const Reply &Answer) {
  auto Job = attempt([&] { return json::readString(Params, "job"); });
  auto Pool = attempt([&] { return json::readString(Params, "pool"); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  if (!Job || !Pool || !Origin)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  WaiterId By = waiterOf(Params, *Origin);
  Json::Value Result(Json::objectValue);
  if (wire::isSet(Params, "release"))
    Register_.release(JobId(*Job), By);
  else
    Result["pool"] = claimFor(JobId(*Job), By, PoolName(*Pool), Params).value();
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
