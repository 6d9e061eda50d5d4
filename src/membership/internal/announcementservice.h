//===- announcementservice.h - Announcements to their owner -----*- C++ -*-===//
//
// Takes announcements from upstreams (`POST /v1/upstreams`) and from other
// entries (`pool.announce`), passes each to the owner of its worker, and tells
// the pool of this entry which workers it may grant.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_ANNOUNCEMENTSERVICE_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_ANNOUNCEMENTSERVICE_H

#include "framework/clock/itimers.h"
#include "framework/net/ihttpserver.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"
#include "membership/iannouncementsink.h"
#include "membership/imembership.h"
#include "membership/internal/workertable.h"
#include "membership/itombstones.h"
#include "membership/membershipsettings.h"

namespace geraniumbay::membership {

/// The method by which an entry passes an announcement to the owner.
constexpr const char *AnnounceMethod = "pool.announce";

/// The announcements of one process.
class AnnouncementService {
public:
  AnnouncementService(IMembership &Members, ITombstones &Tombstones,
                      IAnnouncementSink &Sink, const IClock &Clock,
                      ITimers &Timers, IRpcClient &Client, IRpcServer &Server,
                      IHttpServer &Callers, const MembershipSettings &Settings);

private:
  using Answer = std::function<void(Outcome<Done>)>;

  void serve(const std::shared_ptr<IHttpExchange> &Exchange);
  void takeCall(const Json::Value &Params, const IRpcServer::Reply &Reply);
  /// Takes \p Announcement here or passes it on, and answers once. \p Hops is
  /// how often it was passed on before.
  void handle(const WorkerAnnouncement &Announcement, std::uint64_t Hops,
              Answer Reply);
  /// Takes an announcement whose worker this entry owns.
  Outcome<Done> takeHere(const WorkerAnnouncement &Announcement);
  void passOn(const Peer &Owner, const WorkerAnnouncement &Announcement,
              std::uint64_t Hops, Answer Reply);
  /// Whether this entry owns the worker of \p Record.
  bool owns(const WorkerRecord &Record) const;
  /// Drops the workers that this entry no longer owns.
  void dropUnowned();
  /// Drops the workers that were silent, at regular times.
  void watch();
  void drop(const WorkerId &Worker, GoneReason Reason);

  IMembership &Members_;
  ITombstones &Tombstones_;
  IAnnouncementSink &Sink_;
  const IClock &Clock_;
  ITimers &Timers_;
  IRpcClient &Client_;
  const MembershipSettings Settings_;
  WorkerTable Table_;
  /// Callbacks that outlive this service find it gone.
  std::shared_ptr<AnnouncementService *> Alive_;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_ANNOUNCEMENTSERVICE_H
