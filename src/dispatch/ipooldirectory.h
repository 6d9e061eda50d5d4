//===- ipooldirectory.h - Which pools there are -----------------*- C++ -*-===//
//
// What dispatch needs to know of the other entries. The membership of entries
// answers it from the last heartbeats.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_IPOOLDIRECTORY_H
#define GERANIUMBAY_DISPATCH_IPOOLDIRECTORY_H

#include "dispatch/types.h"

#include <optional>
#include <vector>

namespace geraniumbay::dispatch {

/// Tells the pools and peers known from heartbeats.
class IPoolDirectory {
public:
  virtual ~IPoolDirectory() = default;

  /// This process and its incarnation.
  virtual EntryRef self() const = 0;

  /// The data centre of this process.
  virtual DataCentreId dataCentre() const = 0;

  /// The last known summaries of the pools of \p Service whose owners are
  /// alive; the local process's own pool is among them.
  virtual std::vector<PoolSummary> pools(const ServiceId &Service) const = 0;

  /// Where \p Entry listens for peers, or nothing if it is unknown.
  virtual std::optional<Endpoint> peerAddress(const VmId &Entry) const = 0;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_IPOOLDIRECTORY_H
