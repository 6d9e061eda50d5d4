//===- announcementrelay.cpp - Announcements at a follower ----------------===//
//
// What counts as news.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/announcementrelay.h"

#include <boost/container_hash/hash.hpp>

namespace geraniumbay::jobs {

namespace {

/// Of all that schedulers must hear of.
std::size_t digestOf(const WorkerInfo &Info) {
  std::size_t Digest = 0;
  auto Add = [&](const auto &Value) { boost::hash_combine(Digest, Value); };
  Add(Info.At.text());
  Add(Info.Service.value());
  Add(Info.DataCentre.value());
  Add(Info.Capacity.CpuMillis);
  Add(Info.Capacity.MemoryMb);
  Add(Info.Capacity.Gpus);
  Add(Info.Draining);
  for (const std::string &Label : Info.Labels)
    Add(Label);
  return Digest;
}

} // namespace

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
