//===- forecast.cpp - When a job's tasks will start -----------------------===//
//
// Keeps a min-heap of the times at which slots become free.
//
//===----------------------------------------------------------------------===//

#include "scheduling/forecast.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace geraniumbay::scheduling {

namespace {

using SlotQueue =
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;

/// Assigns the slot that becomes free first to a task of \p Run and returns its
/// start time.
Duration startNext(SlotQueue &Free, Duration Run) {
  Duration At = Free.top();
  Free.pop();
  Free.push(At + Run);
  return At;
}

} // namespace

std::optional<Duration> waitForLastStart(const PoolOutlook &Pool,
                                         const JobOutlook &Job) {
  if (Pool.Free >= Job.Tasks && Pool.Ahead.empty())
    return Duration(0);
  std::vector<Duration> FreeAt(Pool.Free, Duration(0));
  FreeAt.insert(FreeAt.end(), Pool.BusyFor.begin(), Pool.BusyFor.end());
  if (FreeAt.empty() || Pool.UrgentShare >= 1)
    return std::nullopt;
  SlotQueue Free(std::greater<>(), std::move(FreeAt));
  for (Duration Run : Pool.Ahead)
    startNext(Free, Run);
  Duration Last{0};
  for (std::size_t I = 0; I < Job.Tasks; ++I)
    Last = startNext(Free, Job.Run);
  return Duration(static_cast<Duration::rep>(static_cast<double>(Last.count()) /
                                             (1 - Pool.UrgentShare)));
}

Duration remainingRunTime(Duration Expected, Duration Age) {
  constexpr int OverrunDivisor = 8;
  return std::max(Expected - Age, Expected / OverrunDivisor);
}

} // namespace geraniumbay::scheduling
