//===- entrysync.cpp - An entry's synchronisation with control VMs --------===//
//
// Requests and applies the configuration, the evacuations, and the lists of
// entries and owners.
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
/// A document of a thousand queues, or some hundred workers, takes a control VM
/// tens of milliseconds to send, and forty entries may ask at once.
constexpr Duration FetchTimeout = std::chrono::milliseconds(2000);
/// The timeout for the control VM that is tried before the leader. Including
/// the fallback to the leader, a document arrives within two seconds.
constexpr Duration SpreadFetchTimeout = std::chrono::milliseconds(700);
/// An entry that no leader's list has contained for this long is forgotten.
constexpr Duration EntrySilence = std::chrono::seconds(60);
/// How often an unchanged list of entries refreshes the times of its entries.
constexpr Duration ListRefreshInterval = std::chrono::seconds(5);

} // namespace

Json::Value EntryJobs::makeSyncRequest() const {
  Json::Value Params(Json::objectValue);
  Params["entry"] = Self_.text();
  Params["data_centre"] = DataCentre_.value();
  if (Capacity_.CpuMillis != 0)
    Params["cpu_millis"] = Capacity_.CpuMillis;
  if (Capacity_.LinkKbits != 0)
    Params["link_kbits"] = Capacity_.LinkKbits;
  Params["configuration"] = Json::UInt64(RoutingVersion_.value());
  if (Plan_ == PoolPlan::ByRack)
    Params["by_rack"] = true;
  writeKnownWorkers(Params);
  Params["lists_of"] = Json::UInt64(ListsTerm_);
  Params["entries_change"] = Json::UInt64(EntriesChange_);
  if (EntriesChange_ == 0 && !ReportedEntries_.empty()) {
    // A new leader may have the same list.
    Params["entries_known"] = Json::UInt64(ReportedEntries_.size());
    std::uint64_t Digest = 0;
    for (const ListedEntry &Each : ReportedEntries_)
      Digest ^= digestOf(Each);
    Params["entries_digest"] = Json::UInt64(Digest);
  }
  Params["owners_change"] = Json::UInt64(OwnersChange_);
  Params["loads_change"] = Json::UInt64(LoadsChange_);
  Params["loads_after"] = LastLoadPool_;
  Params["evacuations_change"] = Json::UInt64(LastEvacuation_.value());
  if (!Evacuated_.empty())
    Params["evacuated_running"] = writeEvacuatedRunning();
  if (Json::Value Gone = writeGoneWorkers(); !Gone.isNull())
    Params["gone"] = std::move(Gone);
  // Entries of other data centres learn of a pool's owner from control VMs.
  for (const auto &[Name, Pool] : Pools_)
    if (Plan_ == PoolPlan::ByRack && Pool->scheduler())
      Params["owned"][Name.value()] = Pool->writeReport();
  return Params;
}

void EntryJobs::applySyncReply(const Json::Value &Result,
                               const Endpoint &From) {
  applyDocument(Result);
  followListsTerm(Result);
  applyEntryList(Result);
  applyPoolPlan(Result);
  updateCoveredDataCentres();
  applyEvacuations(Result);
  applyWorkers(Result);
  rankCandidates();
  applyOwners(Result);
  if (ConfigVersion(wire::numberOf(Result, "large_document")) > RoutingVersion_)
    fetchDocument(controlVmForLists(), From);
  if (Result.isMember("many_workers"))
    fetchWorkers(controlVmForLists(), From);
  if (wire::isSet(Result, "ready"))
    ControlSchedules_ = wire::isSet(Result, "schedules");
}

Endpoint EntryJobs::controlVmForLists() const {
  return Control_.controlVmFor(std::hash<std::string>()(Self_.text()) +
                               FailedFetches_);
}

void EntryJobs::fetchDocument(const Endpoint &From,
                              const std::optional<Endpoint> &Fallback) {
  if (FetchingDocument_)
    return;
  FetchingDocument_ = true;
  auto OnReply = [this, Fallback](const Outcome<Json::Value> &Result) {
    FetchingDocument_ = false;
    ConfigVersion Before = RoutingVersion_;
    if (Result)
      applyDocument(*Result);
    if (RoutingVersion_ == Before && Fallback)
      fetchDocument(*Fallback, std::nullopt);
  };
  Control_.fetch(From, wire::method::Document, Json::Value(Json::objectValue),
                 Fallback ? SpreadFetchTimeout : FetchTimeout,
                 std::move(OnReply));
}

void EntryJobs::applyDocument(const Json::Value &Result) {
  ConfigVersion Version(wire::numberOf(Result, "configuration"));
  if (Version <= RoutingVersion_ || !Result["document"].isString())
    return;
  auto Read = attempt([&] { return Reader_(Result["document"].asString()); });
  logEvent(Read ? LogLevel::Info : LogLevel::Error, Module, "routing_in_force",
           {{"configuration", Version},
            {"document", Read ? Read->Version.value() : 0},
            {"reason", Read ? "" : Read.error().Message.c_str()}});
  if (!Read)
    return;
  Routing_ = std::move(*Read);
  RoutingVersion_ = Version;
}

void EntryJobs::applyPoolPlan(const Json::Value &Result) {
  if (!wire::isSet(Result, "by_rack") || Plan_ == PoolPlan::ByRack)
    return;
  if (Result.isMember("rack_groups")) {
    auto Groups =
        attempt([&] { return wire::readGroups(Result["rack_groups"]); });
    if (!Groups)
      return logEvent(LogLevel::Error, Module, "rack_groups_unreadable",
                      {{"reason", Groups.error().Message}});
    Groups_ = std::move(*Groups);
  }
  logEvent(LogLevel::Info, Module, "pools_by_rack",
           {{"workers", WorkerPools_.size()}});
  Plan_ = PoolPlan::ByRack;
  // Tasks running in the single pool are given up; their jobs are answered with
  // the outcome Unknown. This happens once in the life of a deployment,
  // normally before any traffic.
  Pools OldPools = std::move(Pools_);
  Pools_.clear();
  for (const auto &[Name, Old] : OldPools)
    for (const auto &[Id, Known] : Old->directory().Workers) {
      PoolName New = poolOf(Plan_, Groups_, Known.Info);
      announce(getOrCreatePool(New, Known.Info.DataCentre).directory(),
               Known.Info, Known.LastHeardAt);
      WorkerPools_[Id] = New;
    }
  // Of other data centres, this entry learns the pools but not the workers.
  for (const auto &[DataCentre, Racks] : Groups_) {
    std::set<PoolName> Names;
    for (const auto &[Rack, Group] : Racks)
      Names.insert(poolOfRack(Groups_, DataCentre, Rack));
    for (const PoolName &Each : Names)
      getOrCreatePool(Each, DataCentre);
    Homes_[DataCentre].assign(Names.begin(), Names.end());
  }
}

void EntryJobs::applyEvacuations(const Json::Value &Result) {
  if (!Result.isMember("evacuations"))
    return;
  auto Orders =
      attempt([&] { return wire::readEvacuations(Result["evacuations"]); });
  if (!Orders)
    logEvent(LogLevel::Error, Module, "evacuations_unreadable",
             {{"reason", Orders.error().Message}});
  // The answer of a control VM that lags behind may arrive after a newer one.
  if (!Orders || Orders->Last <= LastEvacuation_)
    return;
  LastEvacuation_ = Orders->Last;
  Evacuated_ = evacuatedDataCentres(*Orders);
  std::string Names;
  for (const DataCentreId &Each : Evacuated_)
    Names += (Names.empty() ? "" : ",") + Each.value();
  logEvent(LogLevel::Info, Module, "evacuations_in_force",
           {{"number", LastEvacuation_.value()}, {"evacuated", Names}});
  Deps_.Measured.set("geraniumbay_evacuated_data_centres",
                     "Data centres that are evacuated.", {},
                     static_cast<double>(Evacuated_.size()));
  for (const auto &[Name, Pool] : Pools_)
    Pool->evacuationsChanged();
}

Json::Value EntryJobs::writeEvacuatedRunning() const {
  Json::Value Result(Json::objectValue);
  for (const DataCentreId &Each : Evacuated_) {
    std::size_t Running = 0;
    for (const auto &[Name, Pool] : Pools_)
      if (const Scheduler *Owned = Pool->scheduler())
        Running += Owned->runningIn(Each);
    if (Running != 0)
      Result[Each.value()] = Json::UInt64(Running);
  }
  return Result;
}

bool EntryJobs::mergeEntryList(const Json::Value &Result) {
  if (Result.isMember("entries")) {
    ReportedEntries_ = readEntries(Result["entries"], Result["entry_capacity"]);
    return true;
  }
  for (ListedEntry &Each :
       readEntries(Result["entries_new"], Result["entry_capacity"]))
    if (std::find(ReportedEntries_.begin(), ReportedEntries_.end(), Each) ==
        ReportedEntries_.end())
      ReportedEntries_.push_back(std::move(Each));
  return Result.isMember("entries_new") || wire::isSet(Result, "entries_same");
}

void EntryJobs::applyEntryList(const Json::Value &Result) {
  Time Now = Deps_.Clock.now();
  bool Unchanged = isCurrent(Result, "entries_change", EntriesChange_) &&
                   Now - EntriesReportedAt_ >= ListRefreshInterval;
  if (!mergeEntryList(Result) && !Unchanged)
    return;
  EntriesChange_ = wire::numberOf(Result, "entries_change");
  EntriesReportedAt_ = Now;
  for (const ListedEntry &Each : ReportedEntries_) {
    auto [Position, New] = Entries_.try_emplace(Each.Place);
    KnownEntry &Known = Position->second;
    RanksOutdated_ = RanksOutdated_ || New || Known.Capacity != Each.Capacity;
    Known = {Now, Each.Capacity};
  }
  std::size_t Forgotten = std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second.ListedAt >= EntrySilence;
  });
  RanksOutdated_ = RanksOutdated_ || Forgotten != 0;
}

std::map<PoolName, Endpoint> EntryJobs::knownOwners() const {
  std::map<PoolName, Endpoint> Owners;
  for (const auto &[Name, Pool] : Pools_)
    if (Pool->isCandidate() && Pool->isOwned())
      Owners[Name] = Pool->view().Owner.At;
  return Owners;
}

std::map<Endpoint, scheduling::VmCapacity> EntryJobs::knownCapacities() const {
  std::map<Endpoint, scheduling::VmCapacity> Result;
  for (const auto &[Place, Known] : Entries_)
    Result[Place.At] = Known.Capacity;
  // Control lists no capacities where all entries are alike.
  bool Listed = std::any_of(Result.begin(), Result.end(), [](const auto &Each) {
    return Each.second != scheduling::VmCapacity();
  });
  Result[Self_] = Listed ? Capacity_ : scheduling::VmCapacity();
  return Result;
}

void EntryJobs::rankCandidates() {
  std::map<PoolName, Endpoint> Owners = knownOwners();
  if (!RanksOutdated_ && Owners == RankedOwners_)
    return;
  RanksOutdated_ = false;
  RankedOwners_ = Owners;
  std::vector<EntryPlace> Known;
  for (const auto &[Place, Each] : Entries_)
    Known.push_back(Place);
  bool Alone = Known.empty();
  EntryPlace Own{Self_, DataCentre_};
  if (Entries_.count(Own) == 0)
    Known.push_back(Own);
  std::map<DataCentreId, std::map<PoolName, std::optional<Endpoint>>> Pools;
  for (const auto &[Name, Pool] : Pools_) {
    auto Owner = Owners.find(Name);
    Pools[Pool->dataCentre()][Name] =
        Owner == Owners.end() ? std::nullopt : std::optional(Owner->second);
  }
  auto Capacities = knownCapacities();
  RanksByCapacity_ = false;
  for (const auto &[DataCentre, InDataCentre] : Pools) {
    std::vector<Endpoint> Candidates = candidatesFor(Plan_, DataCentre, Known);
    bool Candidate = std::find(Candidates.begin(), Candidates.end(), Self_) !=
                     Candidates.end();
    if (!Candidate || Alone) {
      for (const auto &[Name, Owner] : InDataCentre)
        findPool(Name)->applyCandidates({}, Candidate);
      continue;
    }
    std::vector<scheduling::VmCapacity> Theirs;
    Theirs.reserve(Candidates.size());
    for (const Endpoint &Each : Candidates)
      Theirs.push_back(Capacities[Each]);
    if (scheduling::areAlike(Theirs)) {
      rankAlike(InDataCentre, Candidates, Owners);
      continue;
    }
    RanksByCapacity_ = true;
    for (const auto &[Name, Ranked] :
         ranksByCapacity(InDataCentre, Candidates, Capacities))
      findPool(Name)->applyCandidates(Ranked, true);
  }
  reportOwnership(Owners);
}

void EntryJobs::reportOwnership(const std::map<PoolName, Endpoint> &Owners) {
  auto Owned =
      std::count_if(Owners.begin(), Owners.end(),
                    [&](const auto &Each) { return Each.second == Self_; });
  Deps_.Measured.set("geraniumbay_owned_pools", "Pools that this entry owns.",
                     {}, static_cast<double>(Owned));
  Deps_.Measured.set("geraniumbay_cpu_millis",
                     "Processor share of this VM in thousandths of a core; 0 "
                     "if the settings do not say.",
                     {}, static_cast<double>(Capacity_.CpuMillis));
}

void EntryJobs::rankAlike(
    const std::map<PoolName, std::optional<Endpoint>> &Pools,
    const std::vector<Endpoint> &Candidates,
    const std::map<PoolName, Endpoint> &Owners) {
  // The pools of a data centre are numbered in the order of their names.
  std::size_t Number = 0;
  for (const auto &[Name, Own] : Pools) {
    std::set<Endpoint> Busy;
    if (Plan_ != PoolPlan::One)
      for (const auto &[Other, Owner] : Owners)
        if (Other != Name)
          Busy.insert(Owner);
    findPool(Name)->applyCandidates(ranksFor(Number++, Candidates, Busy), true);
  }
}

void EntryJobs::applyOwners(const Json::Value &Result) {
  const Json::Value &Owners = Result["owners"];
  if (Owners.isObject())
    for (const std::string &Name : Owners.getMemberNames())
      if (PoolMember *Pool = findPool(PoolName(Name)))
        Pool->applyControlReport(Owners[Name]);
  if (!Result.isMember("owners_change"))
    return;
  // Pools that the reply leaves out are unchanged.
  for (const auto &[Name, Pool] : Pools_)
    if (!Owners.isObject() || !Owners.isMember(Name.value()))
      Pool->confirmReport();
  OwnersChange_ = wire::numberOf(Result, "owners_change");
  if (LastLoadPool_.empty())
    LoadsRoundStart_ = OwnersChange_;
  LastLoadPool_ = Result["loads_after"].isString()
                      ? Result["loads_after"].asString()
                      : std::string();
  if (LastLoadPool_.empty())
    LoadsChange_ = LoadsRoundStart_;
}

void EntryJobs::followListsTerm(const Json::Value &Result) {
  std::uint64_t Term = wire::numberOf(Result, "lists_of");
  if (Term == 0 || Term == ListsTerm_)
    return;
  // A new leader starts its own change counters, and knows only what has been
  // reported to it directly.
  ListsTerm_ = Term;
  EntriesChange_ = 0;
  OwnersChange_ = 0;
  LoadsChange_ = 0;
  LastLoadPool_.clear();
  KnowsAllWorkers_ = false;
  for (const auto &[Name, Pool] : Pools_)
    Pool->dropReport();
}

bool EntryJobs::isCurrent(const Json::Value &Result, const char *Change,
                          std::uint64_t Known) const {
  return Result.isMember(Change) &&
         wire::numberOf(Result, "lists_of") == ListsTerm_ &&
         wire::numberOf(Result, Change) == Known;
}

} // namespace geraniumbay::jobs
