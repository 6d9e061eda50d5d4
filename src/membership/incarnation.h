//===- incarnation.h - The incarnation of this start ------------*- C++ -*-===//
//
// Chooses the number that tells this start of a process from earlier ones.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INCARNATION_H
#define GERANIUMBAY_MEMBERSHIP_INCARNATION_H

#include "framework/clock/iclock.h"
#include "framework/errors/error.h"
#include "framework/random/random.h"
#include "framework/storage/istorage.h"
#include "framework/types/strongid.h"

namespace geraniumbay::membership {

/// An incarnation from the wall clock: milliseconds, then ten random bits.
///
/// It is enough where there is no disk, since two starts of one VM are more
/// than a millisecond apart, and the random bits part even two that are not.
/// If the wall clock jumped back, the new start may be lower than the old one.
/// Peers then refuse its first heartbeats and name the incarnation they know,
/// and the service raises its own above it before it is first trusted (see
/// IMembership::incarnation()). When no peer remembers the old start, no peer
/// can mistake its messages for those of the new one either.
Incarnation wallIncarnation(const IClock &Clock, Random &Numbers);

/// An incarnation above every earlier one of \p Storage, written durably
/// before it is returned; also at least wallIncarnation(), so that a VM that
/// lost its disk goes on upwards. Fails with Io or Corrupt.
RetVal<Incarnation> durableIncarnation(IStorage &Storage, const IClock &Clock,
                                       Random &Numbers);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INCARNATION_H
