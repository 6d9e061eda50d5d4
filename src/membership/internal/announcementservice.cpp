//===- announcementservice.cpp - Announcements to their owner -------------===//
//
// Routing of announcements, and the workers that this entry owns.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/announcementservice.h"
#include "framework/json/json.h"
#include "framework/log/log.h"

#include <utility>

namespace geraniumbay::membership {

namespace {

constexpr const char *Module = "membership";
/// Views of two entries may differ for a moment, so an entry that is taken for
/// the owner may pass an announcement on, but not round in circles.
constexpr std::uint64_t MaxHops = 2;
/// How often silent workers are looked for.
constexpr Duration WatchInterval = std::chrono::milliseconds(250);
constexpr const char *RetryAfterSeconds = "1";

int statusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return 400;
  case ErrorCode::Conflict:
    return 409;
  default:
    return 503;
  }
}

HttpResponse httpAnswer(const Outcome<Done> &Result) {
  HttpResponse Response;
  Response.Headers.push_back({"Content-Type", "application/json"});
  Json::Value Body;
  if (Result) {
    Body["taken"] = true;
  } else {
    Response.Status = statusOf(Result.error().Code);
    Body["error"] = errorCodeName(Result.error().Code);
    Body["message"] = Result.error().Message;
    if (Response.Status == 503)
      Response.Headers.push_back({"Retry-After", RetryAfterSeconds});
  }
  Response.Body = json::write(Body);
  return Response;
}

RetVal<WorkerAnnouncement> parseAnnouncement(const std::string &Text) {
  BOOST_LEAF_AUTO(Value, json::parse(Text));
  return readAnnouncement(Value);
}

} // namespace

AnnouncementService::AnnouncementService(IMembership &Members,
                                         ITombstones &Tombstones,
                                         IAnnouncementSink &Sink,
                                         const IClock &Clock, ITimers &Timers,
                                         IRpcClient &Client, IRpcServer &Server,
                                         IHttpServer &Callers,
                                         const MembershipSettings &Settings)
    : Members_(Members), Tombstones_(Tombstones), Sink_(Sink), Clock_(Clock),
      Timers_(Timers), Client_(Client), Settings_(Settings),
      Alive_(std::make_shared<AnnouncementService *>(this)) {
  std::weak_ptr<AnnouncementService *> Weak = Alive_;
  Callers.route("POST", AnnouncementPath,
                [Weak](const std::shared_ptr<IHttpExchange> &Exchange) {
                  if (auto Service = Weak.lock())
                    (*Service)->serve(Exchange);
                });
  Server.method(AnnounceMethod, [Weak](const Json::Value &Params,
                                       const IRpcServer::Reply &Reply) {
    if (auto Service = Weak.lock())
      (*Service)->takeCall(Params, Reply);
  });
  Members_.subscribe([Weak](const MembershipChange &) {
    if (auto Service = Weak.lock())
      (*Service)->dropUnowned();
  });
  Tombstones_.onLeft([Weak](const Tombstone &Left) {
    if (auto Service = Weak.lock())
      (*Service)->drop(Left.Worker, GoneReason::Left);
  });
  watch();
}

void AnnouncementService::serve(
    const std::shared_ptr<IHttpExchange> &Exchange) {
  Outcome<WorkerAnnouncement> Announcement =
      attempt([&] { return parseAnnouncement(Exchange->request().Body); });
  if (!Announcement)
    return Exchange->reply(httpAnswer(Announcement.error()));
  handle(*Announcement, 0, [Exchange](const Outcome<Done> &Result) {
    Exchange->reply(httpAnswer(Result));
  });
}

void AnnouncementService::takeCall(const Json::Value &Params,
                                   const IRpcServer::Reply &Reply) {
  Outcome<WorkerAnnouncement> Announcement =
      attempt([&] { return readAnnouncement(Params); });
  Outcome<std::uint64_t> Hops =
      attempt([&] { return json::readUintOr(Params, "hops", 1); });
  if (!Announcement)
    return Reply(Announcement.error());
  if (!Hops)
    return Reply(Hops.error());
  handle(*Announcement, *Hops, [Reply](const Outcome<Done> &Result) {
    if (Result)
      Reply(Json::Value(Json::objectValue));
    else
      Reply(Result.error());
  });
}

void AnnouncementService::handle(const WorkerAnnouncement &Announcement,
                                 std::uint64_t Hops, Answer Reply) {
  const WorkerId &Worker = Announcement.Worker;
  // Before anything that may fail: every entry that heard it spreads it.
  if (Announcement.State == WorkerState::Leaving)
    Tombstones_.bury({Worker, Announcement.Version});
  else if (Tombstones_.hasLeft(Worker, Announcement.Version.Incarnation))
    return Reply(Error{ErrorCode::Conflict, "this incarnation left"});
  std::optional<Peer> Owner = Members_.ownerOf(Announcement.DataCentre, Worker);
  if (!Owner)
    return Reply(Error{ErrorCode::Unavailable, "no owner is known now"});
  if (Owner->Vm == Members_.self().Vm)
    return Reply(takeHere(Announcement));
  if (Hops >= MaxHops)
    return Reply(Error{ErrorCode::Unavailable, "the owner is changing"});
  passOn(*Owner, Announcement, Hops, std::move(Reply));
}

Outcome<Done>
AnnouncementService::takeHere(const WorkerAnnouncement &Announcement) {
  switch (takeAnnouncement(Table_, Announcement, Clock_.now())) {
  case Acceptance::Taken:
    if (Announcement.State == WorkerState::Serving)
      Sink_.workerServing(Announcement);
    return Done{};
  case Acceptance::Duplicate:
    return Done{};
  case Acceptance::Stale:
    break;
  }
  if (Announcement.State == WorkerState::Leaving)
    return Done{};
  return Error{ErrorCode::Conflict, "a newer announcement is known"};
}

void AnnouncementService::passOn(const Peer &Owner,
                                 const WorkerAnnouncement &Announcement,
                                 std::uint64_t Hops, Answer Reply) {
  Json::Value Params = announcementJson(Announcement);
  Params["hops"] = Json::UInt64(Hops + 1);
  Client_.call(Owner.Address, AnnounceMethod, std::move(Params),
               Settings_.ForwardTimeout,
               [Reply = std::move(Reply)](const Outcome<Json::Value> &Result) {
                 if (Result)
                   Reply(Done{});
                 else
                   Reply(Result.error());
               });
}

bool AnnouncementService::owns(const WorkerRecord &Record) const {
  std::optional<Peer> Owner =
      Members_.ownerOf(Record.Newest.DataCentre, Record.Newest.Worker);
  return Owner && Owner->Vm == Members_.self().Vm;
}

void AnnouncementService::dropUnowned() {
  for (const WorkerId &Worker :
       servingWorkers(Table_, [this](const WorkerRecord &Record) {
         return !owns(Record);
       }))
    drop(Worker, GoneReason::NotOwner);
}

void AnnouncementService::watch() {
  std::weak_ptr<AnnouncementService *> Weak = Alive_;
  Timers_.after(WatchInterval, [Weak] {
    if (auto Service = Weak.lock())
      (*Service)->watch();
  });
  Time Now = Clock_.now();
  for (const WorkerId &Worker :
       servingWorkers(Table_, [&](const WorkerRecord &Record) {
         return Now - Record.HeardAt > Settings_.WorkerSilence;
       }))
    drop(Worker, GoneReason::Silent);
  forgetWorkers(Table_, Settings_.TombstoneLife, Now);
}

void AnnouncementService::drop(const WorkerId &Worker, GoneReason Reason) {
  if (!markGone(Table_, Worker))
    return;
  logEvent(LogLevel::Info, Module, "worker_gone",
           {{"worker", Worker}, {"reason", goneReasonName(Reason)}});
  Sink_.workerGone(Worker, Reason);
}

} // namespace geraniumbay::membership
