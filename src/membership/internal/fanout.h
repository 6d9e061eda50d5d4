//===- fanout.h - Whom to send a heartbeat, and what to relay ---*- C++ -*-===//
//
// Bounds the traffic of the membership. Up to MeshLimit entries, each pair
// exchanges a request and a reply in every interval. In larger systems only
// the entries of one data centre do; each entry also tries a few of the other
// data centres in turn, and heartbeats relay a few reports of other entries.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H

#include "membership/internal/view.h"

namespace geraniumbay::membership {

/// Whether \p Self, rather than \p Other, sends the request of their exchange
/// as long as both are heard. The two always agree.
bool isInitiator(const VmId &Self, const VmId &Other);

/// Returns the entries that are sent a request in this interval.
std::vector<Peer>
heartbeatTargets(View &State, const MembershipSettings &Settings, Time Now);

/// Returns the reports to relay to \p To, which take turns.
std::vector<EntryReport> relayedReports(View &State,
                                        const MembershipSettings &Settings,
                                        const VmId &To, Time Now);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_FANOUT_H
