//===- fanout.h - Whom to send a heartbeat, and what to relay ---*- C++ -*-===//
//
// Bounds the traffic of the membership. Up to MeshLimit entries, each pair
// exchanges a request and a reply in every interval. In larger systems each
// entry tries a few of its own data centre and of the others in turn, and says
// in every heartbeat when it heard each entry (ages.h), so that the messages of
// a node do not grow in number with the system.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H

#include "membership/internal/view.h"

namespace geraniumbay::membership {

/// Whether \p Self, rather than \p Other, sends the request of their exchange
/// as long as both are heard. The two always agree.
bool isInitiator(const VmId &Self, const VmId &Other);

/// Returns the entries that are sent a request in this interval. As long as the
/// view is not trusted, these are all that trust waits for.
std::vector<Peer>
heartbeatTargets(View &State, const MembershipSettings &Settings, Time Now);

/// Returns the reports to relay: restarts and drains first, then all in turns;
/// none in a full mesh.
std::vector<EntryReport>
relayedReports(View &State, const MembershipSettings &Settings, Time Now);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H
