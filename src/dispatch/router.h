//===- router.h - Which pools a request is sent to --------------*- C++ -*-===//
//
// Chooses among the pools of several data centres from their summaries, which
// are small and somewhat old. Work stays in its own data centre unless another
// pool would start it sooner by more than the way there costs.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_ROUTER_H
#define GERANIUMBAY_DISPATCH_ROUTER_H

#include "dispatch/types.h"

#include <unordered_map>
#include <vector>

namespace geraniumbay::dispatch {

/// Settings of the router.
struct RoutePolicy {
  /// What it costs to use another data centre: the round trips of the request
  /// and of the task, and a margin for the age of the summary.
  Duration RemotePenalty = std::chrono::milliseconds(10);
  /// Part of a remote pool's free slots that its own entries may need before
  /// the summary is renewed.
  double RemoteReserve = 0.1;
  /// How long a load that came with another message is used in place of the
  /// heartbeat's; zero for never.
  Duration ReportLife = std::chrono::milliseconds(500);
};

/// Part of a request that one pool gets.
struct RoutePart {
  VmId Owner;
  Endpoint Address;
  std::uint32_t Tasks = 0;

  bool operator==(const RoutePart &) const = default;
};

/// Tasks that this entry has sent to each owner since its last summary.
using SentTasks = std::unordered_map<VmId, std::uint32_t>;

/// Splits \p Request among \p Pools. A single goes to one pool; a job is
/// spread so that its last task starts early. Empty if there are no pools.
std::vector<RoutePart> route(const RoutePolicy &Policy,
                             const PoolRequest &Request,
                             const DataCentreId &Local,
                             const std::vector<PoolSummary> &Pools,
                             const SentTasks &Sent);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_ROUTER_H
