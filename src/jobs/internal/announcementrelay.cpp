//===- announcementrelay.cpp - Announcements at a follower ----------------===//
//
// What counts as news.
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

bool isNews(const AnnouncementRelay &Relay, const WorkerInfo &Info) {
  auto Found = Relay.Known.find(Info.Worker);
  return Found == Relay.Known.end() || Found->second != digestOf(Info);
}

void noteKnown(AnnouncementRelay &Relay, const WorkerInfo &Info) {
  Relay.Known[Info.Worker] = digestOf(Info);
}

void noteUnknown(AnnouncementRelay &Relay, const WorkerId &Worker) {
  Relay.Known.erase(Worker);
  Relay.Heard.erase(Worker);
}

} // namespace geraniumbay::jobs
