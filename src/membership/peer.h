//===- peer.h - An entry of the configured peer list ------------*- C++ -*-===//
//
// The entries that the configuration names. The list is the frame of the
// membership: an entry that is not on it is refused.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_PEER_H
#define GERANIUMBAY_MEMBERSHIP_PEER_H

#include "framework/net/endpoint.h"
#include "framework/types/strongid.h"

namespace geraniumbay::membership {

/// One configured entry and where its peer server listens.
struct Peer {
  VmId Vm;
  DataCentreId DataCentre;
  Endpoint Address;

  bool operator==(const Peer &) const = default;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_PEER_H
