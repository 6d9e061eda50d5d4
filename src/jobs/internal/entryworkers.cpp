//===- entryworkers.cpp - The workers that an entry knows -----------------===//
//
// Lists of workers from control VMs, and the pools that they are in. An entry
// may own the pools of its own data centre only, so it asks for the workers
// there, and for those of data centres that have no entries.
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

/// A thousand workers take tens of milliseconds at a control VM that forty
/// entries ask at once.
constexpr Duration FetchTimeout = std::chrono::milliseconds(1000);

} // namespace

void EntryJobs::fetchWorkers(const Endpoint &From,
                             const std::optional<Endpoint> &OrElse) {
  if (FetchesWorkers_)
    return;
  FetchesWorkers_ = true;
  Json::Value Params(Json::objectValue);
  writeWorkersKnown(Params);
  Params["evacuations_change"] = Json::UInt64(EvacuationsKnown_.value());
  Params["lists_of"] = Json::UInt64(ListsOf_);
  Control_.fetch(From, wire::method::Workers, std::move(Params), FetchTimeout,
                 [this, OrElse](const Outcome<Json::Value> &Result) {
                   FetchesWorkers_ = false;
                   if (Result) {
                     takeEvacuations(*Result);
                     takeWorkers(*Result);
                     rankCandidates();
                   }
                   // One that is too slow has others that wait too; the
                   // leader would be asked by all of them. The next answer of
                   // the leader names the list again.
                   if (!Result)
                     ++FetchesLost_;
                   else if (OrElse && !(*Result)["workers"].isArray())
                     fetchWorkers(*OrElse, std::nullopt);
                 });
}

std::set<DataCentreId> EntryJobs::dataCentresWanted() const {
  std::set<DataCentreId> WithEntries;
  for (const auto &[Place, Named] : Entries_)
    WithEntries.insert(Place.DataCentre);
  std::set<DataCentreId> Result{DataCentre_};
  for (const auto &[DataCentre, Racks] : Groups_)
    if (WithEntries.count(DataCentre) == 0)
      Result.insert(DataCentre);
  return Result;
}

void EntryJobs::wantDataCentres() {
  // Without a list of the entries this one is a candidate everywhere.
  if (Plan_ != PoolPlan::ByRack || Groups_.empty() || Entries_.empty())
    return;
  std::set<DataCentreId> Wanted = dataCentresWanted();
  bool Covered =
      WorkersIn_.empty() || std::includes(WorkersIn_.begin(), WorkersIn_.end(),
                                          Wanted.begin(), Wanted.end());
  WorkersIn_ = std::move(Wanted);
  if (Covered)
    return;
  WorkersOf_ = 0;
  WorkersChange_ = 0;
  KnowsAllWorkers_ = false;
}

void EntryJobs::writeWorkersKnown(Json::Value &Params) const {
  Params["workers_of"] = Json::UInt64(WorkersOf_);
  Params["workers_change"] = Json::UInt64(WorkersChange_);
  for (const DataCentreId &Each : WorkersIn_)
    Params["workers_in"].append(Each.value());
  // A new leader may have the same list.
  if (WorkersOf_ == ListsOf_ || WorkersOf_ == 0)
    return;
  std::uint64_t Digest = 0;
  for (const auto &[Name, In] : Pools_)
    for (const auto &[Id, Known] : std::as_const(*In).directory().Workers)
      if (WorkersIn_.empty() || WorkersIn_.count(Known.Info.DataCentre) != 0)
        Digest ^= digestOf(Known.Info);
  Params["workers_digest"] = Json::UInt64(Digest);
}

PoolMember &EntryJobs::memberOf(const PoolName &Name,
                                const DataCentreId &DataCentre) {
  std::unique_ptr<PoolMember> &Place = Pools_[Name];
  if (Place)
    return *Place;
  PoolMemberDependencies Needs{
      Needs_.Workers, Needs_.Clock,
      Needs_.Timers,  Needs_.Measured,
      Lease_,         Peers_,
      Evacuated_,     KnowsAllWorkers_,
      Suspects_,      [this](const PoolMember &Of) { sendSuspects(Of); }};
  Place = std::make_unique<PoolMember>(Needs, Name, DataCentre, Self_);
  Place->view().Stopping = Stopping_;
  RanksDue_ = true;
  return *Place;
}

void EntryJobs::takeWorkers(const Json::Value &Result) {
  takeWorkerList(Result);
  if (wire::isSet(Result, "all_workers"))
    KnowsAllWorkers_ = true;
}

void EntryJobs::takeWorkerList(const Json::Value &Result) {
  if (!Result["workers"].isArray())
    return;
  WorkersOf_ = wire::numberOf(Result, "workers_of");
  WorkersChange_ = wire::numberOf(Result, "workers_change");
  Time Now = Needs_.Clock.now();
  std::set<PoolMember *> Changed;
  std::set<WorkerId> Listed;
  for (const Json::Value &Each : Result["workers"]) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      continue;
    PoolName Name = poolOf(Plan_, Groups_, *Info);
    PoolMember &In = memberOf(Name, Info->DataCentre);
    announce(In.directory(), *Info, Now);
    WorkerPools_[Info->Worker] = Name;
    Listed.insert(Info->Worker);
    Changed.insert(&In);
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
    if (PoolMember *In = forgetWorker(Id))
      Changed.insert(In);
  for (PoolMember *In : Changed)
    In->workersChanged();
}

PoolMember *EntryJobs::forgetWorker(const WorkerId &Worker) {
  auto Found = WorkerPools_.find(Worker);
  if (Found == WorkerPools_.end())
    return nullptr;
  PoolMember *In = findPool(Found->second);
  if (In)
    removeWorker(In->directory(), Worker);
  WorkerPools_.erase(Found);
  return In;
}

} // namespace geraniumbay::jobs
