//===- upstream.h - Sending one task to a worker ----------------*- C++ -*-===//
//
// The HTTP interface between an entry and a worker: POST /tasks/ID runs a
// task, POST /cancel/ID stops it. The worker repeats the id in its answer, so
// an answer that belongs to another task is noticed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_UPSTREAM_H
#define GERANIUMBAY_ENTRY_INTERNAL_UPSTREAM_H

#include "entry/internal/job.h"
#include "framework/net/ihttpclient.h"
#include "framework/trace/tracecontext.h"

#include <functional>
#include <unordered_map>

namespace geraniumbay::entry {

/// The id under which a worker knows a task; the same each time the same task
/// of the same submission is sent.
using WorkerTaskId = StrongId<struct WorkerTaskTag, std::string>;

/// The header with the id of the task, in requests and answers.
constexpr const char *TaskIdHeader = "x-task-id";
/// The header by which a worker's guard says that a refused task did not start.
constexpr const char *NotStartedHeader = "x-not-started";

/// What a task's call came to.
struct TaskReport {
  TaskEnd End = TaskEnd::Unknown;
  std::string Text;
};

/// Reads the outcome of the call that sent task \p Id.
TaskReport readTaskOutcome(const WorkerTaskId &Id,
                           const Outcome<HttpResponse> &Answer);

/// Sends tasks to workers.
class Upstream {
public:
  using RunCallback = std::function<void(TaskReport)>;
  using StopCallback = std::function<void()>;

  explicit Upstream(IHttpClient &Http) : Http_(Http) {}

  /// Runs task \p Id at \p Worker; \p Done is called once unless stop() is.
  void run(const WorkerTaskId &Id, const Endpoint &Worker,
           const std::string &Payload, const std::string &TraceParent,
           Duration Timeout, RunCallback Done);
  /// Gives up a running task and asks the worker to stop it. \p Done is called
  /// when the worker confirmed it or cannot be reached.
  void stop(const WorkerTaskId &Id, const Endpoint &Worker, StopCallback Done);

private:
  IHttpClient &Http_;
  std::unordered_map<WorkerTaskId, HttpCallId> Running_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_UPSTREAM_H
