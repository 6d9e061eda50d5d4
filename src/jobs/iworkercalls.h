//===- iworkercalls.h - Orders to workers -----------------------*- C++ -*-===//
//
// How the scheduler starts and stops tasks on workers and renews the lease
// under which they run. A worker refuses orders with a lower fencing token
// than it has seen, and kills everything when its lease lapses.
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

/// A time on one worker's own steady clock, in milliseconds.
using WorkerMillis = StrongId<struct WorkerMillisTag, std::int64_t>;

/// Whom an order is for: one incarnation of a worker at an address.
struct WorkerTarget {
  WorkerId Worker;
  Endpoint At;
};

struct StartOrder {
  TaskId Task;
  RunNumber Run;
  std::string Payload;
  /// The lease of everything on the worker is extended to here; the order is
  /// refused if it arrives later.
  WorkerMillis LeaseUntil;
  FencingToken Token;
};

struct StopOrder {
  TaskId Task;
  RunNumber Run;
  FencingToken Token;
};

struct HoldOrder {
  /// Left out, the order only looks and renews nothing.
  std::optional<WorkerMillis> LeaseUntil;
  FencingToken Token;
  /// Ends up to this number are recorded; the worker may forget them.
  std::uint64_t LastSeenEnd = 0;
  /// The worker answers when a task ends, or after this time.
  Duration Wait{0};
};

/// What is known of a start after its call.
enum class StartResult {
  Started,     ///< It runs, or ran already.
  Fenced,      ///< The worker obeys a later leader.
  OutOfOrder,  ///< A run as high has been there: use a higher number.
  Late,        ///< It arrived after its lease.
  NoCapacity,  ///< The worker's admission check refused it.
  Replaced,    ///< Another incarnation of the worker answered.
  Unhealthy,   ///< The worker refuses work now.
  Invalid,     ///< The worker cannot understand the order.
  NotReceived, ///< The order certainly did not reach the worker.
  Unknown,     ///< No answer: the order may be carried out, also later.
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
  Done,   ///< Ended well.
  Failed, ///< Failed, which counts against its limit.
  Other,  ///< Was stopped or killed; does not count.
};

struct EndedTask {
  /// Counts the ends of the worker's incarnation.
  std::uint64_t Number = 0;
  TaskId Task;
  RunNumber Run;
  EndKind Kind = EndKind::Other;
};

/// What a worker had at one moment of its clock.
struct HoldAnswer {
  WorkerMillis Clock;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  /// Some of what runs could not be read, so that what is not listed may run.
  bool Partial = false;
};

/// Sends orders. Callbacks run once, never before the function returns.
class IWorkerCalls {
public:
  using StopCallback = std::function<void(std::optional<WorkerMillis>)>;

  virtual ~IWorkerCalls() = default;

  virtual void start(const WorkerTarget &To, const StartOrder &Order,
                     std::function<void(StartAnswer)> Done) = 0;
  /// What came of the run shows in a later hold. \p Done gets the worker's
  /// clock when it took the order, from when on the run cannot start any more;
  /// nothing if that is not known.
  virtual void stop(const WorkerTarget &To, const StopOrder &Order,
                    StopCallback Done) = 0;
  void stop(const WorkerTarget &To, const StopOrder &Order) {
    stop(To, Order, [](std::optional<WorkerMillis> /*At*/) {
      // It is sent again while the run is still there.
    });
  }
  /// NotFound: another incarnation answered. Conflict: a later leader has the
  /// worker. Anything else: no usable answer.
  virtual void hold(const WorkerTarget &To, const HoldOrder &Order,
                    std::function<void(Outcome<HoldAnswer>)> Done) = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IWORKERCALLS_H
