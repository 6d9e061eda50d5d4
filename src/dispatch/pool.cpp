//===- pool.cpp - The decision core of a pool -----------------------------===//
//
// The events of pool.h about requests, leases and entries.
//
//===----------------------------------------------------------------------===//

#include "dispatch/pool.h"

#include "dispatch/internal/admission.h"
#include "dispatch/internal/leases.h"
#include "dispatch/internal/requests.h"
#include "dispatch/internal/workers.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::dispatch {
namespace {

/// Requests and leases younger than this may be in a message under way.
constexpr Duration UnderWay = std::chrono::seconds(2);
/// Weight of a new sample in a service's mean run time.
constexpr double MeanRunWeight = 0.02;
constexpr double MicrosPerSecond = 1e6;

void learnFrom(PoolState &Pool, const LeaseState &State, Duration Ran,
               Time Now) {
  learnRun(Pool.Times, State.Service, State.Caller, State.Declared, Ran, Now);
  ServiceState &Service = serviceOf(Pool, State.Service);
  double Seconds = static_cast<double>(Ran.count()) / MicrosPerSecond;
  double Weight = Service.MeanRun > 0 ? MeanRunWeight : 1;
  Service.MeanRun += (Seconds - Service.MeanRun) * Weight;
}

/// Takes the run time of a task that succeeded into the worker's speed.
void learnSpeed(const PoolState &Pool, Worker &Target, const LeaseState &State,
                Duration Ran) {
  constexpr double WorkerWeight = 0.2;
  constexpr double ServiceWeight = 0.02;
  if (!Pool.Policy.SlowLast)
    return;
  auto Took = static_cast<double>(std::max(Ran, Duration(1)).count());
  auto Expected =
      static_cast<double>(std::max(State.Expected, Duration(1)).count());
  double LogFactor = std::log(Took / Expected);
  Target.LogSlowness += (LogFactor - Target.LogSlowness) * WorkerWeight;
  double &Mean = Target.Service->LogSlowness;
  Mean += (LogFactor - Mean) * ServiceWeight;
}

/// Takes the outcome into the health of the worker.
void judge(PoolState &Pool, LeaseId Id, const LeaseState &State,
           LeaseOutcome Outcome, Duration Ran, Time Now) {
  auto Found = Pool.Workers.find(State.On);
  if (Found == Pool.Workers.end() ||
      Found->second.Generation != State.Generation)
    return;
  Worker &Target = Found->second;
  if (Outcome == LeaseOutcome::Succeeded)
    learnSpeed(Pool, Target, State, Ran);
  // Leases from before the ejection say nothing that is not known.
  if (Target.Health.Ejected && !State.Probe)
    return;
  CallerFailures &Caller = Target.Service->Failures[State.Caller];
  bool IsProof =
      !Pool.Policy.ProofAfterFailure || Id.value() > Target.Health.FailedAfter;
  if (Outcome == LeaseOutcome::Succeeded && IsProof)
    noteSuccess(Target.Health, Caller, Pool.Policy, Now);
  if (Outcome == LeaseOutcome::Failed || Outcome == LeaseOutcome::Unreachable) {
    noteFailure(Target.Health, Caller, State.Caller, Target.Last.Worker,
                Pool.Policy, Now);
    if (Pool.Policy.ProofAfterFailure && Target.Health.Window == 1)
      Target.Health.FailedAfter = lastLease(Pool).value();
  }
  // The guard says that all slots are busy: believe it until the next
  // announcement.
  if (Outcome == LeaseOutcome::Refused)
    Target.Foreign = Target.Last.Slots;
}

/// Drops the waiting requests that the entry no longer knows of.
void dropForgotten(PoolState &Pool, const EntryState &State,
                   const std::unordered_set<RequestId> &Known, Time Now) {
  std::vector<RequestId> Forgotten;
  for (const RequestId &Id : State.Requests)
    if (!Known.contains(Id) && Now - Pool.Requests.at(Id).Arrived > UnderWay)
      Forgotten.push_back(Id);
  for (const RequestId &Id : Forgotten)
    dropRequest(Pool, Pool.Requests.at(Id));
}

void orphanForgotten(PoolState &Pool, const EntryState &State,
                     const std::unordered_set<LeaseId> &Held, Time Now) {
  for (LeaseId Id : State.Leases)
    if (!Held.contains(Id) && Now - Pool.Leases.at(Id).GrantedAt > UnderWay)
      makeOrphan(Pool, Id);
}

bool hasTasks(const ServiceState &Service) {
  return Service.Queues[0].Tasks + Service.Queues[1].Tasks > 0;
}

PoolSummary summaryOf(const PoolState &Pool, const ServiceState &Service) {
  PoolSummary Summary;
  Summary.Owner = Pool.Owner.Entry;
  Summary.Service = Service.Id;
  Summary.Slots = Service.Capacity;
  Summary.Free = Service.FreeSlots;
  Summary.UrgentQueued = Service.Queues[0].Tasks;
  Summary.RoutineQueued = Service.Queues[1].Tasks;
  double UnknownRun =
      static_cast<double>(Pool.Policy.UnknownRun.count()) / MicrosPerSecond;
  double MeanRun = Service.MeanRun > 0 ? Service.MeanRun : UnknownRun;
  Summary.DrainPerSecond = Service.Capacity / MeanRun;
  return Summary;
}

} // namespace

void PoolDeleter::operator()(PoolState *Pool) const { delete Pool; }

PoolHandle makePool(EntryRef Owner, PoolPolicy Policy) {
  PoolHandle Pool(new PoolState());
  Pool->Owner = std::move(Owner);
  Pool->Policy = std::move(Policy);
  return Pool;
}

void setPolicy(PoolState &Pool, PoolPolicy Policy) {
  Pool.Policy = std::move(Policy);
  for (auto &[Id, Service] : Pool.Services)
    for (FairQueue &Queue : Service.Queues)
      for (auto &[Team, Flow] : Queue.Flows)
        updateQuota(Pool, Service, Team);
}

std::optional<Rejection> acquire(PoolState &Pool, const EntryRef &From,
                                 const PoolRequest &Request, Time Now) {
  if (!touchEntry(Pool, From))
    return Rejection{RejectReason::Lost, Duration(0)};
  if (Pool.Requests.contains(Request.Id))
    return std::nullopt;
  auto Found = Pool.Services.find(Request.Service);
  if (Found == Pool.Services.end())
    return Rejection{RejectReason::NoWorkers,
                     clampRetry(Pool.Policy, std::chrono::seconds(1))};
  ServiceState &Service = Found->second;
  Duration TaskRun =
      expectedRun(Pool.Times, Request.Service, Request.Caller,
                  Request.DeclaredRun, Pool.Policy.UnknownRun, Now);
  if (auto Why = refuse(Pool, Service, Request, TaskRun, Now))
    return Why;
  addRequest(Pool, Service, From, Request, TaskRun, Now);
  return std::nullopt;
}

void cancel(PoolState &Pool, const RequestId &Request) {
  auto Found = Pool.Requests.find(Request);
  if (Found != Pool.Requests.end())
    dropRequest(Pool, Found->second);
}

void release(PoolState &Pool, LeaseId Id, LeaseOutcome Outcome, Duration Ran,
             Time Now) {
  auto Found = Pool.Leases.find(Id);
  if (Found == Pool.Leases.end())
    return;
  const LeaseState &State = Found->second;
  if (Outcome == LeaseOutcome::Succeeded)
    learnFrom(Pool, State, Ran, Now);
  judge(Pool, Id, State, Outcome, Ran, Now);
  endLease(Pool, Id);
}

RenewResult renew(PoolState &Pool, const EntryRef &From,
                  const std::vector<RequestId> &Waiting,
                  const std::vector<LeaseId> &Held, Time Now) {
  RenewResult Result;
  EntryState *State = touchEntry(Pool, From);
  if (!State) {
    Result.UnknownRequests = Waiting;
    return Result;
  }
  dropForgotten(Pool, *State, {Waiting.begin(), Waiting.end()}, Now);
  orphanForgotten(Pool, *State, {Held.begin(), Held.end()}, Now);
  for (const RequestId &Id : Waiting)
    if (!Pool.Requests.contains(Id))
      Result.UnknownRequests.push_back(Id);
  return Result;
}

void entryDied(PoolState &Pool, const VmId &Entry, Incarnation Last) {
  auto Found = Pool.Entries.find(Entry);
  if (Found == Pool.Entries.end() || Found->second.Start > Last)
    return;
  dropEntry(Pool, Found->second);
  Found->second.Start = Incarnation(Last.value() + 1);
}

void drain(PoolState &Pool) { Pool.Draining = true; }

std::optional<Time> nextWake(const PoolState &Pool) {
  std::optional<Time> Next;
  auto Consider = [&Next](Time At) {
    if (!Next || At < *Next)
      Next = At;
  };
  if (!Pool.ByHeard.empty())
    Consider(Pool.ByHeard.begin()->first + Pool.Policy.SilentAfter);
  if (!Pool.ByLatestStart.empty())
    Consider(Pool.ByLatestStart.begin()->first + Duration(1));
  if (!Pool.OrphanExpiry.empty())
    Consider(Pool.OrphanExpiry.begin()->first);
  for (const auto &[Id, Service] : Pool.Services)
    if (!Service.Probes.empty() && hasTasks(Service))
      Consider(probeTime(Pool, Service));
  return Next;
}

std::vector<PoolSummary> summaries(const PoolState &Pool) {
  std::vector<PoolSummary> All;
  for (const auto &[Id, Service] : Pool.Services)
    All.push_back(summaryOf(Pool, Service));
  return All;
}

} // namespace geraniumbay::dispatch
