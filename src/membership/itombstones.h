//===- itombstones.h - Workers that left, known everywhere ------*- C++ -*-===//
//
// The set of tombstones, which heartbeats spread to every entry.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_ITOMBSTONES_H
#define GERANIUMBAY_MEMBERSHIP_ITOMBSTONES_H

#include "membership/tombstone.h"

#include <functional>

namespace geraniumbay::membership {

/// The workers that left.
class ITombstones {
public:
  using Listener = std::function<void(const Tombstone &)>;

  virtual ~ITombstones() = default;

  /// Remembers \p Left and spreads it with the next heartbeats, which are sent
  /// at once if it was not known.
  virtual void bury(const Tombstone &Left) = 0;
  /// Whether \p Worker left in \p Incarnation or in a later one.
  virtual bool hasLeft(const WorkerId &Worker,
                       Incarnation Incarnation) const = 0;
  /// Calls \p OnLeft for each tombstone that is new to this process, from
  /// here or from a peer.
  virtual void onLeft(Listener OnLeft) = 0;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_ITOMBSTONES_H
