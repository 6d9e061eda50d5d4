//===- workerdirectory.h - Directory of announced workers -------*- C++ -*-===//
//
// What each control VM knows of the workers from their announcements. Workers
// number their announcements, so that a delayed one does not replace a newer
// one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_WORKERDIRECTORY_H
#define GERANIUMBAY_JOBS_WORKERDIRECTORY_H

#include "framework/json/json.h"
#include "jobs/iworkercalls.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace geraniumbay::jobs {

/// A worker's announcement.
struct WorkerInfo {
  WorkerId Worker;
  /// With the id, identifies the incarnation that sent the announcement.
  WorkerStart StartedAt;
  Endpoint At;
  ServiceId Service;
  DataCentreId DataCentre;
  Resources Capacity;
  /// Its kind, its rack and any other labels.
  std::vector<std::string> Labels;
  /// Which of the labels is its rack; empty if it has none.
  std::string Rack;
  bool Draining = false;
  /// Number of this announcement within the incarnation.
  std::uint64_t Sequence = 0;
  /// The worker's clock when it sent the announcement.
  WorkerMillis Clock;

  bool operator==(const WorkerInfo &) const = default;
};

struct KnownWorker {
  WorkerInfo Info;
  Time LastHeardAt;
  /// Number of the last change to this worker that matters to schedulers.
  std::uint64_t ChangeNumber = 0;
  /// An earlier incarnation has been known under the same id.
  bool HasRestarted = false;
};

struct RemovedWorker {
  WorkerId Worker;
  std::uint64_t ChangeNumber = 0;
};

struct WorkerDirectory {
  std::map<WorkerId, KnownWorker> Workers;
  /// The latest incarnation of each id that has left, kept so that a delayed
  /// announcement does not add it again; at most MaxLeftWorkers.
  std::map<WorkerId, WorkerStart> LeftWorkers;
  /// The ids in LeftWorkers, in the order in which they left first.
  std::deque<WorkerId> LeftOrder;
  /// A worker has reported its start time. From then on an announcement without
  /// one is incomplete and names no worker.
  bool ReportsStarts = false;
  /// Counts the changes that matter to schedulers.
  std::uint64_t Changes = 0;
  /// The latest removals, oldest first; at most MaxRemovals.
  std::deque<RemovedWorker> Removals;
};

/// How many removals are kept for entries that request changes: more than occur
/// within a second when a third of 350 workers are lost at once.
constexpr std::size_t MaxRemovals = 512;
/// How many ids of workers that left are kept. Announcements are delayed by
/// some seconds at most, in which a large deployment replaces hundreds.
constexpr std::size_t MaxLeftWorkers = 4096;

/// The changes to the directory after a given change number.
struct DirectoryChanges {
  /// All workers are listed, since the kept removals do not reach back far
  /// enough.
  bool IsFullList = false;
  /// In the order of their change numbers.
  std::vector<const KnownWorker *> Changed;
  std::vector<WorkerId> Removed;
  /// Number of the last change included.
  std::uint64_t LastChange = 0;
};
/// A request for changes; a full list may be fetched in parts.
struct ChangesRequest {
  /// Number of the last change that the receiver has.
  std::uint64_t Since = 0;
  /// Limit on the workers in one part; those with the lowest change numbers
  /// come first.
  std::size_t MaxWorkers = SIZE_MAX;
  /// The directory's change number when the receiver's list was begun. Earlier
  /// removals do not matter: none of those workers was listed to it.
  std::uint64_t ListStart = 0;
};
DirectoryChanges changesSince(const WorkerDirectory &Directory,
                              const ChangesRequest &Request);
inline DirectoryChanges changesSince(const WorkerDirectory &Directory,
                                     std::uint64_t Since) {
  ChangesRequest Request;
  Request.Since = Since;
  return changesSince(Directory, Request);
}

/// A worker that has not been heard for this long is removed. Workers announce
/// themselves every second or two; one that has crashed just stops.
constexpr Duration WorkerTimeout = std::chrono::seconds(8);

/// Whether \p Other is a later incarnation than \p Known of the same id.
/// Without both start times the two cannot be told apart.
inline bool isLaterIncarnation(WorkerStart Other, WorkerStart Known) {
  return Known != WorkerStart() && Other > Known;
}
/// Whether \p Other started before \p Known; a missing start time counts as the
/// earliest.
inline bool isEarlierIncarnation(WorkerStart Other, WorkerStart Known) {
  return Other < Known;
}

/// Applies an announcement. Returns false if it is outdated or the incarnation
/// has left. A later incarnation replaces the known one, whatever its sequence
/// number.
bool announce(WorkerDirectory &Directory, const WorkerInfo &Info, Time Now);
/// Does nothing if the worker is unknown.
void removeWorker(WorkerDirectory &Directory, const WorkerId &Worker);
/// Removes the worker if its known incarnation is \p Gone.
void removeIncarnation(WorkerDirectory &Directory,
                       const WorkerIncarnation &Gone);
/// Removes the worker and ignores later announcements of this incarnation.
/// Returns false if the message must come from an earlier incarnation: workers
/// announce that they drain before they leave, and a restarted one has not.
bool recordLeave(WorkerDirectory &Directory, const WorkerId &Worker);
/// Records that another control VM still hears these workers.
void confirmWorkers(WorkerDirectory &Directory,
                    const std::set<WorkerId> &Workers, Time Now);
/// Removes the workers that have not been heard within WorkerTimeout.
void dropSilentWorkers(WorkerDirectory &Directory, Time Now);

/// A digest of all that matters to schedulers about a worker. Only equal
/// between processes of one build.
std::uint64_t digestOf(const WorkerInfo &Info);

Json::Value write(const WorkerInfo &Value);
RetVal<WorkerInfo> readWorker(const Json::Value &From);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_WORKERDIRECTORY_H
