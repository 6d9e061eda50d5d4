//===- report.h - What one entry says of itself -----------------*- C++ -*-===//
//
// The part of a heartbeat that describes an entry. Its sender describes
// itself; in large systems it also relays what others said.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_REPORT_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_REPORT_H

#include "membership/poolsummary.h"
#include "membership/revision.h"

namespace geraniumbay::membership {

/// What an entry said of itself. That it is relayed is no sign of life.
struct EntryReport {
  VmId Vm;
  Revision Version;
  bool Draining = false;
  /// The configuration that is in force at the entry.
  ConfigVersion InForce;
  std::vector<PoolSummary> Pools;

  bool operator==(const EntryReport &) const = default;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_REPORT_H
