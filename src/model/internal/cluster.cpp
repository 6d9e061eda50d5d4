//===- cluster.cpp - The processes of a run -------------------------------===//
//
// Wiring and periodic messages.
//
//===----------------------------------------------------------------------===//

#include "model/internal/cluster.h"

#include <algorithm>

namespace geraniumbay::model {
namespace {

constexpr Duration AnnounceEvery = std::chrono::seconds(1);
constexpr Duration HeartbeatEvery = std::chrono::milliseconds(500);
constexpr Duration SampleEvery = std::chrono::milliseconds(250);

} // namespace

Cluster::Cluster(World &Shared) : Shared_(Shared) {
  const Deployment &Deployed = Shared.Deployed;
  for (std::size_t I = 0; I < Deployed.Workers; ++I)
    Workers_.push_back(std::make_unique<ModelWorker>(Shared, I));
  for (std::size_t I = 0; I < Deployed.Entries; ++I) {
    Servers_.push_back(std::make_unique<ModelServer>());
    Rpcs_.push_back(std::make_unique<ModelRpc>(Shared, Servers_, I));
    Directories_.push_back(std::make_unique<ModelDirectory>(Shared, I));
  }
  if (Shared.Decided.Kind == PolicyKind::Central)
    Queue_ = std::make_unique<CentralQueue>(Shared, Workers_);
  if (Shared.Decided.Kind == PolicyKind::Pools)
    addPools();
  addEntries();
}

void Cluster::addPools() {
  for (std::size_t I = 0; I < Shared_.Deployed.DataCentres.size(); ++I) {
    Pools_.push_back(std::make_unique<dispatch::PoolService>(
        Shared_.Clock, Shared_.Timers, *Servers_[I], *Rpcs_[I],
        *Directories_[I], Shared_.Decided.Pool));
    Directories_[I]->setLocal(Pools_[I].get());
  }
  for (std::size_t I = 0; I < Workers_.size(); ++I)
    announce(I);
  for (std::size_t I = 0; I < Pools_.size(); ++I)
    heartbeat(I);
  Shared_.Timers.after(SampleEvery, [this] { sample(); });
}

void Cluster::addEntries() {
  for (std::size_t I = 0; I < Shared_.Deployed.Entries; ++I) {
    std::size_t Centre = centreOfEntry(Shared_.Deployed, I);
    if (Queue_)
      Clients_.push_back(std::make_unique<CentralClient>(*Queue_, Centre));
    else if (Pools_.empty())
      Clients_.push_back(std::make_unique<NaiveClient>(Shared_, I));
    else
      Clients_.push_back(std::make_unique<dispatch::PoolClient>(
          Shared_.Clock, Shared_.Timers, *Servers_[I], *Rpcs_[I],
          *Directories_[I], Shared_.Decided.Route));
    Entries_.push_back(std::make_unique<ModelEntry>(
        Shared_, Workers_, Queue_.get(), *Clients_[I], I));
  }
}

void Cluster::announce(std::size_t Worker) {
  ModelWorker &From = *Workers_[Worker];
  if (auto Announcement = From.announcement())
    attempt([&] { return Pools_[From.centre()]->announce(*Announcement); });
  // The first one comes at once, the others at a time of the worker's own.
  Duration Phase = AnnounceEvery * Worker / Workers_.size();
  bool First = elapsed(Shared_) == Duration(0);
  Shared_.Timers.after(First ? AnnounceEvery - Phase : AnnounceEvery,
                       [this, Worker] { announce(Worker); });
}

void Cluster::heartbeat(std::size_t Owner) {
  for (const dispatch::PoolSummary &Each : Pools_[Owner]->summaries())
    for (std::size_t To = 0; To < Directories_.size(); ++To) {
      std::size_t Centre = centreOfEntry(Shared_.Deployed, To);
      if (isCut(Shared_, Owner, Centre))
        continue;
      Shared_.Timers.after(delayBetween(Shared_.Deployed, Owner, Centre),
                           [this, To, Each] { Directories_[To]->heard(Each); });
    }
  Shared_.Timers.after(HeartbeatEvery, [this, Owner] { heartbeat(Owner); });
}

std::uint64_t Cluster::poolSlots() const {
  std::uint64_t Slots = 0;
  for (const auto &Pool : Pools_)
    for (const dispatch::PoolSummary &Each : Pool->summaries())
      Slots += Each.Slots;
  return Slots;
}

void Cluster::sample() {
  std::uint64_t Healthy = 0;
  for (const auto &Each : Workers_)
    Healthy += Each->isFaulty() ? 0 : Each->slots();
  // A worker that has just healed is still left out until its probe.
  bool Settled = Shared_.Played.FaultyWorkers == 0 ||
                 elapsed(Shared_) < Shared_.Played.FaultEnd;
  std::uint64_t Used = poolSlots();
  if (Settled && Used < Healthy)
    Shared_.Measured.HealthySlotsLeftOut =
        std::max(Shared_.Measured.HealthySlotsLeftOut, Healthy - Used);
  Shared_.Timers.after(SampleEvery, [this] { sample(); });
}

void Cluster::finish() {
  Shared_.Measured.SlotsAtEnd = poolSlots();
  for (const auto &Each : Workers_)
    Shared_.Measured.FailingWorkerTasks = std::max(
        Shared_.Measured.FailingWorkerTasks, Each->startsWhileFailing());
}

} // namespace geraniumbay::model
