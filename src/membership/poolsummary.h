//===- poolsummary.h - What a pool says about itself ------------*- C++ -*-===//
//
// The load of one service's pool at its owner. Membership carries it in
// heartbeats and does not look into it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_POOLSUMMARY_H
#define GERANIUMBAY_MEMBERSHIP_POOLSUMMARY_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

#include <cstdint>
#include <vector>

namespace geraniumbay::membership {

/// The load of one service at one owner.
struct PoolSummary {
  ServiceId Service;
  /// Slots that are free and may be granted now.
  std::uint32_t FreeSlots = 0;
  /// Tasks that hold a slot.
  std::uint32_t Running = 0;
  /// Tasks that the pool finishes in a second.
  std::uint32_t DrainPerSecond = 0;
  /// Tasks that wait, by class; the most urgent class is first.
  std::vector<std::uint32_t> QueuedByClass;

  bool operator==(const PoolSummary &) const = default;
};

/// A summary as this process knows it.
struct PoolReport {
  VmId Owner;
  PoolSummary Summary;
  /// The owner said it at most so long ago.
  Duration Age{0};
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_POOLSUMMARY_H
