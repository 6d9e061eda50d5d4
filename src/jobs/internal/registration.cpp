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

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A registrar of the same data centre answers within a few milliseconds; one
/// that is busy, within its turn. Its claim stands whether or not its answer
/// arrives, so it is asked again first: another one knows nothing of it.
constexpr Duration RegisterTimeout = std::chrono::milliseconds(60);
constexpr int TriesEach = 2;
/// A registrar that did not answer is passed over for so long, the time in
/// which a silent entry leaves the list of the entries or is back.
constexpr Duration RegistrarRests = std::chrono::seconds(1);

} // namespace

std::vector<Endpoint> EntryJobs::registrarsFor(const JobId &Id) const {
  std::vector<Endpoint> Near;
  for (const auto &[Place, Named] : Entries_)
    if (Place.DataCentre == DataCentre_ && Place.At != Self_)
      Near.push_back(Place.At);
  Near.push_back(Self_);
  std::vector<Endpoint> Ranked = registrarsOf(Id, std::move(Near));
  Time Now = Needs_.Clock.now();
  auto Rests = [&](const Endpoint &Entry) {
    auto Found = RegistrarsLost_.find(Entry);
    return Found != RegistrarsLost_.end() &&
           Now - Found->second < RegistrarRests;
  };
  std::stable_partition(Ranked.begin(), Ranked.end(),
                        [&](const Endpoint &Entry) { return !Rests(Entry); });
  return Ranked;
}

void EntryJobs::registerJob(const AskPtr &What) {
  What->Registering = true;
  askRegistrar(What, What->Attempt, registrarsFor(What->Wanted.Id).front(),
               TriesEach);
}

void EntryJobs::askRegistrar(const AskPtr &What, std::uint64_t Attempt,
                             const Endpoint &Registrar, int Tries) {
  const JobId &Id = What->Wanted.Id;
  if (Registrar == Self_)
    return registered(What, Attempt,
                      Register_.claim(Id, What->Own, What->Pool,
                                      What->RefusedBy, Needs_.Clock.now()),
                      Registrar);
  Needs_.Client.call(
      Registrar, wire::method::Register, writeClaimOf(*What), RegisterTimeout,
      [this, What, Attempt, Registrar,
       Tries](const Outcome<Json::Value> &Result) {
        if (Attempt != What->Attempt)
          return;
        auto Told = attempt([&]() -> RetVal<std::string> {
          if (!Result)
            return fail(Result.error());
          return json::readString(*Result, "pool");
        });
        if (Told)
          return registered(What, Attempt, PoolName(*Told), Registrar);
        bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
        if (!Refused && Tries > 1)
          return askRegistrar(What, Attempt, Registrar, Tries - 1);
        logEvent(LogLevel::Warning, Module, "registrar_lost",
                 {{"job", What->Wanted.Id},
                  {"registrar", Registrar.text()},
                  {"reason", Told.error().Message}});
        RegistrarsLost_[Registrar] = Needs_.Clock.now();
        askRegistrar(What, Attempt, registrarsFor(What->Wanted.Id).front(),
                     TriesEach);
      });
}

void EntryJobs::registered(const AskPtr &What, std::uint64_t Attempt,
                           const PoolName &Pool, const Endpoint &Registrar) {
  if (Attempt != What->Attempt)
    return;
  What->Registering = false;
  What->Registered = true;
  if (Pool != What->Pool)
    logEvent(LogLevel::Info, Module, "job_registered_elsewhere",
             {{"job", What->Wanted.Id},
              {"wanted", What->Pool},
              {"pool", Pool},
              {"registrar", Registrar.text()}});
  What->Pool = Pool;
  dispatch(What);
}

Json::Value EntryJobs::writeClaimOf(const Ask &What) const {
  Json::Value Params(Json::objectValue);
  Params["job"] = What.Wanted.Id.value();
  Params["pool"] = What.Pool.value();
  Params["origin"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["serial"] = Json::UInt64(What.Own.Serial);
  for (const PoolName &Each : What.RefusedBy)
    Params["refused_by"].append(Each.value());
  return Params;
}

void EntryJobs::releaseJob(const Ask &What) {
  Endpoint Registrar = registrarsFor(What.Wanted.Id).front();
  if (Registrar == Self_)
    return Register_.release(What.Wanted.Id, What.Own);
  Json::Value Params = writeClaimOf(What);
  Params["release"] = true;
  Needs_.Client.call(Registrar, wire::method::Register, std::move(Params),
                     RegisterTimeout,
                     [](const Outcome<Json::Value> & /*Result*/) {
                       // The claim ends by itself soon.
                     });
}

void EntryJobs::answerRegister(const Json::Value &Params, const Reply &Answer) {
  auto Job = attempt([&] { return json::readString(Params, "job"); });
  auto Pool = attempt([&] { return json::readString(Params, "pool"); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  auto Refusals =
      attempt([&] { return json::readArray(Params, "refused_by"); });
  if (!Job || !Pool || !Origin || !Refusals)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  WaiterId By = waiterOf(Params, *Origin);
  if (wire::isSet(Params, "release")) {
    Register_.release(JobId(*Job), By);
    return Answer(Json::Value(Json::objectValue));
  }
  std::set<PoolName> RefusedBy;
  for (const Json::Value &Each : *Refusals)
    if (Each.isString())
      RefusedBy.insert(PoolName(Each.asString()));
  Json::Value Result(Json::objectValue);
  Result["pool"] = Register_
                       .claim(JobId(*Job), By, PoolName(*Pool), RefusedBy,
                              Needs_.Clock.now())
                       .value();
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
