//===- revision.h - The order of what one sender says -----------*- C++ -*-===//
//
// Every process and worker numbers what it says about itself. The incarnation
// counts its starts, the sequence counts its messages within one start.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_REVISION_H
#define GERANIUMBAY_MEMBERSHIP_REVISION_H

#include "framework/types/strongid.h"

#include <compare>
#include <cstdint>

namespace geraniumbay::membership {

/// Orders the messages of one sender: the incarnation first, then the
/// sequence.
struct Revision {
  geraniumbay::Incarnation Incarnation;
  std::uint64_t Sequence = 0;

  auto operator<=>(const Revision &) const = default; // NOLINT
  bool operator==(const Revision &) const = default;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_REVISION_H
