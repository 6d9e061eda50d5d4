//===- configsourceoptions.h - Settings of a config source ------*- C++ -*-===//
//
// Who asks for the configuration, and whom.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONFIGSOURCEOPTIONS_H
#define GERANIUMBAY_CONTROL_CONFIGSOURCEOPTIONS_H

#include "control/configtypes.h"
#include "control/controlstatus.h"
#include "framework/net/endpoint.h"

#include <functional>

namespace geraniumbay::control {

/// Asks another process of the system for what it has in force, if that is
/// newer than the given version, and calls back once.
using PeerFetch = std::function<void(
    ConfigVersion, std::function<void(Outcome<ConfigSnapshot>)>)>;

struct ConfigSourceOptions {
  /// This process. The Process of a ledger holds the word "ledger".
  Watcher Self;
  Incarnation Start;
  /// The control VMs.
  std::vector<Endpoint> ControlVms;
  /// Asks a peer when no control VM answers; made from Peers if it is empty.
  PeerFetch FromPeer;
  /// Other processes that may be asked for what they have; may be empty.
  std::function<std::vector<Endpoint>()> Peers;
  Duration Interval = std::chrono::seconds(1);
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_CONFIGSOURCEOPTIONS_H
