//===- admission.cpp - Which requests are accepted ------------------------===//
//
// Expected waits, refusals, and when to come back.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/admission.h"

#include "dispatch/internal/leases.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::dispatch {
namespace {

/// When to look for workers again.
constexpr Duration NoWorkersRetry = std::chrono::seconds(1);

Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

const FairQueue &queueOf(const ServiceState &Service, WorkClass Class) {
  return Service.Queues[static_cast<std::size_t>(Class)];
}

double slotsOf(const ServiceState &Service) {
  return std::max(1.0, static_cast<double>(Service.Capacity));
}

/// Sum of the weights that share the slots if \p Team waits too, over the
/// team's own weight.
double weightRatio(const PoolState &Pool, const FairQueue &Queue,
                   const TeamId &Team) {
  double Weight = teamPolicy(Pool, Team).Weight;
  auto Found = Queue.Flows.find(Team);
  bool Listed = Found != Queue.Flows.end() && Found->second.IsListed;
  double Sum = Queue.ListedWeight + (Listed ? 0 : Weight);
  return std::max(1.0, Sum / Weight);
}

/// Most slots that one team may hold.
double quotaOf(const PoolState &Pool, const ServiceState &Service,
               const TeamId &Team) {
  std::uint32_t Most = teamPolicy(Pool, Team).MaxLeases;
  double Slots = slotsOf(Service);
  return Most == 0 ? Slots : std::min(Slots, static_cast<double>(Most));
}

/// Time that all tasks take on \p Slots slots.
Duration spread(Duration TaskRun, std::uint32_t Tasks, double Slots) {
  return scaled(TaskRun, std::max(1.0, Tasks / std::max(1.0, Slots)));
}

bool neverFits(const PoolState &Pool, const ServiceState &Service,
               const PoolRequest &Request, Duration TaskRun) {
  if (Request.Tasks == 0 || Request.Tasks > Pool.Policy.MaxQueuedTasks)
    return true;
  if (Request.TimeLeft <= Duration(0))
    return false;
  double Slots = quotaOf(Pool, Service, Request.Team);
  return spread(TaskRun, Request.Tasks, Slots) > Request.TimeLeft;
}

/// When the one that is refused now should come back: after the work ahead
/// and the work that was told to come back before it.
Duration retryAfter(const PoolState &Pool, ServiceState &Service,
                    const PoolRequest &Request, Duration TaskRun,
                    Duration Excess, Time Now) {
  Time Start = std::max(Now + Excess, Service.PromisedUntil);
  Start = std::min(Start, Now + Pool.Policy.MaxRetryAfter);
  Service.PromisedUntil =
      Start + scaled(TaskRun, Request.Tasks / slotsOf(Service));
  return clampRetry(Pool.Policy, Start - Now);
}

Duration longestWait(const PoolPolicy &Policy, const PoolRequest &Request) {
  Duration Longest = Request.Class == WorkClass::Urgent ? Policy.MaxUrgentWait
                                                        : Policy.MaxRoutineWait;
  return Request.Returning ? Longest : scaled(Longest, Policy.NewcomersPart);
}

} // namespace

Duration clampRetry(const PoolPolicy &Policy, Duration Wait) {
  return std::clamp(Wait, Policy.MinRetryAfter, Policy.MaxRetryAfter);
}

Duration expectedWait(const PoolState &Pool, const ServiceState &Service,
                      const TeamId &Team, WorkClass Class) {
  const FairQueue &Queue = queueOf(Service, Class);
  Duration Ahead = std::min(Queue.Work, scaled(teamWork(Queue, Team),
                                               weightRatio(Pool, Queue, Team)));
  if (Class == WorkClass::Routine)
    Ahead += queueOf(Service, WorkClass::Urgent).Work;
  return scaled(Ahead, 1 / slotsOf(Service));
}

std::optional<Rejection> refuse(PoolState &Pool, ServiceState &Service,
                                const PoolRequest &Request, Duration TaskRun,
                                Time Now) {
  if (Pool.Draining)
    return Rejection{RejectReason::Draining, Pool.Policy.MinRetryAfter};
  if (Service.Present == 0)
    return Rejection{RejectReason::NoWorkers, NoWorkersRetry};
  if (neverFits(Pool, Service, Request, TaskRun))
    return Rejection{RejectReason::NeverFits, Duration(0)};
  Duration Wait = expectedWait(Pool, Service, Request.Team, Request.Class);
  const FairQueue &Queue = queueOf(Service, Request.Class);
  Duration Longest = longestWait(Pool.Policy, Request);
  bool Full = Queue.Tasks + Request.Tasks > Pool.Policy.MaxQueuedTasks;
  if (Wait > Longest || Full)
    return Rejection{RejectReason::Overloaded,
                     retryAfter(Pool, Service, Request, TaskRun,
                                std::max(Wait - Longest / 2, Duration(0)),
                                Now)};
  double Slots =
      std::min(quotaOf(Pool, Service, Request.Team),
               slotsOf(Service) / weightRatio(Pool, Queue, Request.Team));
  Duration End = Wait + spread(TaskRun, Request.Tasks, Slots);
  if (Request.TimeLeft > Duration(0) && End > Request.TimeLeft)
    return Rejection{RejectReason::DeadlineUnmet,
                     clampRetry(Pool.Policy, End - Request.TimeLeft)};
  return std::nullopt;
}

} // namespace geraniumbay::dispatch
