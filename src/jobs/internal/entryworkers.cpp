//===- entryworkers.cpp - An entry's list of workers ----------------------===//
//
// Fetches lists of workers from control VMs and assigns the workers to pools.
// An entry can only own pools of its own data centre and of data centres that
// have no entries, so it requests only the workers there.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>
#include <utility>

namespace geraniumbay::jobs {

namespace {

/// A list of a thousand workers takes a control VM tens of milliseconds to
/// send, and forty entries may ask at once.
constexpr Duration FetchTimeout = std::chrono::milliseconds(1000);

} // namespace

void EntryJobs::fetchWorkers(const Endpoint &From,
                             const std::optional<Endpoint> &Fallback) {
  if (FetchingWorkers_)
    return;
  FetchingWorkers_ = true;
  Json::Value Params(Json::objectValue);
  writeKnownWorkers(Params);
  Params["evacuations_change"] = Json::UInt64(LastEvacuation_.value());
  Params["lists_of"] = Json::UInt64(ListsTerm_);
  Control_.fetch(From, wire::method::Workers, std::move(Params), FetchTimeout,
                 [this, Fallback](const Outcome<Json::Value> &Result) {
                   FetchingWorkers_ = false;
                   if (Result) {
                     applyEvacuations(*Result);
                     applyWorkers(*Result);
                     rankCandidates();
                   }
                   // If the control VM is too slow, other entries wait for it
                   // too, and falling back to the leader would overload it.
                   // The leader's next answer asks for the list again.
                   if (!Result)
                     ++FailedFetches_;
                   else if (Fallback && !(*Result)["workers"].isArray())
                     fetchWorkers(*Fallback, std::nullopt);
                 });
}

std::set<DataCentreId> EntryJobs::dataCentresToCover() const {
  std::set<DataCentreId> WithEntries;
  for (const auto &[Place, Named] : Entries_)
    WithEntries.insert(Place.DataCentre);
  std::set<DataCentreId> Result{DataCentre_};
  for (const auto &[DataCentre, Racks] : Groups_)
    if (WithEntries.count(DataCentre) == 0)
      Result.insert(DataCentre);
  return Result;
}

void EntryJobs::updateCoveredDataCentres() {
  // Without a list of entries, this one is a candidate in all data centres.
  if (Plan_ != PoolPlan::ByRack || Groups_.empty() || Entries_.empty())
    return;
  std::set<DataCentreId> Wanted = dataCentresToCover();
  bool Covered =
      CoveredDataCentres_.empty() ||
      std::includes(CoveredDataCentres_.begin(), CoveredDataCentres_.end(),
                    Wanted.begin(), Wanted.end());
  CoveredDataCentres_ = std::move(Wanted);
  if (Covered)
    return;
  WorkerListTerm_ = 0;
  WorkerListChange_ = 0;
  KnowsAllWorkers_ = false;
}

void EntryJobs::writeKnownWorkers(Json::Value &Params) const {
  Params["workers_of"] = Json::UInt64(WorkerListTerm_);
  Params["workers_change"] = Json::UInt64(WorkerListChange_);
  for (const DataCentreId &Each : CoveredDataCentres_)
    Params["workers_in"].append(Each.value());
  // A new leader may have the same list.
  if (WorkerListTerm_ == ListsTerm_ || WorkerListTerm_ == 0)
    return;
  std::uint64_t Digest = 0;
  for (const auto &[Name, Pool] : Pools_)
    for (const auto &[Id, Known] : std::as_const(*Pool).directory().Workers)
      if (CoveredDataCentres_.empty() ||
          CoveredDataCentres_.count(Known.Info.DataCentre) != 0)
        Digest ^= digestOf(Known.Info);
  Params["workers_digest"] = Json::UInt64(Digest);
}

PoolMember &EntryJobs::getOrCreatePool(const PoolName &Name,
                                       const DataCentreId &DataCentre) {
  std::unique_ptr<PoolMember> &Place = Pools_[Name];
  if (Place)
    return *Place;
  PoolMemberDependencies Deps{
      Deps_.Workers, Deps_.Clock,
      Deps_.Timers,  Deps_.Measured,
      Lease_,        Peers_,
      Evacuated_,    KnowsAllWorkers_,
      Suspects_,     [this](const PoolMember &Pool) { sendSuspects(Pool); }};
  Place = std::make_unique<PoolMember>(Deps, Name, DataCentre, Self_);
  Place->view().Stopping = Stopping_;
  RanksOutdated_ = true;
  return *Place;
}

void EntryJobs::applyWorkers(const Json::Value &Result) {
  applyWorkerList(Result);
  if (wire::isSet(Result, "all_workers"))
    KnowsAllWorkers_ = true;
}

void EntryJobs::applyWorkerList(const Json::Value &Result) {
  if (!Result["workers"].isArray())
    return;
  WorkerListTerm_ = wire::numberOf(Result, "workers_of");
  WorkerListChange_ = wire::numberOf(Result, "workers_change");
  Time Now = Deps_.Clock.now();
  std::set<PoolMember *> Changed;
  std::set<WorkerId> Listed;
  for (const Json::Value &Each : Result["workers"]) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      continue;
    PoolName Name = poolOf(Plan_, Groups_, *Info);
    // A restarted worker may be in another rack.
    if (auto Before = WorkerPools_.find(Info->Worker);
        Before != WorkerPools_.end() && Before->second != Name) {
      const auto &Listed = findPool(Before->second)->directory().Workers;
      auto Known = Listed.find(Info->Worker);
      if (Known != Listed.end() &&
          isEarlierIncarnation(Info->StartedAt, Known->second.Info.StartedAt))
        continue;
      Changed.insert(forgetWorker(Info->Worker));
    }
    PoolMember &Pool = getOrCreatePool(Name, Info->DataCentre);
    announce(Pool.directory(), *Info, Now);
    WorkerPools_[Info->Worker] = Name;
    Listed.insert(Info->Worker);
    Changed.insert(&Pool);
  }
  std::set<WorkerId> Removed;
  for (const Json::Value &Each : Result["removed"])
    if (Each.isString())
      Removed.insert(WorkerId(Each.asString()));
  if (wire::isSet(Result, "no_others"))
    for (const auto &[Id, Name] : WorkerPools_)
      if (Listed.count(Id) == 0)
        Removed.insert(Id);
  for (const WorkerId &Id : Removed)
    if (PoolMember *Pool = forgetWorker(Id))
      Changed.insert(Pool);
  Changed.erase(nullptr);
  for (PoolMember *Pool : Changed)
    Pool->workersChanged();
}

Json::Value EntryJobs::writeGoneWorkers() const {
  Json::Value Result;
  for (const auto &[Name, Pool] : Pools_)
    if (const Scheduler *Owned = Pool->scheduler())
      for (const auto &[Worker, StartedAt] : Owned->goneWorkers())
        Result[Worker.value()] = Json::Int64(StartedAt.value());
  return Result;
}

PoolMember *EntryJobs::forgetWorker(const WorkerId &Worker) {
  auto Found = WorkerPools_.find(Worker);
  if (Found == WorkerPools_.end())
    return nullptr;
  PoolMember *Pool = findPool(Found->second);
  if (Pool)
    removeWorker(Pool->directory(), Worker);
  WorkerPools_.erase(Found);
  return Pool;
}

} // namespace geraniumbay::jobs
