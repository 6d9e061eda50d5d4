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
};

struct WorkerDirectory {
  std::map<WorkerId, KnownWorker> Workers;
  /// Incarnations that said goodbye, so that a late announcement does not
  /// bring one back.
  std::set<WorkerId> Left;
  /// Counts the changes that schedulers must hear of.
  std::uint64_t Changes = 0;
};

/// A worker that has not announced itself for so long is dropped. Workers
/// announce every second or two; a crashed one says nothing.
constexpr Duration WorkerSilence = std::chrono::seconds(8);

/// Takes an announcement of \p Info. Returns false if it is older than what is
/// known.
bool announce(WorkerDirectory &Directory, const WorkerInfo &Info, Time Now);
/// Notes that the incarnation has ended.
void leave(WorkerDirectory &Directory, const WorkerId &Worker);
/// Drops the workers that are silent.
void dropSilent(WorkerDirectory &Directory, Time Now);

Json::Value write(const WorkerInfo &Value);
RetVal<WorkerInfo> readWorker(const Json::Value &From);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_WORKERDIRECTORY_H
