//===- tombstone.h - The mark of a worker that left -------------*- C++ -*-===//
//
// A worker that announced that it leaves is remembered, so that an older
// announcement that arrives late by another way does not bring it back.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_TOMBSTONE_H
#define GERANIUMBAY_MEMBERSHIP_TOMBSTONE_H

#include "membership/revision.h"

namespace geraniumbay::membership {

/// Says that \p Worker left. Leaving is final for an incarnation: only a
/// higher incarnation of the worker serves again.
struct Tombstone {
  WorkerId Worker;
  Revision LeftAt;

  bool operator==(const Tombstone &) const = default;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_TOMBSTONE_H
