//===- upstream.cpp - Sending one task to a worker ------------------------===//
//
// Tells apart what a worker's answer, or its absence, proves.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/upstream.h"

namespace geraniumbay::entry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
/// How long a worker has to confirm that it stopped a task.
constexpr Duration StopTimeout = std::chrono::seconds(2);

bool hasTaskId(const HttpResponse &Response, const WorkerTaskId &Id) {
  const std::string *Given = findHeader(Response.Headers, TaskIdHeader);
  return Given != nullptr && *Given == Id.value();
}

HttpRequest taskRequest(const char *Folder, const WorkerTaskId &Id) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = std::string(Folder) + Id.value();
  Request.Headers.push_back({TaskIdHeader, Id.value()});
  return Request;
}

} // namespace

TaskReport readTaskOutcome(const WorkerTaskId &Id,
                           const Outcome<HttpResponse> &Answer) {
  if (!Answer.ok()) {
    TaskEnd End = Answer.error().Code == ErrorCode::Refused
                      ? TaskEnd::NotStarted
                      : TaskEnd::Unknown;
    return {End, Answer.error().Message};
  }
  const HttpResponse &Response = *Answer;
  if (Response.Status == StatusUnavailable &&
      findHeader(Response.Headers, NotStartedHeader) != nullptr)
    return {TaskEnd::Refused, "refused by the worker's guard"};
  if (!hasTaskId(Response, Id))
    return {TaskEnd::Unknown, "the worker answered for another task"};
  if (Response.Status != StatusOk)
    return {TaskEnd::Failed,
            "the worker answered status " + std::to_string(Response.Status)};
  return {TaskEnd::Succeeded, Response.Body};
}

void Upstream::run(const WorkerTaskId &Id, const Endpoint &Worker,
                   const std::string &Payload, const std::string &TraceParent,
                   Duration Timeout, RunCallback Done) {
  HttpRequest Request = taskRequest("/tasks/", Id);
  if (!TraceParent.empty())
    Request.Headers.push_back({TraceParentHeader, TraceParent});
  Request.Body = Payload;
  Running_[Id] = Http_.call(
      Worker, std::move(Request), Timeout,
      [this, Id, Done = std::move(Done)](const Outcome<HttpResponse> &Answer) {
        Running_.erase(Id);
        Done(readTaskOutcome(Id, Answer));
      });
}

void Upstream::stop(const WorkerTaskId &Id, const Endpoint &Worker,
                    StopCallback Done) {
  auto Found = Running_.find(Id);
  if (Found != Running_.end()) {
    Http_.cancel(Found->second);
    Running_.erase(Found);
  }
  Http_.call(
      Worker, taskRequest("/cancel/", Id), StopTimeout,
      [Done = std::move(Done)](const Outcome<HttpResponse> &) { Done(); });
}

} // namespace geraniumbay::entry
