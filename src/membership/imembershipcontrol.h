//===- imembershipcontrol.h - What feeds the membership ---------*- C++ -*-===//
//
// How the process tells the membership what it should say and whom to expect.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_IMEMBERSHIPCONTROL_H
#define GERANIUMBAY_MEMBERSHIP_IMEMBERSHIPCONTROL_H

#include "membership/peer.h"
#include "membership/poolsummary.h"

#include <functional>
#include <vector>

namespace geraniumbay::membership {

/// The inputs of the membership.
class IMembershipControl {
public:
  using PoolSource = std::function<std::vector<PoolSummary>()>;

  virtual ~IMembershipControl() = default;

  /// Starts the heartbeats.
  virtual void start() = 0;
  /// Stops the heartbeats; peers see this entry dead after the dead time.
  virtual void stop() = 0;
  /// Says to all peers at once that this entry is stopping (or no longer is).
  virtual void setDraining(bool Draining) = 0;
  /// Replaces the list of entries by that of the configuration \p InForce. An
  /// entry that stays keeps its state. This entry is added if it is missing.
  virtual void setPeers(std::vector<Peer> Peers, ConfigVersion InForce) = 0;
  /// Asks \p Source for this entry's own summaries before each heartbeat.
  virtual void publishPools(PoolSource Source) = 0;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_IMEMBERSHIPCONTROL_H
