//===- workersink.h - From announcements to the pool ------------*- C++ -*-===//
//
// Hands the announcements that this entry owns to its pool.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_WORKERSINK_H
#define GERANIUMBAY_APP_INTERNAL_WORKERSINK_H

#include "dispatch/ipoolowner.h"
#include "membership/iannouncementsink.h"

#include <unordered_map>

namespace geraniumbay::app {

/// An IAnnouncementSink over IPoolOwner.
class WorkerSink : public membership::IAnnouncementSink {
public:
  explicit WorkerSink(dispatch::IPoolOwner &Pool) : Pool_(Pool) {}

  void
  workerServing(const membership::WorkerAnnouncement &Announcement) override;
  void workerGone(const WorkerId &Worker,
                  membership::GoneReason Reason) override;

private:
  dispatch::IPoolOwner &Pool_;
  /// The newest incarnation of each worker that serves here.
  std::unordered_map<WorkerId, Incarnation> Serving_;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_WORKERSINK_H
