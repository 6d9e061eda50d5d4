//===- announcementrelay.h - Announcements at a follower --------*- C++ -*-===//
//
// Thousands of workers announce themselves every second or two, and nearly all
// of these announcements say nothing new. A control VM that does not lead
// acknowledges those itself, and tells the leader from time to time which
// workers it has heard; only news is passed on at once. So the leader's work
// grows with what changes, and each control VM carries its share of the rest.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H
#define GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H

#include "jobs/workerdirectory.h"

#include <unordered_map>

namespace geraniumbay::jobs {

struct AnnouncementRelay {
  /// The leader that the rest is about.
  std::optional<Endpoint> Leader;
  /// What the leader is known to have of each worker, as a digest. It may have
  /// lost what a leader before it had.
  std::unordered_map<WorkerId, std::uint64_t> Known;
  /// Workers heard here since the leader was told.
  std::set<WorkerId> Heard;
};

/// How often the leader is told who was heard: a few times within
/// WorkerSilence.
constexpr Duration HeardInterval = std::chrono::seconds(2);

/// Forgets what an earlier leader knew.
void followLeader(AnnouncementRelay &Relay,
                  const std::optional<Endpoint> &Leader);

/// Whether the leader may not know what \p Info says.
bool isNews(const AnnouncementRelay &Relay, const WorkerInfo &Info);
/// Notes that the leader has \p Info.
void noteKnown(AnnouncementRelay &Relay, const WorkerInfo &Info);
/// Notes that the leader does not have the worker.
void noteUnknown(AnnouncementRelay &Relay, const WorkerId &Worker);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ANNOUNCEMENTRELAY_H
