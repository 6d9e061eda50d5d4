//===- workertable.h - The workers that this entry owns ---------*- C++ -*-===//
//
// The newest announcement of each worker at its owner, and which of them may
// be granted. A worker that is gone is remembered for a while, so that an
// announcement that was delayed does not bring it back.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_WORKERTABLE_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_WORKERTABLE_H

#include "framework/clock/iclock.h"
#include "membership/announcement.h"

#include <functional>
#include <map>
#include <vector>

namespace geraniumbay::membership {

/// What the owner knows of one worker.
struct WorkerRecord {
  /// Invariant: its Version never goes back.
  WorkerAnnouncement Newest;
  /// When Newest came.
  Time HeardAt;
  /// Whether the sink was told that the worker is serving, and not since that
  /// it is gone. Invariant: false if Newest is leaving.
  bool Serving = false;
};

using WorkerTable = std::map<WorkerId, WorkerRecord>;

/// What became of an announcement.
enum class Acceptance {
  Taken,     ///< It is the newest.
  Duplicate, ///< The newest one again; nothing changed.
  Stale,     ///< Older than the newest.
};

/// Takes in an announcement that this entry owns the worker of, and whose
/// worker has not left.
Acceptance takeAnnouncement(WorkerTable &Table,
                            const WorkerAnnouncement &Announcement, Time Now);

/// Marks the worker gone; returns whether it was serving.
bool markGone(WorkerTable &Table, const WorkerId &Worker);

/// Returns the serving workers that \p Matches says.
std::vector<WorkerId>
servingWorkers(const WorkerTable &Table,
               const std::function<bool(const WorkerRecord &)> &Matches);

/// Forgets the workers that are gone and were silent for \p Memory.
void forgetWorkers(WorkerTable &Table, Duration Memory, Time Now);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_WORKERTABLE_H
