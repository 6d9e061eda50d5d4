//===- membershipsetup.cpp - Registers the membership's services ----------===//
//
// Resolves what the constructors need by name.
//
//===----------------------------------------------------------------------===//

#include "membership/membershipsetup.h"
#include "framework/kernel/names.h"
#include "membership/internal/announcementservice.h"
#include "membership/internal/membershipservice.h"

namespace geraniumbay::membership {

namespace {

/// Keeps the announcements' service alive; nobody calls it.
constexpr const char *AnnouncementsName = "announcements";

} // namespace

void setupMembership(Registry &Services, const Peer &Self, Incarnation Own,
                     const MembershipSettings &Settings) {
  namespace kernel = geraniumbay::service_name;
  auto Service = std::make_shared<MembershipService>(
      Services.get<IClock>(kernel::Clock),
      Services.get<ITimers>(kernel::Timers),
      Services.get<IRpcClient>(kernel::RpcClient),
      Services.get<IRpcServer>(kernel::RpcServer), Self, Own, Settings);
  Services.add<IMembership>(service_name::Membership, Service);
  Services.add<IMembershipControl>(service_name::Control, Service);
  Services.add<ITombstones>(service_name::Tombstones, Service);
}

void setupAnnouncements(Registry &Services,
                        const MembershipSettings &Settings) {
  namespace kernel = geraniumbay::service_name;
  auto Service = std::make_shared<AnnouncementService>(
      Services.get<IMembership>(service_name::Membership),
      Services.get<ITombstones>(service_name::Tombstones),
      Services.get<IAnnouncementSink>(service_name::AnnouncementSink),
      Services.get<IClock>(kernel::Clock),
      Services.get<ITimers>(kernel::Timers),
      Services.get<IRpcClient>(kernel::RpcClient),
      Services.get<IRpcServer>(kernel::RpcServer),
      Services.get<IHttpServer>(kernel::CallerServer), Settings);
  Services.add<AnnouncementService>(AnnouncementsName, Service);
}

} // namespace geraniumbay::membership
