//===- announcementrelay.cpp - Announcements at a follower ----------------===//
//
// Which announcements have to be forwarded.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/announcementrelay.h"

namespace geraniumbay::jobs {

void followLeader(AnnouncementRelay &Relay,
                  const std::optional<Endpoint> &Leader) {
  if (Leader == Relay.Leader)
    return;
  Relay = AnnouncementRelay();
  Relay.Leader = Leader;
}

bool isNewToLeader(const AnnouncementRelay &Relay, const WorkerInfo &Info) {
  auto Found = Relay.LeaderDigests.find(Info.Worker);
  return Found == Relay.LeaderDigests.end() || Found->second != digestOf(Info);
}

void markKnown(AnnouncementRelay &Relay, const WorkerInfo &Info) {
  Relay.LeaderDigests[Info.Worker] = digestOf(Info);
}

void markUnknown(AnnouncementRelay &Relay, const WorkerId &Worker) {
  Relay.LeaderDigests.erase(Worker);
  Relay.HeardWorkers.erase(Worker);
}

} // namespace geraniumbay::jobs
