//===- peertable.cpp - Health of other entries ----------------------------===//

#include "jobs/internal/peertable.h"

namespace geraniumbay::jobs {

const PeerHealth *findPeer(const PeerTable &Table, const Endpoint &Peer) {
  auto Found = Table.Peers.find(Peer);
  return Found == Table.Peers.end() ? nullptr : &Found->second;
}

void noteAnswer(PeerTable &Table, const Endpoint &Peer, bool Stopping,
                Time Sent) {
  PeerHealth &Health = Table.Peers[Peer];
  if (Health.AnsweredAt && *Health.AnsweredAt > Sent)
    return;
  Health.AnsweredAt = Sent;
  Health.RefusedAt.reset();
  Health.Stopping = Stopping;
}

void noteAge(PeerTable &Table, const Endpoint &Peer,
             std::optional<Duration> Age, Time Now) {
  std::optional<Time> &Started = Table.Peers[Peer].StartedBy;
  Started.reset();
  if (Age)
    Started = Now - *Age;
}

void noteRefused(PeerTable &Table, const Endpoint &Peer, Time Now) {
  Table.Peers[Peer].RefusedAt = Now;
}

void noteHeard(PeerTable &Table, const Endpoint &Peer, bool Stopping,
               Time Now) {
  PeerHealth &Health = Table.Peers[Peer];
  Health.HeardAt = Now;
  Health.Stopping = Stopping;
}

} // namespace geraniumbay::jobs
