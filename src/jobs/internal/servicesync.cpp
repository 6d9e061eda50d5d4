//===- servicesync.cpp - What a control VM tells entries ------------------===//
//
// The answer to the question that each entry asks again and again: the leader,
// the configuration, the entries, the owners of pools and the workers. Control
// VMs also tell each other which workers there are.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/jobwire.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How often the leader tells the others which workers there are: a new leader
/// then knows them before they announce themselves again.
constexpr Duration ShareInterval = std::chrono::seconds(1);

/// An entry that has not asked for so long is gone.
constexpr Duration EntrySilence = std::chrono::seconds(60);
/// A new leader names the entries once all have had the time to ask: by a part
/// of the list several of them would take themselves for the first.
constexpr Duration EntriesDelay = std::chrono::milliseconds(300);
/// An owner of a pool says so with every question, several times a second.
constexpr Duration OwnerWordLasts = std::chrono::seconds(2);
/// What comes with the answer to an entry's frequent question. Larger things
/// are fetched once, without haste: a leader with half a core cannot send a
/// document of a thousand queues to forty entries within the 400 ms after which
/// they ask again, and would be asked again for ever.
constexpr std::size_t MaxDocumentInSync = std::size_t{16} << 10U;
constexpr std::size_t MaxWorkersInSync = 50;

} // namespace

void JobService::sync(const Json::Value &Params, const Reply &Answer) {
  Json::Value Result = redirection();
  Result["ready"] = serves() && !Stopping_;
  Result["schedules"] = Scheduler_ != nullptr;
  for (const Endpoint &Member : Needs_.Log.memberAddresses())
    Result["members"].append(Member.text());
  auto Has =
      attempt([&] { return json::readUintOr(Params, "configuration", 0); });
  if (Has && ConfigVersion(*Has) < Needs_.Log.configuration().Version)
    tellDocument(false, Result);
  if (serves())
    tellEntry(Params, Result);
  Answer(std::move(Result));
}

void JobService::tellEntry(const Json::Value &Params, Json::Value &Into) {
  Time Now = Needs_.Clock.now();
  auto At = attempt([&] { return wire::readEndpoint(Params, "entry"); });
  auto Where = attempt([&] { return json::readString(Params, "data_centre"); });
  if (At && Where)
    Entries_[{*At, DataCentreId(*Where)}] = Now;
  std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second >= EntrySilence;
  });
  if (Now - LeadsSince_ >= EntriesDelay)
    for (const auto &[Place, Heard] : Entries_) {
      Json::Value Each(Json::objectValue);
      Each["at"] = Place.At.text();
      Each["data_centre"] = Place.DataCentre.value();
      Into["entries"].append(std::move(Each));
    }
  Into["by_rack"] = Needs_.Store.Plan == PoolPlan::ByRack;
  tellOwners(Params, Into);
  tellWorkers(Params, false, Into);
}

void JobService::tellOwners(const Json::Value &Params, Json::Value &Into) {
  Time Now = Needs_.Clock.now();
  const Json::Value &Owned = Params["owned"];
  if (Owned.isObject())
    for (const std::string &Name : Owned.getMemberNames())
      Owners_[PoolName(Name)] = {Owned[Name], Now};
  std::erase_if(Owners_, [&](const auto &Entry) {
    return Now - Entry.second.Heard >= OwnerWordLasts;
  });
  for (const auto &[Name, Told] : Owners_)
    Into["owners"][Name.value()] = Told.Claim;
}

void JobService::document(const Json::Value & /*Params*/, const Reply &Answer) {
  Json::Value Result(Json::objectValue);
  tellDocument(true, Result);
  Answer(std::move(Result));
}

void JobService::workers(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(redirection());
  Json::Value Result(Json::objectValue);
  tellWorkers(Params, true, Result);
  Answer(std::move(Result));
}

void JobService::tellDocument(bool Any, Json::Value &Into) const {
  const control::ConfigSnapshot &Config = Needs_.Log.configuration();
  if (!Any && Config.Document.size() > MaxDocumentInSync) {
    Into["large_document"] = Json::UInt64(Config.Version.value());
    return;
  }
  Into["configuration"] = Json::UInt64(Config.Version.value());
  Into["document"] = Config.Document;
}

void JobService::tellWorkers(const Json::Value &Params, bool Any,
                             Json::Value &Into) {
  auto Of = attempt([&] { return json::readUintOr(Params, "workers_of", 0); });
  auto Change =
      attempt([&] { return json::readUintOr(Params, "workers_change", 0); });
  bool SameTerm = Of && Change && *Of == Term_->value();
  if (SameTerm && *Change == Directory_.Changes)
    return;
  DirectoryChanges News = changesSince(Directory_, SameTerm ? *Change : 0);
  if (!Any && News.Changed.size() > MaxWorkersInSync) {
    Into["many_workers"] = true;
    return;
  }
  Into["workers_of"] = Json::UInt64(Term_->value());
  Into["workers_change"] = Json::UInt64(Directory_.Changes);
  Into["workers"] = Json::Value(Json::arrayValue);
  for (const KnownWorker *Each : News.Changed)
    Into["workers"].append(write(Each->Info));
  for (const WorkerId &Each : News.Removed)
    Into["removed"].append(Each.value());
}

void JobService::divideIfLarge() {
  if (!serves() || Dividing_ || Needs_.Store.Plan == PoolPlan::ByRack ||
      Directory_.Workers.size() <= MaxWorkersOfOnePool)
    return;
  Dividing_ = true;
  JobChanges Changes;
  Changes.DividesByRacks = true;
  Needs_.Log.append(wire::writeChanges(Changes), [this](
                                                     const Outcome<Done> &Was) {
    Dividing_ = false;
    logEvent(LogLevel::Info, Module, "divides_by_racks",
             {{"workers", Directory_.Workers.size()},
              {"outcome", Was ? "recorded" : errorCodeName(Was.error().Code)}});
  });
}

void JobService::shareWorkers() {
  if (Term_) {
    Json::Value Params(Json::objectValue);
    for (const auto &[Id, Known] : Directory_.Workers)
      Params["workers"].append(write(Known.Info));
    auto Own = Needs_.Log.leaderAddress();
    for (const Endpoint &Member : Needs_.Log.memberAddresses())
      if (Member != Own)
        Needs_.Client.call(Member, wire::method::Share, Params, ShareInterval,
                           [](const Outcome<Json::Value> & /*Result*/) {
                             // The next one comes in a second.
                           });
  }
  Needs_.Timers.after(ShareInterval, [this] { shareWorkers(); });
}

void JobService::takeShared(const Json::Value &Params, const Reply &Answer) {
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  for (const Json::Value &Each : *Workers) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (Info)
      announce(Directory_, *Info, Needs_.Clock.now());
  }
  Answer(Json::Value(Json::objectValue));
}

} // namespace geraniumbay::jobs
