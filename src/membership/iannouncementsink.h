//===- iannouncementsink.h - Where the owner's workers go -------*- C++ -*-===//
//
// What the pool implements to learn which workers this entry owns.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_IANNOUNCEMENTSINK_H
#define GERANIUMBAY_MEMBERSHIP_IANNOUNCEMENTSINK_H

#include "membership/announcement.h"

namespace geraniumbay::membership {

/// Why a worker is no longer to be granted here.
enum class GoneReason {
  Left,     ///< It announced that it leaves.
  Silent,   ///< It did not renew its announcement in time.
  NotOwner, ///< Another entry owns it now, or this one's view is not trusted.
};

/// Returns the stable lower-case name of \p Reason.
const char *goneReasonName(GoneReason Reason);

/// Receives the announcements of the workers that this entry owns.
class IAnnouncementSink {
public:
  virtual ~IAnnouncementSink() = default;

  /// \p Announcement is serving and newer than all before it of its worker. A
  /// higher incarnation means that the worker restarted: what ran there is
  /// lost.
  virtual void workerServing(const WorkerAnnouncement &Announcement) = 0;
  /// No new task may be granted on \p Worker until it is serving again.
  virtual void workerGone(const WorkerId &Worker, GoneReason Reason) = 0;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_IANNOUNCEMENTSINK_H
