//===- units.h - Strong types for configured quantities ---------*- C++ -*-===//
//
// The units of the quantities that operators configure. Durations use the
// framework's Duration.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_UNITS_H
#define GERANIUMBAY_INVENTORY_UNITS_H

#include "framework/types/strongid.h"

#include <cstdint>

namespace geraniumbay::inventory {

/// A size in bytes.
using ByteCount = StrongId<struct ByteCountTag, std::uint64_t>;
/// A number of processor cores.
using CoreCount = StrongId<struct CoreCountTag, std::uint32_t>;
/// A number of task slots.
using SlotCount = StrongId<struct SlotCountTag, std::uint32_t>;
/// A share in whole percent, 0 to 100.
using Percent = StrongId<struct PercentTag, std::uint32_t>;

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_UNITS_H
