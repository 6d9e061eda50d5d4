//===- announcementrelay.h - Announcements at a follower --------*- C++ -*-===//
//
// Thousands of workers announce themselves every second or two, and nearly all
// of these announcements change nothing. A follower acknowledges those itself
// and reports to the leader periodically which workers it has heard; only
// changes are forwarded at once. So the leader's load grows with the number of
// changes, and each control VM carries its share of the rest.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H
#define GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H

#include "jobs/workerdirectory.h"

#include <unordered_map>

namespace geraniumbay::jobs {

struct AnnouncementRelay {
  /// The leader that the other fields refer to.
  std::optional<Endpoint> Leader;
  /// Digests of the announcements that this leader is known to have. A new
  /// leader may lack what the previous one had.
  std::unordered_map<WorkerId, std::uint64_t> LeaderDigests;
  /// Workers heard here since the last report to the leader.
  std::set<WorkerId> HeardWorkers;
};

/// How often heard workers are reported to the leader: a few times within
/// WorkerTimeout.
constexpr Duration HeardReportInterval = std::chrono::seconds(2);

/// Resets the relay if the leader has changed.
void followLeader(AnnouncementRelay &Relay,
                  const std::optional<Endpoint> &Leader);

/// Whether the leader may lack the content of \p Info.
bool isNewToLeader(const AnnouncementRelay &Relay, const WorkerInfo &Info);
/// Records that the leader has \p Info.
void markKnown(AnnouncementRelay &Relay, const WorkerInfo &Info);
/// Records that the leader does not have the worker.
void markUnknown(AnnouncementRelay &Relay, const WorkerId &Worker);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H
