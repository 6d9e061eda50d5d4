//===- standin.cpp - A stand-in upstream ----------------------------------===//
//
// Serving of tasks, with the faults of the settings.
//
//===----------------------------------------------------------------------===//

#include "standin/standin.h"
#include "framework/json/json.h"
#include "standin/internal/taskrules.h"

#include <algorithm>
#include <utility>

namespace geraniumbay::standin {

namespace {

constexpr const char *TasksPath = "/tasks/";
constexpr const char *CancelPath = "/cancel/";
constexpr const char *TaskIdHeader = "X-Task-Id";
constexpr const char *NotStartedHeader = "X-Not-Started";
constexpr int StatusConflict = 409;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;

StandInTaskId taskOf(const IHttpExchange &Asked, const char *Path) {
  return StandInTaskId(
      Asked.request().Path.substr(std::string_view(Path).size()));
}

HttpResponse responseOf(int Status, const StandInTaskId &Task,
                        std::string Body) {
  return {Status, {{TaskIdHeader, Task.value()}}, std::move(Body)};
}

/// Announces the length of the whole body and keeps half of it.
void cutShort(HttpResponse &Response) {
  Response.Headers.push_back(
      {"Content-Length", std::to_string(Response.Body.size())});
  Response.Body.resize(Response.Body.size() / 2);
}

} // namespace

StandIn::StandIn(IHttpServer &Server, IHttpClient &Client, ITimers &Timers,
                 Random Numbers, StandInSettings Settings)
    : Timers_(Timers), Numbers_(Numbers), Settings_(std::move(Settings)),
      Announcer_(Client, Timers, Settings_, [this] {
        return static_cast<std::uint32_t>(Running_.size());
      }) {
  route(Server);
}

StandIn::~StandIn() {
  for (const auto &[Start, Task] : Running_)
    Timers_.cancel(Task.End);
  for (const auto &[Start, Timer] : Late_)
    Timers_.cancel(Timer);
}

void StandIn::leave() {
  if (std::exchange(Leaving_, true))
    return;
  Announcer_.leave();
}

void StandIn::route(IHttpServer &Server) {
  Server.route("POST", TasksPath,
               [this](const Exchange &Asked) { run(Asked); });
  Server.route("POST", CancelPath,
               [this](const Exchange &Asked) { cancel(Asked); });
  Server.route("GET", "/starts",
               [this](const Exchange &Asked) { Asked->reply(listStarts()); });
  Server.route("POST", "/leave", [this](const Exchange &Asked) {
    leave();
    Asked->reply({});
  });
}

void StandIn::run(const Exchange &Asked) {
  StandInTaskId Task = taskOf(*Asked, TasksPath);
  if (refuses()) {
    HttpResponse Refusal = responseOf(StatusUnavailable, Task, "");
    Refusal.Headers.push_back({NotStartedHeader, "1"});
    return Asked->reply(std::move(Refusal));
  }
  begin(Task, Asked);
}

bool StandIn::refuses() const {
  return Leaving_ || Settings_.Faults.RefuseAll ||
         (Settings_.Guard && Running_.size() >= Settings_.Offer.Slots);
}

void StandIn::begin(const StandInTaskId &Task, const Exchange &Asked) {
  const std::string &Payload = Asked->request().Body;
  StartId Start(++StartCount_);
  ++Starts_[Task];
  if (StartCount_ == Settings_.Faults.LeaveAfter)
    leave();
  if (Settings_.Faults.FailAll)
    return Asked->reply(responseOf(StatusFailed, Task, "failed"));
  TimerId End =
      Timers_.after(drawRunTime(Payload), [this, Start] { finish(Start); });
  Running_[Start] = {Task, Asked, End};
}

Duration StandIn::drawRunTime(const std::string &Payload) {
  Duration RunTime =
      runTimeIn(Payload).value_or(standin::drawRunTime(Settings_, Numbers_));
  std::uint64_t OneIn = Settings_.Faults.StraggleOneIn;
  if (OneIn > 0 && Numbers_.below(OneIn) == 0)
    RunTime *= Settings_.Faults.StraggleFactor;
  return RunTime;
}

void StandIn::finish(StartId Start) {
  auto Ended = Running_.extract(Start);
  RunningTask Task = std::move(Ended.mapped());
  if (Settings_.Faults.NeverAnswer)
    return Unanswered_.push_back(std::move(Task.Asked));
  if (Settings_.Faults.AnswerLate == Duration(0))
    return answer(Task.Task, Task.Asked);
  Late_[Start] =
      Timers_.after(Settings_.Faults.AnswerLate, [this, Start, Task] {
        Late_.erase(Start);
        answer(Task.Task, Task.Asked);
      });
}

void StandIn::answer(const StandInTaskId &Task, const Exchange &Asked) {
  HttpResponse Response =
      responseOf(200, Task, resultOf(Asked->request().Body));
  if (Settings_.Faults.WrongTaskId)
    Response = responseOf(200, LastTask_, resultOf(LastPayload_));
  LastTask_ = Task;
  LastPayload_ = Asked->request().Body;
  if (Settings_.Faults.CutShort)
    cutShort(Response);
  Asked->reply(std::move(Response));
}

void StandIn::cancel(const Exchange &Asked) {
  StandInTaskId Task = taskOf(*Asked, CancelPath);
  std::vector<Exchange> Cancelled;
  std::erase_if(Running_, [&](const auto &Item) {
    if (Settings_.Faults.IgnoreCancel || Item.second.Task != Task)
      return false;
    Timers_.cancel(Item.second.End);
    Cancelled.push_back(Item.second.Asked);
    return true;
  });
  for (const Exchange &Each : Cancelled)
    Each->reply(responseOf(StatusConflict, Task, "cancelled"));
  Asked->reply(responseOf(200, Task, ""));
}

HttpResponse StandIn::listStarts() const {
  Json::Value Counts(Json::objectValue);
  for (const auto &[Task, Count] : Starts_)
    Counts[Task.value()] = Json::UInt64(Count);
  return {200, {{"Content-Type", "application/json"}}, json::write(Counts)};
}

} // namespace geraniumbay::standin
