//===- peertable.h - Health of other entries --------------------*- C++ -*-===//
//
// Whether another entry answers does not depend on the pool, so it is stored
// once and read by all pools that the entry is a candidate for.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H
#define GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"

#include <map>
#include <optional>

namespace geraniumbay::jobs {

/// The health of another entry as far as it is known.
struct PeerHealth {
  /// When the last request that it answered was sent.
  std::optional<Time> AnsweredAt;
  /// When a message of it was last received.
  std::optional<Time> HeardAt;
  /// When a connection to it was last refused, if it has not answered since:
  /// its process has ended, or something in between refuses connections.
  std::optional<Time> RefusedAt;
  /// It announced that it is stopping, and releases all pools.
  bool Stopping = false;
  /// Set if the process that answered had recently started: by then it was
  /// running, and the process before it had ended.
  std::optional<Time> StartedBy;
};

struct PeerTable {
  std::map<Endpoint, PeerHealth> Peers;
};

/// Null if nothing is known of \p Peer.
const PeerHealth *findPeer(const PeerTable &Table, const Endpoint &Peer);

/// Notes an answer to a request that was sent at \p Sent. Ignored if a later
/// request has been answered already.
void noteAnswer(PeerTable &Table, const Endpoint &Peer, bool Stopping,
                Time Sent);
/// Notes the age that the peer's process reported in an answer received \p Now;
/// no age means that it has not recently started.
void noteAge(PeerTable &Table, const Endpoint &Peer,
             std::optional<Duration> Age, Time Now);
/// Notes that a connection to the peer was refused.
void noteRefused(PeerTable &Table, const Endpoint &Peer, Time Now);
/// Notes a request received from the peer.
void noteHeard(PeerTable &Table, const Endpoint &Peer, bool Stopping, Time Now);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H
