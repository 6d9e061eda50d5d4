//===- peertable.h - What an entry knows of other entries -------*- C++ -*-===//
//
// Whether another entry answers is a fact about that entry, so it is kept once
// and read by all pools that the entry is a candidate for.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H
#define GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"

#include <map>
#include <optional>

namespace geraniumbay::jobs {

/// What is known of another entry.
struct PeerHealth {
  /// When the request was sent that it answered last.
  std::optional<Time> AnsweredAt;
  /// When it last sent something.
  std::optional<Time> HeardAt;
  /// When it last refused a connection, if it has not answered since: its
  /// process is gone, or something between refuses in its name.
  std::optional<Time> RefusedAt;
  /// It says that it is stopping, and releases all pools.
  bool Stopping = false;
  /// Of a process that was young when it answered: it had started by then, and
  /// the process before it was gone.
  std::optional<Time> StartedBy;
};

struct PeerTable {
  std::map<Endpoint, PeerHealth> Peers;
};

/// Null if nothing is known of \p Peer.
const PeerHealth *findPeer(const PeerTable &Table, const Endpoint &Peer);

/// Notes an answer to a request that was sent at \p Sent. One that was sent
/// before the last that was answered changes nothing.
void noteAnswer(PeerTable &Table, const Endpoint &Peer, bool Stopping,
                Time Sent);
/// Notes how old the peer's process was in an answer that came \p Now; nothing
/// if it is not young.
void noteAge(PeerTable &Table, const Endpoint &Peer,
             std::optional<Duration> Age, Time Now);
/// Notes that a connection to the peer was refused.
void noteRefused(PeerTable &Table, const Endpoint &Peer, Time Now);
/// Notes a request of the peer.
void noteHeard(PeerTable &Table, const Endpoint &Peer, bool Stopping, Time Now);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_PEERTABLE_H
