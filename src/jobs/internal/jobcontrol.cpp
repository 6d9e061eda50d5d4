//===- jobcontrol.cpp - What workers and operators tell control -----------===//
//
// Announcements and the routing document, passed on to the leader.
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
/// Workers and operators ask another control VM after a second.
constexpr Duration PassOnTimeout = std::chrono::milliseconds(900);
/// A follower that has not answered for so long gets no workers.
constexpr Duration MemberSilence = std::chrono::seconds(2);
/// Another operator's change may come first this often.
constexpr int MaxTries = 8;

} // namespace

void JobService::passOn(const char *Method, Json::Value Params, bool Forwarded,
                        std::function<void(Outcome<Json::Value>)> Done) {
  auto Leader = Needs_.Log.leaderAddress();
  if (Forwarded || !Leader || Term_)
    return Done(Error{ErrorCode::Unavailable, "there is no leader now"});
  Needs_.Client.call(*Leader, Method, std::move(Params), PassOnTimeout,
                     std::move(Done));
}

void JobService::announceWorker(const WorkerInfo &Info, Acknowledge Done) {
  if (serves()) {
    std::uint64_t Before = Directory_.Changes;
    announce(Directory_, Info, Needs_.Clock.now());
    if (Scheduler_ && Directory_.Changes != Before)
      Scheduler_->applyWorkers(Directory_);
    return Done(geraniumbay::Done{});
  }
  followLeader(Relay_, Needs_.Log.leaderAddress());
  if (Relay_.Leader && !isNews(Relay_, Info)) {
    announce(Directory_, Info, Needs_.Clock.now());
    Relay_.Heard.insert(Info.Worker);
    return Done(geraniumbay::Done{});
  }
  News_.push_back({Info, std::move(Done)});
  passNewsOn();
}

void JobService::takeNews(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(Error{ErrorCode::Unavailable, "not the leader"});
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  for (const Json::Value &Each : *Workers) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      return Answer(Info.error());
    announce(Directory_, *Info, Needs_.Clock.now());
  }
  if (Scheduler_)
    Scheduler_->applyWorkers(Directory_);
  Answer(Json::Value(Json::objectValue));
}

void JobService::passNewsOn() {
  if (NewsUnderWay_ || News_.empty())
    return;
  NewsUnderWay_ = true;
  std::vector<PieceOfNews> All = std::exchange(News_, {});
  Json::Value Params(Json::objectValue);
  for (const PieceOfNews &Each : All)
    Params["workers"].append(write(Each.Info));
  passOn(wire::method::Announce, std::move(Params), false,
         [this, All = std::move(All),
          Leader = Relay_.Leader](const Outcome<Json::Value> &Result) {
           NewsUnderWay_ = false;
           for (const PieceOfNews &Each : All) {
             if (!Result) {
               Each.Done(Result.error());
               continue;
             }
             announce(Directory_, Each.Info, Needs_.Clock.now());
             if (Leader == Relay_.Leader)
               noteKnown(Relay_, Each.Info);
             Each.Done(geraniumbay::Done{});
           }
           passNewsOn();
         });
}

std::optional<Endpoint> JobService::announceAt(const WorkerId &Worker) const {
  if (!serves())
    return std::nullopt;
  std::vector<Endpoint> Answering;
  for (const auto &[Member, State] : Shared_)
    if (State.AnsweredAt &&
        Needs_.Clock.now() - *State.AnsweredAt < MemberSilence)
      Answering.push_back(Member);
  return chooseByHash(Answering, [&](const Endpoint &Member) {
    return Member.text() + Worker.value();
  });
}

void JobService::tellHeard() {
  Needs_.Timers.after(HeardInterval, [this] { tellHeard(); });
  followLeader(Relay_, Needs_.Log.leaderAddress());
  if (Relay_.Heard.empty())
    return;
  Json::Value Params(Json::objectValue);
  for (const WorkerId &Each : std::exchange(Relay_.Heard, {}))
    Params["workers"].append(Each.value());
  passOn(wire::method::Heard, std::move(Params), false,
         [this](const Outcome<Json::Value> &Result) {
           // Those whose word was lost are heard again soon.
           if (!Result || !(*Result)["unknown"].isArray())
             return;
           for (const Json::Value &Each : (*Result)["unknown"])
             if (Each.isString())
               noteUnknown(Relay_, WorkerId(Each.asString()));
         });
}

void JobService::takeHeard(const Json::Value &Params, const Reply &Answer) {
  if (!serves())
    return Answer(Error{ErrorCode::Unavailable, "not the leader"});
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  Json::Value Result(Json::objectValue);
  std::set<WorkerId> Heard;
  for (const Json::Value &Each : *Workers) {
    if (!Each.isString())
      continue;
    WorkerId Id(Each.asString());
    if (Directory_.Workers.count(Id) == 0)
      Result["unknown"].append(Each);
    Heard.insert(std::move(Id));
  }
  confirmWorkers(Directory_, Heard, Needs_.Clock.now());
  Answer(std::move(Result));
}

void JobService::workerLeaves(const WorkerId &Worker, Acknowledge Done) {
  takeLeave(Worker, false, Done);
}

void JobService::takeLeave(const WorkerId &Worker, bool Forwarded,
                           const Acknowledge &Done) {
  leave(Directory_, Worker);
  if (serves()) {
    if (Scheduler_)
      Scheduler_->applyWorkers(Directory_);
    return Done(geraniumbay::Done{});
  }
  Json::Value Params(Json::objectValue);
  Params["worker"] = Worker.value();
  passOn(wire::method::Leave, std::move(Params), Forwarded, withoutValue(Done));
}

void JobService::putRouting(const std::string &Document, Acknowledge Done) {
  takeRouting(Document, false, Done);
}

void JobService::takeRouting(const std::string &Document, bool Forwarded,
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
  passOn(wire::method::PutRouting, std::move(Params), Forwarded,
         withoutValue(Done));
}

void JobService::proposeRouting(const std::string &Document,
                                DocumentVersion Version, int Tries,
                                const Acknowledge &Done) {
  follow();
  if (Version <= Routing_.Version)
    return Done(geraniumbay::Done{});
  control::ConfigChange Change;
  ConfigVersion Base = Needs_.Log.configuration().Version;
  Change.Operation = control::OperationId(
      "document-" + std::to_string(Version.value()) + "-on-" +
      std::to_string(Base.value()) + "-try-" + std::to_string(Tries) + "-at-" +
      std::to_string(Needs_.Clock.now().time_since_epoch().count()));
  Change.Base = Base;
  Change.Document = Document;
  Needs_.Log.change(std::move(Change), [this, Document, Version, Tries, Done](
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
    return Done(Needs_.Log.configuration().Document);
  passOn(wire::method::GetRouting, Json::Value(Json::objectValue), false,
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
