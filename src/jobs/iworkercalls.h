//===- iworkercalls.h - Orders to workers -----------------------*- C++ -*-===//
//
// How the scheduler starts and stops tasks on workers and renews the lease
// under which they run. A worker refuses orders with a lower fencing token than
// the highest it has seen, and kills all its tasks when its lease expires.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_IWORKERCALLS_H
#define GERANIUMBAY_JOBS_IWORKERCALLS_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "jobs/jobtypes.h"

#include <functional>
#include <optional>

namespace geraniumbay::jobs {

/// When a worker's process started, in Unix milliseconds by its own clock; 0 if
/// the deployment's workers do not report it.
using WorkerStart = StrongId<struct WorkerStartTag, std::int64_t>;

/// One process of a worker. Without a start time the id alone identifies it.
struct WorkerIncarnation {
  WorkerId Worker;
  WorkerStart StartedAt;

  auto operator<=>(const WorkerIncarnation &) const = default; // NOLINT
  bool operator==(const WorkerIncarnation &) const = default;
};

/// A time on one worker's own steady clock, in milliseconds.
using WorkerMillis = StrongId<struct WorkerMillisTag, std::int64_t>;

/// Addressee of an order: one incarnation of a worker at an address.
struct WorkerTarget {
  WorkerId Worker;
  Endpoint At;
};

struct StartOrder {
  TaskId Task;
  RunNumber Run;
  std::string Payload;
  /// The lease of all tasks on the worker is extended to this time; the order
  /// is refused if it arrives later.
  WorkerMillis LeaseUntil;
  FencingToken Token;
};

struct StopOrder {
  TaskId Task;
  RunNumber Run;
  FencingToken Token;
};

struct HoldOrder {
  /// If empty, the hold queries the worker without renewing its lease.
  std::optional<WorkerMillis> LeaseUntil;
  FencingToken Token;
  /// Ends up to this number are recorded; the worker may discard them.
  std::uint64_t LastSeenEnd = 0;
  /// The worker answers when a task ends, or after this time at the latest.
  Duration Wait{0};
};

/// Outcome of a start order.
enum class StartResult {
  Started,     ///< It runs, or has run already.
  Fenced,      ///< The worker accepted a higher fencing token.
  OutOfOrder,  ///< The run number is not above the last one.
  Late,        ///< It arrived after its lease had expired.
  NoCapacity,  ///< The worker's admission check refused it.
  Replaced,    ///< Another incarnation of the worker answered.
  Unhealthy,   ///< The worker temporarily refuses work.
  Invalid,     ///< The worker cannot understand the order.
  NotReceived, ///< The order certainly did not reach the worker.
  Unknown,     ///< No answer: it may be carried out, even later.
};

/// Stable name of \p Result for logs.
const char *startResultName(StartResult Result);

struct StartAnswer {
  StartResult Result = StartResult::Unknown;
  /// The worker's clock when it answered, if it did.
  std::optional<WorkerMillis> Clock;
};

struct RunningTask {
  TaskId Task;
  RunNumber Run;
};

enum class EndKind {
  Done,   ///< Succeeded.
  Failed, ///< Failed; counts towards the failure limit.
  Other,  ///< Stopped or killed; does not count as a failure.
};

struct EndedTask {
  /// Sequence number of the end within the worker's incarnation.
  std::uint64_t Number = 0;
  TaskId Task;
  RunNumber Run;
  EndKind Kind = EndKind::Other;
};

/// State of a worker at one moment of its clock.
struct HoldAnswer {
  WorkerMillis Clock;
  /// The start of the process that answered.
  WorkerStart StartedAt;
  std::vector<RunningTask> Running;
  /// Ends that were not acknowledged, by rising numbers from the lowest on.
  /// The worker may leave out any number of the highest, but not all.
  std::vector<EndedTask> Ended;
  /// A list is missing, or some of the running tasks could not be read: tasks
  /// that are not listed may run or have ended.
  bool Partial = false;
};

/// Sends orders to workers. Callbacks run exactly once, never before the call
/// returns.
class IWorkerCalls {
public:
  using StopCallback = std::function<void(std::optional<WorkerMillis>)>;

  virtual ~IWorkerCalls() = default;

  virtual void start(const WorkerTarget &To, const StartOrder &Order,
                     std::function<void(StartAnswer)> Done) = 0;
  /// The result shows in a later hold answer. \p Done gets the worker's clock
  /// at the time it accepted the order, after which the run cannot start any
  /// more; empty if unknown.
  virtual void stop(const WorkerTarget &To, const StopOrder &Order,
                    StopCallback Done) = 0;
  void stop(const WorkerTarget &To, const StopOrder &Order) {
    stop(To, Order, [](std::optional<WorkerMillis> /*At*/) {
      // Repeated by the scheduler while the run is still listed.
    });
  }
  /// NotFound: another incarnation answered. Conflict: the worker accepted a
  /// higher fencing token. Any other error: no usable answer.
  virtual void hold(const WorkerTarget &To, const HoldOrder &Order,
                    std::function<void(Outcome<HoldAnswer>)> Done) = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IWORKERCALLS_H
