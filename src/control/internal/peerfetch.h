//===- peerfetch.h - The configuration from other processes -----*- C++ -*-===//
//
// A process that reaches no control VM asks another process of the system for
// what that one has in force, and answers such questions itself.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_PEERFETCH_H
#define GERANIUMBAY_CONTROL_INTERNAL_PEERFETCH_H

#include "control/configsourceoptions.h"
#include "control/iconfigsource.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"

namespace geraniumbay::control {

/// Asks one of \p Peers after the other, another one each time. Both outlive
/// the function that is returned.
PeerFetch fetchFrom(IRpcClient &Client,
                    std::function<std::vector<Endpoint>()> Peers);

/// Answers the question of fetchFrom() with what \p Source has in force.
void offerToPeers(IRpcServer &Server, const IConfigSource &Source);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_PEERFETCH_H
