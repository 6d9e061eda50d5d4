//===- modelworker.cpp - A small stand-in for a worker --------------------===//
//
// Slots, guard and faults.
//
//===----------------------------------------------------------------------===//

#include "model/internal/modelworker.h"

namespace geraniumbay::model {
namespace {

using dispatch::LeaseOutcome;

constexpr Duration FailsWithin = std::chrono::milliseconds(5);
constexpr int SlowFactor = 8;
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
/// How long an entry takes to notice that a worker is gone.
constexpr Duration NoticeLoss = std::chrono::seconds(1);
/// Tasks sent to a failing worker count until its first probe may come.
constexpr Duration FirstProbe = std::chrono::milliseconds(900);

} // namespace

ModelWorker::ModelWorker(World &Shared, std::size_t Index)
    : Shared_(Shared), Index_(Index) {
  if (Shared.Played.Fault == WorkerFault::Dead &&
      Index < Shared.Played.FaultyWorkers)
    Shared.Timers.after(Shared.Played.FaultAt, [this] { die(); });
}

WorkerFault ModelWorker::fault() const {
  const Scene &Played = Shared_.Played;
  if (Index_ >= Played.FaultyWorkers)
    return WorkerFault::None;
  if (Played.Fault == WorkerFault::Dead && elapsed(Shared_) >= Played.FaultAt)
    return WorkerFault::Dead;
  return faultLasts(Shared_) ? Played.Fault : WorkerFault::None;
}

bool ModelWorker::isFaulty() const { return fault() != WorkerFault::None; }

std::size_t ModelWorker::centre() const {
  return centreOfWorker(Shared_.Deployed, Index_);
}

std::uint32_t ModelWorker::slots() const {
  return Shared_.Deployed.SlotsPerWorker;
}

std::uint64_t ModelWorker::start(Duration Run, Ended OnEnd) {
  std::uint64_t Id = ++LastTask_;
  WorkerFault Fault = fault();
  if (Fault == WorkerFault::Dead) {
    Shared_.Timers.after(ConnectTimeout, [OnEnd] {
      OnEnd(LeaseOutcome::Unreachable, Duration(0));
    });
    return Id;
  }
  if (busy() >= slots()) {
    OnEnd(LeaseOutcome::Refused, Duration(0));
    return Id;
  }
  LeaseOutcome Outcome = LeaseOutcome::Succeeded;
  if (Fault == WorkerFault::FailFast) {
    Outcome = LeaseOutcome::Failed;
    Run = FailsWithin;
    if (elapsed(Shared_) < Shared_.Played.FaultAt + FirstProbe)
      ++StartsWhileFailing_;
  }
  if (Fault == WorkerFault::Slow)
    Run *= SlowFactor;
  TimerId Timer = Shared_.Timers.after(
      Run, [this, Id, Outcome, Run] { end(Id, Outcome, Run); });
  Running_[Id] = {Timer, std::move(OnEnd)};
  return Id;
}

void ModelWorker::end(std::uint64_t Id, LeaseOutcome Outcome, Duration Ran) {
  auto Found = Running_.find(Id);
  Ended OnEnd = std::move(Found->second.OnEnd);
  Running_.erase(Found);
  if (OnFree)
    OnFree();
  OnEnd(Outcome, Ran);
}

bool ModelWorker::cancel(std::uint64_t Task) {
  auto Found = Running_.find(Task);
  if (Found == Running_.end())
    return false;
  Shared_.Timers.cancel(Found->second.Timer);
  Running_.erase(Found);
  if (OnFree)
    OnFree();
  return true;
}

void ModelWorker::die() {
  for (auto &[Id, Task] : Running_) {
    Shared_.Timers.cancel(Task.Timer);
    Shared_.Timers.after(NoticeLoss, [OnEnd = Task.OnEnd] {
      OnEnd(LeaseOutcome::Failed, Duration(0));
    });
  }
  Running_.clear();
}

std::optional<dispatch::WorkerAnnouncement> ModelWorker::announcement() const {
  if (fault() == WorkerFault::Dead)
    return std::nullopt;
  const Deployment &Deployed = Shared_.Deployed;
  dispatch::WorkerAnnouncement Result;
  Result.Worker = WorkerId(std::to_string(Index_));
  Result.Start = Incarnation(1);
  Result.Address = {"10.0.0.1", 8080};
  Result.Service = ServiceId("service");
  Result.DataCentre = DataCentreId(Deployed.DataCentres[centre()]);
  Result.Rack = std::to_string(Index_ / Deployed.WorkersPerRack);
  Result.Slots = slots();
  Result.Busy = busy();
  return Result;
}

} // namespace geraniumbay::model
