//===- workersink.cpp - From announcements to the pool --------------------===//
//
// Translates the membership's announcements for the pool.
//
//===----------------------------------------------------------------------===//

#include "app/internal/workersink.h"

#include "framework/log/log.h"

namespace geraniumbay::app {

namespace {

dispatch::WorkerAnnouncement
forPool(const membership::WorkerAnnouncement &Announcement) {
  dispatch::WorkerAnnouncement Result;
  Result.Worker = Announcement.Worker;
  Result.Start = Announcement.Version.Incarnation;
  Result.Address = Announcement.Address;
  Result.Service = Announcement.Service;
  Result.DataCentre = Announcement.DataCentre;
  Result.Rack = Announcement.Rack;
  Result.Slots = Announcement.Slots;
  Result.Busy = Announcement.Busy;
  Result.Leaving = Announcement.State == membership::WorkerState::Leaving;
  return Result;
}

} // namespace

void WorkerSink::workerServing(
    const membership::WorkerAnnouncement &Announcement) {
  Serving_[Announcement.Worker] = Announcement.Version.Incarnation;
  auto Taken = attempt([&] { return Pool_.announce(forPool(Announcement)); });
  if (!Taken.ok())
    logEvent(
        LogLevel::Warning, "app", "announcement_refused",
        {{"worker", Announcement.Worker}, {"reason", Taken.error().Message}});
}

void WorkerSink::workerGone(const WorkerId &Worker,
                            membership::GoneReason Reason) {
  logEvent(
      LogLevel::Info, "app", "worker_gone",
      {{"worker", Worker}, {"reason", membership::goneReasonName(Reason)}});
  auto Found = Serving_.find(Worker);
  if (Found == Serving_.end())
    return;
  switch (Reason) {
  case membership::GoneReason::Left:
    Pool_.removeWorker(Worker, Found->second);
    break;
  case membership::GoneReason::Silent:
    Pool_.suspendWorker(Worker);
    return;
  case membership::GoneReason::NotOwner:
    Pool_.disownWorker(Worker);
    break;
  }
  Serving_.erase(Found);
}

} // namespace geraniumbay::app
