//===- jobcontrol.cpp - Requests of workers and operators -----------------===//
//
// Announcements and the routing document, forwarded to the leader.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/acknowledge.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/rendezvous.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// Workers and operators turn to another control VM after a second.
constexpr Duration ForwardTimeout = std::chrono::milliseconds(900);
/// Workers are not redirected to a follower that has not answered for this
/// long.
constexpr Duration MemberTimeout = std::chrono::seconds(2);
/// How often a change is proposed again after another operator's change was
/// committed first.
constexpr int MaxTries = 8;

} // namespace

void JobService::forwardToLeader(
    const char *Method, Json::Value Params, bool Forwarded,
    std::function<void(Outcome<Json::Value>)> Done) {
  auto Leader = Deps_.Log.leaderAddress();
  if (Forwarded || !Leader || Term_)
    return Done(Error{ErrorCode::Unavailable, "there is no leader now"});
  Deps_.Client.call(*Leader, Method, std::move(Params), ForwardTimeout,
                    std::move(Done));
}

void JobService::announceWorker(const WorkerInfo &Info, Acknowledge Done) {
  if (serves()) {
    std::uint64_t Before = Directory_.Changes;
    announce(Directory_, Info, Deps_.Clock.now());
    if (Scheduler_ && Directory_.Changes != Before)
      Scheduler_->applyWorkers(Directory_);
    return Done(geraniumbay::Done{});
  }
  followLeader(Relay_, Deps_.Log.leaderAddress());
  if (Relay_.Leader && !isNewToLeader(Relay_, Info)) {
    announce(Directory_, Info, Deps_.Clock.now());
    Relay_.HeardWorkers.insert(Info.Worker);
    return Done(geraniumbay::Done{});
  }
  PendingAnnouncements_.push_back({Info, std::move(Done)});
  forwardAnnouncements();
}

void JobService::handleAnnouncements(const Json::Value &Params,
                                     const Reply &Answer) {
  if (!serves())
    return Answer(Error{ErrorCode::Unavailable, "not the leader"});
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  for (const Json::Value &Each : *Workers) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      return Answer(Info.error());
    announce(Directory_, *Info, Deps_.Clock.now());
  }
  if (Scheduler_)
    Scheduler_->applyWorkers(Directory_);
  Answer(Json::Value(Json::objectValue));
}

void JobService::forwardAnnouncements() {
  if (AnnouncementsInFlight_ || PendingAnnouncements_.empty())
    return;
  AnnouncementsInFlight_ = true;
  std::vector<PendingAnnouncement> All =
      std::exchange(PendingAnnouncements_, {});
  Json::Value Params(Json::objectValue);
  for (const PendingAnnouncement &Each : All)
    Params["workers"].append(write(Each.Info));
  forwardToLeader(wire::method::Announce, std::move(Params), false,
                  [this, All = std::move(All),
                   Leader = Relay_.Leader](const Outcome<Json::Value> &Result) {
                    AnnouncementsInFlight_ = false;
                    for (const PendingAnnouncement &Each : All) {
                      if (!Result) {
                        Each.Done(Result.error());
                        continue;
                      }
                      announce(Directory_, Each.Info, Deps_.Clock.now());
                      if (Leader == Relay_.Leader)
                        markKnown(Relay_, Each.Info);
                      Each.Done(geraniumbay::Done{});
                    }
                    forwardAnnouncements();
                  });
}

std::optional<Endpoint> JobService::announceAt(const WorkerId &Worker) const {
  if (!serves())
    return std::nullopt;
  std::vector<Endpoint> Answering;
  for (const auto &[Member, State] : Shared_)
    if (State.AnsweredAt &&
        Deps_.Clock.now() - *State.AnsweredAt < MemberTimeout)
      Answering.push_back(Member);
  return chooseByHash(Answering, [&](const Endpoint &Member) {
    return Member.text() + Worker.value();
  });
}

void JobService::reportHeardWorkers() {
  Deps_.Timers.after(HeardReportInterval, [this] { reportHeardWorkers(); });
  followLeader(Relay_, Deps_.Log.leaderAddress());
  if (Relay_.HeardWorkers.empty())
    return;
  Json::Value Params(Json::objectValue);
  for (const WorkerId &Each : std::exchange(Relay_.HeardWorkers, {}))
    Params["workers"].append(Each.value());
  forwardToLeader(wire::method::Heard, std::move(Params), false,
                  [this](const Outcome<Json::Value> &Result) {
                    // Workers in a lost report announce themselves again soon.
                    if (!Result || !(*Result)["unknown"].isArray())
                      return;
                    for (const Json::Value &Each : (*Result)["unknown"])
                      if (Each.isString())
                        markUnknown(Relay_, WorkerId(Each.asString()));
                  });
}

void JobService::handleHeardWorkers(const Json::Value &Params,
                                    const Reply &Answer) {
  if (!serves())
    return Answer(Error{ErrorCode::Unavailable, "not the leader"});
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  Json::Value Result(Json::objectValue);
  std::set<WorkerId> HeardWorkers;
  for (const Json::Value &Each : *Workers) {
    if (!Each.isString())
      continue;
    WorkerId Id(Each.asString());
    if (Directory_.Workers.count(Id) == 0)
      Result["unknown"].append(Each);
    HeardWorkers.insert(std::move(Id));
  }
  confirmWorkers(Directory_, HeardWorkers, Deps_.Clock.now());
  Answer(std::move(Result));
}

void JobService::workerLeaves(const WorkerId &Worker, Acknowledge Done) {
  handleLeave(Worker, false, Done);
}

void JobService::handleLeave(const WorkerId &Worker, bool Forwarded,
                             const Acknowledge &Done) {
  if (!recordLeave(Directory_, Worker))
    logEvent(LogLevel::Info, Module, "leave_outdated", {{"worker", Worker}});
  if (serves()) {
    if (Scheduler_)
      Scheduler_->applyWorkers(Directory_);
    return Done(geraniumbay::Done{});
  }
  Json::Value Params(Json::objectValue);
  Params["worker"] = Worker.value();
  forwardToLeader(wire::method::Leave, std::move(Params), Forwarded,
                  withoutValue(Done));
}

void JobService::putRouting(const std::string &Document, Acknowledge Done) {
  handleRouting(Document, false, Done);
}

void JobService::handleRouting(const std::string &Document, bool Forwarded,
                               const Acknowledge &Done) {
  auto Read = attempt([&] { return Reader_(Document); });
  if (!Read) {
    logEvent(LogLevel::Warning, Module, "routing_refused",
             {{"reason", Read.error().Message}});
    return Done(Read.error());
  }
  if (serves())
    return proposeRouting(Document, Read->Version, MaxTries, Done);
  Json::Value Params(Json::objectValue);
  Params["document"] = Document;
  forwardToLeader(wire::method::PutRouting, std::move(Params), Forwarded,
                  withoutValue(Done));
}

void JobService::proposeRouting(const std::string &Document,
                                DocumentVersion Version, int Tries,
                                const Acknowledge &Done) {
  handleLogChange();
  if (Version <= Routing_.Version)
    return Done(geraniumbay::Done{});
  control::ConfigChange Change;
  ConfigVersion Base = Deps_.Log.configuration().Version;
  Change.Operation = control::OperationId(
      "document-" + std::to_string(Version.value()) + "-on-" +
      std::to_string(Base.value()) + "-try-" + std::to_string(Tries) + "-at-" +
      std::to_string(Deps_.Clock.now().time_since_epoch().count()));
  Change.Base = Base;
  Change.Document = Document;
  Deps_.Log.change(std::move(Change), [this, Document, Version, Tries, Done](
                                          const Outcome<control::ConfigAnswer>
                                              &Answer) {
    if (!Answer)
      return Done(Answer.error());
    if (!Answer->Failure) {
      logEvent(
          LogLevel::Info, Module, "routing_accepted",
          {{"document", Version.value()}, {"configuration", Answer->Version}});
      return Done(geraniumbay::Done{});
    }
    if (*Answer->Failure != ErrorCode::Conflict || Tries == 0)
      return Done(Error{ErrorCode::Unavailable, "another change was first"});
    proposeRouting(Document, Version, Tries - 1, Done);
  });
}

void JobService::getRouting(std::function<void(Outcome<std::string>)> Done) {
  if (serves())
    return Done(Deps_.Log.configuration().Document);
  forwardToLeader(
      wire::method::GetRouting, Json::Value(Json::objectValue), false,
      [Done = std::move(Done)](const Outcome<Json::Value> &Result) {
        if (!Result)
          return Done(Result.error());
        auto Document =
            attempt([&] { return json::readString(*Result, "document"); });
        if (!Document)
          return Done(Document.error());
        Done(*Document);
      });
}

} // namespace geraniumbay::jobs
