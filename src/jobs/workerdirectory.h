//===- workerdirectory.h - The workers that announced themselves *- C++ -*-===//
//
// What each control VM knows of the workers from their announcements. A worker
// numbers its announcements, so a late one is told from a newer one.
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

/// What a worker says of itself.
struct WorkerInfo {
  /// Names one incarnation of the worker.
  WorkerId Worker;
  Endpoint At;
  ServiceId Service;
  DataCentreId DataCentre;
  Resources Capacity;
  /// Its kind, its rack and whatever else it carries.
  std::vector<std::string> Labels;
  /// Which of the labels is its rack; empty if it has none.
  std::string Rack;
  bool Draining = false;
  /// Counts the announcements of this incarnation.
  std::uint64_t Sequence = 0;
  /// Its clock when it sent the announcement.
  WorkerMillis Clock;

  bool operator==(const WorkerInfo &) const = default;
};

/// A worker and when it was last heard.
struct KnownWorker {
  WorkerInfo Info;
  Time Heard;
  /// The number of the last change that schedulers must hear of.
  std::uint64_t ChangedAt = 0;
};

/// A worker that has been removed, and the number of that change.
struct RemovedWorker {
  WorkerId Worker;
  std::uint64_t ChangedAt = 0;
};

struct WorkerDirectory {
  std::map<WorkerId, KnownWorker> Workers;
  /// Incarnations that said goodbye, so that a late announcement does not
  /// bring one back.
  std::set<WorkerId> Left;
  /// Counts the changes that schedulers must hear of.
  std::uint64_t Changes = 0;
  /// The latest removals, oldest first, at most MaxRemovals.
  std::deque<RemovedWorker> Removals;
};

/// Removals that are remembered, for entries that ask what has changed: more
/// than a second brings when a third of 350 workers goes at once.
constexpr std::size_t MaxRemovals = 512;

/// What has changed since one has heard of the first \p Since changes.
struct DirectoryChanges {
  /// All workers are listed, as the removals do not reach back far enough.
  bool Whole = false;
  /// In the order of their changes.
  std::vector<const KnownWorker *> Changed;
  std::vector<WorkerId> Removed;
  /// The number of the last change that this covers.
  std::uint64_t Upto = 0;
};
/// A list that is told in parts.
struct ChangesWanted {
  /// Changes that are known.
  std::uint64_t Since = 0;
  /// Workers in one part, those that changed first.
  std::size_t Most = SIZE_MAX;
  /// Removals up to this change are of no interest: none of those workers was
  /// told of.
  std::uint64_t ListedFrom = 0;
};
DirectoryChanges changesSince(const WorkerDirectory &Directory,
                              const ChangesWanted &Wanted);
inline DirectoryChanges changesSince(const WorkerDirectory &Directory,
                                     std::uint64_t Since) {
  ChangesWanted Wanted;
  Wanted.Since = Since;
  return changesSince(Directory, Wanted);
}

/// A worker that has not announced itself for so long is dropped. Workers
/// announce every second or two; a crashed one says nothing.
constexpr Duration WorkerSilence = std::chrono::seconds(8);

/// Takes an announcement of \p Info. Returns false if it is older than what is
/// known.
bool announce(WorkerDirectory &Directory, const WorkerInfo &Info, Time Now);
/// Removes the worker, if it is there.
void removeWorker(WorkerDirectory &Directory, const WorkerId &Worker);
/// Notes that the incarnation has ended.
void leave(WorkerDirectory &Directory, const WorkerId &Worker);
/// Notes that the leader still knows these workers.
void confirmWorkers(WorkerDirectory &Directory,
                    const std::set<WorkerId> &Workers, Time Now);
/// Drops the workers that are silent.
void dropSilent(WorkerDirectory &Directory, Time Now);

/// A digest of all that schedulers must hear of a worker. Processes of one
/// build agree on it.
std::uint64_t digestOf(const WorkerInfo &Info);

Json::Value write(const WorkerInfo &Value);
RetVal<WorkerInfo> readWorker(const Json::Value &From);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_WORKERDIRECTORY_H
