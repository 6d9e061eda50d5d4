//===- membershipsetup.h - Registers the membership's services --*- C++ -*-===//
//
// The module's entry point. setupMembership() comes before the pool's setup,
// which uses IMembership; setupAnnouncements() comes after it, since it passes
// the workers to the pool's IAnnouncementSink.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETUP_H
#define GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETUP_H

#include "framework/kernel/registry.h"
#include "membership/membershipsettings.h"
#include "membership/peer.h"

namespace geraniumbay::membership {

namespace service_name {
constexpr const char *Membership = "membership";        ///< IMembership
constexpr const char *Control = "membership_control";   ///< IMembershipControl
constexpr const char *Tombstones = "tombstones";        ///< ITombstones
constexpr const char *AnnouncementSink = "worker_sink"; ///< IAnnouncementSink
} // namespace service_name

/// Registers IMembership, IMembershipControl and ITombstones. Needs the
/// framework's Clock, Timers, RpcServer and RpcClient. \p Own is the
/// incarnation of incarnation.h. The heartbeats begin with
/// IMembershipControl::start().
void setupMembership(Registry &Services, const Peer &Self, Incarnation Own,
                     const MembershipSettings &Settings);

/// Takes announcements on the callers' server and from peers. Needs the
/// services of setupMembership(), the framework's CallerServer, and an
/// IAnnouncementSink under service_name::AnnouncementSink.
void setupAnnouncements(Registry &Services, const MembershipSettings &Settings);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETUP_H
