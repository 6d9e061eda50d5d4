//===- cluster.h - The processes of a run -----------------------*- C++ -*-===//
//
// Sets up the entries, pools and workers of a run and keeps their periodic
// messages going: announcements every second, heartbeats twice a second.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_CLUSTER_H
#define GERANIUMBAY_MODEL_INTERNAL_CLUSTER_H

#include "dispatch/internal/poolclient.h"
#include "dispatch/internal/poolservice.h"
#include "model/internal/modelentry.h"
#include "model/internal/modelnetwork.h"

namespace geraniumbay::model {

class Cluster {
public:
  explicit Cluster(World &Shared);

  ModelEntry &entry(std::size_t Index) { return *Entries_[Index]; }
  /// Takes what the workers and pools counted into the measurement.
  void finish();

private:
  void addPools();
  void addEntries();
  void announce(std::size_t Worker);
  void heartbeat(std::size_t Owner);
  void sample();
  std::uint64_t poolSlots() const;

  World &Shared_;
  ModelWorkers Workers_;
  ModelServers Servers_;
  std::vector<std::unique_ptr<ModelRpc>> Rpcs_;
  std::vector<std::unique_ptr<ModelDirectory>> Directories_;
  /// The pool of each data centre; empty without pools.
  std::vector<std::unique_ptr<dispatch::PoolService>> Pools_;
  std::unique_ptr<CentralQueue> Queue_;
  std::vector<std::unique_ptr<dispatch::IPoolClient>> Clients_;
  std::vector<std::unique_ptr<ModelEntry>> Entries_;
};

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_CLUSTER_H
