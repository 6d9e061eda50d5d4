//===- scheduling.cpp - Granting slots ------------------------------------===//
//
// decide() of pool.h: rejects what cannot be served any more, sends probes to
// workers that were left out, and grants free slots in the order of classes
// and teams.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/admission.h"
#include "dispatch/internal/leases.h"
#include "dispatch/internal/requests.h"
#include "dispatch/internal/workers.h"

namespace geraniumbay::dispatch {
namespace {

/// When to look for workers again.
constexpr Duration NoWorkersRetry = std::chrono::seconds(1);

void refuseWaiting(PoolState &Pool, Waiting &Request, Rejection Why,
                   PoolActions &Actions) {
  Actions.Refusals.push_back({Request.From, Request.Request.Id, Why});
  dropRequest(Pool, Request);
}

void refuseLate(PoolState &Pool, Time Now, PoolActions &Actions) {
  while (!Pool.ByLatestStart.empty() &&
         Pool.ByLatestStart.begin()->first < Now) {
    Waiting &Request = *Pool.BySequence.at(Pool.ByLatestStart.begin()->second);
    const ServiceState &Service = Pool.Services.at(Request.Request.Service);
    Duration Wait = expectedWait(Pool, Service, Request.Request.Team,
                                 Request.Request.Class);
    refuseWaiting(Pool, Request,
                  {RejectReason::DeadlineUnmet, clampRetry(Pool.Policy, Wait)},
                  Actions);
  }
}

void refuseAll(PoolState &Pool, ServiceState &Service, Rejection Why,
               PoolActions &Actions) {
  for (FairQueue &Queue : Service.Queues)
    for (auto &[Team, Flow] : Queue.Flows)
      while (!Flow.Requests.empty())
        refuseWaiting(Pool, *Flow.Requests.begin()->second, Why, Actions);
}

/// The request whose task goes next. Urgent work goes first; while both
/// classes wait, routine work is owed its share.
Waiting *nextRequest(const PoolState &Pool, ServiceState &Service) {
  Waiting *Urgent = front(Service.Queues[0]);
  Waiting *Routine = front(Service.Queues[1]);
  if (!Urgent || !Routine)
    return Urgent ? Urgent : Routine;
  auto RoutineCost = static_cast<double>(Routine->TaskRun.count());
  if (Service.RoutineCredit >= RoutineCost) {
    Service.RoutineCredit -= RoutineCost;
    return Routine;
  }
  double Share = Pool.Policy.RoutineShare;
  Service.RoutineCredit +=
      static_cast<double>(Urgent->TaskRun.count()) * Share / (1 - Share);
  return Urgent;
}

void grantTask(PoolState &Pool, ServiceState &Service, Worker &Target,
               Waiting &Request, Time Now, PoolActions &Actions) {
  if (Request.GrantTurn != Pool.Turn) {
    Request.GrantTurn = Pool.Turn;
    Request.GrantIndex = Actions.Grants.size();
    Actions.Grants.push_back({Request.From, Request.Request.Id, {}});
  }
  Actions.Grants[Request.GrantIndex].Leases.push_back(
      makeLease(Pool, Target, Request, Now));
  takeTask(Pool, Service, Request);
}

/// The request that may probe: a repeatable one, or after a while any.
Waiting *probeRequest(const PoolState &Pool, ServiceState &Service, Time Now) {
  if (!Service.Repeatable.empty())
    return Service.Repeatable.begin()->second;
  if (Now < probeTime(Pool, Service))
    return nullptr;
  return nextRequest(Pool, Service);
}

void grantProbes(PoolState &Pool, ServiceState &Service, Time Now,
                 PoolActions &Actions) {
  while (Worker *Target = pickProbe(Service, Now)) {
    Waiting *Request = probeRequest(Pool, Service, Now);
    if (!Request)
      return;
    grantTask(Pool, Service, *Target, *Request, Now, Actions);
  }
}

void grantFree(PoolState &Pool, ServiceState &Service, Time Now,
               PoolActions &Actions) {
  while (!Service.Free.empty()) {
    Waiting *Request = nextRequest(Pool, Service);
    if (!Request)
      return;
    Worker *Target = pickWorker(Service, Request->Request.Avoid);
    grantTask(Pool, Service, *Target, *Request, Now, Actions);
  }
}

void serve(PoolState &Pool, ServiceState &Service, Time Now,
           PoolActions &Actions) {
  if (Service.Queues[0].Tasks + Service.Queues[1].Tasks == 0)
    return;
  if (Pool.Draining) {
    refuseAll(Pool, Service,
              {RejectReason::Draining, Pool.Policy.MinRetryAfter}, Actions);
    return;
  }
  if (Service.Present == 0) {
    refuseAll(Pool, Service, {RejectReason::NoWorkers, NoWorkersRetry},
              Actions);
    return;
  }
  grantProbes(Pool, Service, Now, Actions);
  grantFree(Pool, Service, Now, Actions);
}

} // namespace

PoolActions decide(PoolState &Pool, Time Now) {
  PoolActions Actions;
  ++Pool.Turn;
  expireSilent(Pool, Now);
  expireOrphans(Pool, Now);
  refuseLate(Pool, Now, Actions);
  for (auto &[Id, Service] : Pool.Services)
    serve(Pool, Service, Now, Actions);
  return Actions;
}

} // namespace geraniumbay::dispatch
