//===- entrysync.cpp - What an entry learns from control VMs --------------===//
//
// The configuration, the workers and the other entries.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/internal/evacuationwire.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A document of a thousand queues, or some hundred workers, takes tens of
/// milliseconds at a control VM that forty entries ask at once.
constexpr Duration FetchTimeout = std::chrono::milliseconds(2000);
/// The same from one of the control VMs among which entries spread themselves.
/// With the leader after it a document is here within two seconds.
constexpr Duration SpreadFetchTimeout = std::chrono::milliseconds(700);
/// An entry that no leader has named for so long is forgotten.
constexpr Duration EntrySilence = std::chrono::seconds(60);
/// How often a list of entries that has not changed counts as told again.
constexpr Duration NamedAgainAfter = std::chrono::seconds(5);

} // namespace

Json::Value EntryJobs::askControl() const {
  Json::Value Params(Json::objectValue);
  Params["entry"] = Self_.text();
  Params["data_centre"] = DataCentre_.value();
  Params["configuration"] = Json::UInt64(RoutingFrom_.value());
  if (Plan_ == PoolPlan::ByRack)
    Params["by_rack"] = true;
  writeWorkersKnown(Params);
  Params["lists_of"] = Json::UInt64(ListsOf_);
  Params["entries_change"] = Json::UInt64(EntriesChange_);
  if (EntriesChange_ == 0 && !ToldEntries_.empty()) {
    // A new leader may have the same list.
    Params["entries_known"] = Json::UInt64(ToldEntries_.size());
    std::uint64_t Digest = 0;
    for (const EntryPlace &Each : ToldEntries_)
      Digest ^= digestOf(Each);
    Params["entries_digest"] = Json::UInt64(Digest);
  }
  Params["owners_change"] = Json::UInt64(OwnersChange_);
  Params["loads_change"] = Json::UInt64(LoadsChange_);
  Params["loads_after"] = LoadsAfter_;
  Params["evacuations_change"] = Json::UInt64(EvacuationsKnown_.value());
  if (!Evacuated_.empty())
    Params["evacuated_running"] = writeEvacuatedRunning();
  // Entries of other data centres hear of a pool's owner from control.
  for (const auto &[Name, In] : Pools_)
    if (Plan_ == PoolPlan::ByRack && In->scheduler())
      Params["owned"][Name.value()] = In->writeReport();
  return Params;
}

void EntryJobs::takeControl(const Json::Value &Result, const Endpoint &From) {
  takeDocument(Result);
  followLists(Result);
  takeEntryList(Result);
  takePlan(Result);
  wantDataCentres();
  takeEvacuations(Result);
  takeWorkers(Result);
  rankCandidates();
  takeOwners(Result);
  if (ConfigVersion(wire::numberOf(Result, "large_document")) > RoutingFrom_)
    fetchDocument(sourceOfLists(), From);
  if (Result.isMember("many_workers"))
    fetchWorkers(sourceOfLists(), From);
  if (wire::isSet(Result, "ready"))
    ControlSchedules_ = wire::isSet(Result, "schedules");
}

Endpoint EntryJobs::sourceOfLists() const {
  return Control_.spread(std::hash<std::string>()(Self_.text()) + FetchesLost_);
}

void EntryJobs::fetchDocument(const Endpoint &From,
                              const std::optional<Endpoint> &OrElse) {
  if (FetchesDocument_)
    return;
  FetchesDocument_ = true;
  auto Took = [this, OrElse](const Outcome<Json::Value> &Result) {
    FetchesDocument_ = false;
    ConfigVersion Before = RoutingFrom_;
    if (Result)
      takeDocument(*Result);
    if (RoutingFrom_ == Before && OrElse)
      fetchDocument(*OrElse, std::nullopt);
  };
  Control_.fetch(From, wire::method::Document, Json::Value(Json::objectValue),
                 OrElse ? SpreadFetchTimeout : FetchTimeout, std::move(Took));
}

void EntryJobs::takeDocument(const Json::Value &Result) {
  ConfigVersion Version(wire::numberOf(Result, "configuration"));
  if (Version <= RoutingFrom_ || !Result["document"].isString())
    return;
  auto Read = attempt([&] { return Reader_(Result["document"].asString()); });
  logEvent(Read ? LogLevel::Info : LogLevel::Error, Module, "routing_in_force",
           {{"configuration", Version},
            {"document", Read ? Read->Version.value() : 0},
            {"reason", Read ? "" : Read.error().Message.c_str()}});
  if (!Read)
    return;
  Routing_ = std::move(*Read);
  RoutingFrom_ = Version;
}

void EntryJobs::takePlan(const Json::Value &Result) {
  if (!wire::isSet(Result, "by_rack") || Plan_ == PoolPlan::ByRack)
    return;
  if (Result.isMember("rack_groups")) {
    auto Told =
        attempt([&] { return wire::readGroups(Result["rack_groups"]); });
    if (!Told)
      return logEvent(LogLevel::Error, Module, "rack_groups_unreadable",
                      {{"reason", Told.error().Message}});
    Groups_ = std::move(*Told);
  }
  logEvent(LogLevel::Info, Module, "pools_by_rack",
           {{"workers", WorkerPools_.size()}});
  Plan_ = PoolPlan::ByRack;
  // What the pool of all has running is given up; its jobs are answered as
  // unknown. It happens before traffic, or once in the life of a deployment.
  Pools Gone = std::move(Pools_);
  Pools_.clear();
  for (const auto &[Name, Old] : Gone)
    for (const auto &[Id, Known] : Old->directory().Workers) {
      PoolName New = poolOf(Plan_, Groups_, Known.Info);
      announce(memberOf(New, Known.Info.DataCentre).directory(), Known.Info,
               Known.LastHeardAt);
      WorkerPools_[Id] = New;
    }
  // Of other data centres this entry hears the pools only.
  for (const auto &[DataCentre, Racks] : Groups_) {
    std::set<PoolName> Names;
    for (const auto &[Rack, Group] : Racks)
      Names.insert(poolOfRack(Groups_, DataCentre, Rack));
    for (const PoolName &Each : Names)
      memberOf(Each, DataCentre);
    Homes_[DataCentre].assign(Names.begin(), Names.end());
  }
}

void EntryJobs::takeEvacuations(const Json::Value &Result) {
  if (!Result.isMember("evacuations"))
    return;
  auto Told =
      attempt([&] { return wire::readEvacuations(Result["evacuations"]); });
  if (!Told)
    logEvent(LogLevel::Error, Module, "evacuations_unreadable",
             {{"reason", Told.error().Message}});
  // An answer of a control VM that is behind may come later.
  if (!Told || Told->Last <= EvacuationsKnown_)
    return;
  EvacuationsKnown_ = Told->Last;
  Evacuated_ = evacuatedDataCentres(*Told);
  std::string Names;
  for (const DataCentreId &Each : Evacuated_)
    Names += (Names.empty() ? "" : ",") + Each.value();
  logEvent(LogLevel::Info, Module, "evacuations_in_force",
           {{"number", EvacuationsKnown_.value()}, {"evacuated", Names}});
  Needs_.Measured.set("geraniumbay_evacuated_data_centres",
                      "Data centres that are evacuated.", {},
                      static_cast<double>(Evacuated_.size()));
  for (const auto &[Name, In] : Pools_)
    In->evacuationsChanged();
}

Json::Value EntryJobs::writeEvacuatedRunning() const {
  Json::Value Result(Json::objectValue);
  for (const DataCentreId &Each : Evacuated_) {
    std::size_t Running = 0;
    for (const auto &[Name, In] : Pools_)
      if (const Scheduler *Of = In->scheduler())
        Running += Of->runningIn(Each);
    if (Running != 0)
      Result[Each.value()] = Json::UInt64(Running);
  }
  return Result;
}

bool EntryJobs::takeNamedEntries(const Json::Value &Result) {
  if (Result.isMember("entries")) {
    ToldEntries_ = readEntries(Result["entries"]);
    return true;
  }
  for (EntryPlace &Each : readEntries(Result["entries_new"]))
    if (std::find(ToldEntries_.begin(), ToldEntries_.end(), Each) ==
        ToldEntries_.end())
      ToldEntries_.push_back(std::move(Each));
  return Result.isMember("entries_new") || wire::isSet(Result, "entries_same");
}

void EntryJobs::takeEntryList(const Json::Value &Result) {
  Time Now = Needs_.Clock.now();
  bool Again = isCurrent(Result, "entries_change", EntriesChange_) &&
               Now - EntriesNamed_ >= NamedAgainAfter;
  if (!takeNamedEntries(Result) && !Again)
    return;
  EntriesChange_ = wire::numberOf(Result, "entries_change");
  EntriesNamed_ = Now;
  for (const EntryPlace &Each : ToldEntries_) {
    bool New = Entries_.insert_or_assign(Each, Now).second;
    RanksDue_ = RanksDue_ || New;
  }
  std::size_t Gone = std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second >= EntrySilence;
  });
  RanksDue_ = RanksDue_ || Gone != 0;
}

std::map<PoolName, Endpoint> EntryJobs::knownOwners() const {
  std::map<PoolName, Endpoint> Owners;
  for (const auto &[Name, In] : Pools_)
    if (In->isCandidate() && In->isOwned())
      Owners[Name] = In->view().Owner.At;
  return Owners;
}

void EntryJobs::rankCandidates() {
  std::map<PoolName, Endpoint> Owners = knownOwners();
  if (!RanksDue_ && Owners == RankedOwners_)
    return;
  RanksDue_ = false;
  RankedOwners_ = Owners;
  std::vector<EntryPlace> Known;
  for (const auto &[Place, Named] : Entries_)
    Known.push_back(Place);
  bool Alone = Known.empty();
  EntryPlace Own{Self_, DataCentre_};
  if (Entries_.count(Own) == 0)
    Known.push_back(Own);
  std::map<DataCentreId, std::vector<Endpoint>> ByDataCentre;
  // Pools of a data centre are numbered in the order of their names.
  std::map<DataCentreId, std::size_t> Count;
  for (auto &[Name, In] : Pools_) {
    auto [Place, New] = ByDataCentre.try_emplace(In->dataCentre());
    std::vector<Endpoint> &Candidates = Place->second;
    if (New)
      Candidates = candidatesFor(Plan_, In->dataCentre(), Known);
    bool Candidate = std::find(Candidates.begin(), Candidates.end(), Self_) !=
                     Candidates.end();
    std::size_t Number = Count[In->dataCentre()]++;
    if (!Candidate || Alone) {
      In->applyCandidates({}, Candidate);
      continue;
    }
    std::set<Endpoint> Busy;
    if (Plan_ != PoolPlan::One)
      for (const auto &[Other, Owner] : Owners)
        if (Other != Name)
          Busy.insert(Owner);
    In->applyCandidates(ranksFor(Number, Candidates, Busy), Candidate);
  }
}

void EntryJobs::takeOwners(const Json::Value &Result) {
  const Json::Value &Told = Result["owners"];
  if (Told.isObject())
    for (const std::string &Name : Told.getMemberNames())
      if (PoolMember *In = findPool(PoolName(Name)))
        In->applyControlReport(Told[Name]);
  if (!Result.isMember("owners_change"))
    return;
  // What is not told anew is as it was.
  for (const auto &[Name, In] : Pools_)
    if (!Told.isObject() || !Told.isMember(Name.value()))
      In->confirmReport();
  OwnersChange_ = wire::numberOf(Result, "owners_change");
  if (LoadsAfter_.empty())
    LoadsBegan_ = OwnersChange_;
  LoadsAfter_ = Result["loads_after"].isString()
                    ? Result["loads_after"].asString()
                    : std::string();
  if (LoadsAfter_.empty())
    LoadsChange_ = LoadsBegan_;
}

void EntryJobs::followLists(const Json::Value &Result) {
  std::uint64_t Of = wire::numberOf(Result, "lists_of");
  if (Of == 0 || Of == ListsOf_)
    return;
  // A new leader counts anew, and knows only what it was told itself.
  ListsOf_ = Of;
  EntriesChange_ = 0;
  OwnersChange_ = 0;
  LoadsChange_ = 0;
  LoadsAfter_.clear();
  KnowsAllWorkers_ = false;
  for (const auto &[Name, In] : Pools_)
    In->dropReport();
}

bool EntryJobs::isCurrent(const Json::Value &Result, const char *Change,
                          std::uint64_t Known) const {
  return Result.isMember(Change) &&
         wire::numberOf(Result, "lists_of") == ListsOf_ &&
         wire::numberOf(Result, Change) == Known;
}

} // namespace geraniumbay::jobs
