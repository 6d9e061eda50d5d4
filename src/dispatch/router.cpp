//===- router.cpp - Which pools a request is sent to ----------------------===//
//
// Each pool is a queue that starts the next task after some cost; tasks go
// one by one, or for large jobs some at a time, to the lowest cost.
//
//===----------------------------------------------------------------------===//

#include "dispatch/router.h"

#include <algorithm>

namespace geraniumbay::dispatch {
namespace {

/// A job is split into at most so many steps.
constexpr std::uint32_t MaxSteps = 32;

/// What the router knows of one pool while it splits one request.
struct Candidate {
  const PoolSummary *Pool = nullptr;
  /// Free slots, less those that were used since the summary; below 0 if more
  /// was sent than was free.
  double Free = 0;
  /// Tasks ahead in the queue.
  double Ahead = 0;
  /// Seconds added because the pool is remote.
  double Penalty = 0;
  std::uint32_t Given = 0;
};

double seconds(Duration Value) {
  constexpr double MicrosPerSecond = 1e6;
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

Candidate candidate(const RoutePolicy &Policy, const PoolRequest &Request,
                    const DataCentreId &Local, const PoolSummary &Pool,
                    const SentTasks &Sent) {
  Candidate Result;
  Result.Pool = &Pool;
  bool Remote = Pool.DataCentre != Local;
  Result.Penalty = Remote ? seconds(Policy.RemotePenalty) : 0;
  Result.Free = Pool.Free;
  Result.Ahead = Pool.UrgentQueued;
  if (Request.Class == WorkClass::Routine)
    Result.Ahead += Pool.RoutineQueued;
  auto Found = Sent.find(Pool.Owner);
  if (Found != Sent.end())
    Result.Free -= Found->second;
  if (Remote && Result.Free > 0)
    Result.Free =
        std::max(0.0, Result.Free - Policy.RemoteReserve * Pool.Slots);
  return Result;
}

/// Seconds until the pool would start \p More further tasks.
double startCost(const Candidate &Of, std::uint32_t More) {
  double Queued = Of.Ahead + Of.Given + More - Of.Free;
  double Wait =
      Queued <= 0 ? 0 : Queued / std::max(Of.Pool->DrainPerSecond, 0.001);
  return Wait + Of.Penalty;
}

std::vector<RoutePart> partsOf(const std::vector<Candidate> &Candidates) {
  std::vector<RoutePart> Parts;
  for (const Candidate &Each : Candidates)
    if (Each.Given > 0)
      Parts.push_back({Each.Pool->Owner, Each.Pool->Address, Each.Given});
  return Parts;
}

} // namespace

std::vector<RoutePart> route(const RoutePolicy &Policy,
                             const PoolRequest &Request,
                             const DataCentreId &Local,
                             const std::vector<PoolSummary> &Pools,
                             const SentTasks &Sent) {
  std::vector<Candidate> Candidates;
  for (const PoolSummary &Pool : Pools)
    if (Pool.Slots > 0)
      Candidates.push_back(candidate(Policy, Request, Local, Pool, Sent));
  if (Candidates.empty())
    return {};
  std::uint32_t Step = std::max(1U, Request.Tasks / MaxSteps);
  for (std::uint32_t Left = Request.Tasks; Left > 0;) {
    std::uint32_t Now = std::min(Step, Left);
    auto Best = std::min_element(Candidates.begin(), Candidates.end(),
                                 [Now](const auto &A, const auto &B) {
                                   return startCost(A, Now) < startCost(B, Now);
                                 });
    Best->Given += Now;
    Left -= Now;
  }
  return partsOf(Candidates);
}

} // namespace geraniumbay::dispatch
