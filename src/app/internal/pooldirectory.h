//===- pooldirectory.h - Pools as the membership knows them -----*- C++ -*-===//
//
// Tells the dispatch module about pools and peers from the membership's view.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_POOLDIRECTORY_H
#define GERANIUMBAY_APP_INTERNAL_POOLDIRECTORY_H

#include "dispatch/ipooldirectory.h"
#include "membership/imembership.h"

namespace geraniumbay::app {

/// An IPoolDirectory over IMembership.
class PoolDirectory : public dispatch::IPoolDirectory {
public:
  explicit PoolDirectory(const membership::IMembership &Members)
      : Members_(Members) {}

  dispatch::EntryRef self() const override {
    return {Members_.self().Vm, Members_.incarnation()};
  }
  DataCentreId dataCentre() const override {
    return Members_.self().DataCentre;
  }
  std::vector<dispatch::PoolSummary>
  pools(const ServiceId &Service) const override;
  std::optional<Endpoint> peerAddress(const VmId &Entry) const override;

private:
  const membership::IMembership &Members_;
};

/// Turns a pool's summary into the form that heartbeats carry.
membership::PoolSummary toHeartbeat(const dispatch::PoolSummary &Summary);

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_POOLDIRECTORY_H
