//===- controloptions.h - Settings of a control VM --------------*- C++ -*-===//
//
// What the process's settings and the other modules tell a control VM.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONTROLOPTIONS_H
#define GERANIUMBAY_CONTROL_CONTROLOPTIONS_H

#include "control/ireplicatedstate.h"
#include "framework/clock/iclock.h"
#include "framework/errors/error.h"
#include "framework/net/endpoint.h"
#include "framework/types/strongid.h"

#include <functional>
#include <vector>

namespace geraniumbay::control {

/// A control VM of the settings.
struct ControlPeer {
  VmId Vm;
  Endpoint At;
};

struct ControlOptions {
  VmId Self;
  /// All control VMs, this one included; the same on each of them.
  std::vector<ControlPeer> ControlVms;
  /// Whether this VM may help to found a group when every control VM is empty.
  /// An installation sets it; it does no harm later, because a VM that knows a
  /// group, or is silent, prevents founding.
  bool MayFound = false;
  /// Whether VMs that are not listed may join. Their name must then be the
  /// address at which they are reached ("address:port").
  bool AdmitsUnlisted = false;
  /// Where VMs may join that are not listed: voters that the group keeps even
  /// if they are silent. Three bear the loss of one disk, five of two.
  std::size_t LeastVoters = 3;
  /// How often a leader calls its followers, and how long they wait for it.
  Duration Heartbeat = std::chrono::milliseconds(500);
  Duration ElectionTimeout = std::chrono::milliseconds(2000);
  /// The log is compacted into a snapshot when it holds more than this.
  std::size_t MaxLogEntries = 256;
  std::size_t MaxLogBytes = std::size_t{4} << 20U;
  /// The module that shares the log; may be null. Outlives the service.
  IReplicatedState *Module = nullptr;
  /// The first configuration of a group that has none; may be empty.
  std::string FirstDocument;
  /// From the operating system; different at each start.
  std::uint64_t Seed = 0;
  /// Checks a new document (second) against the one in force (first).
  std::function<Ret(const std::string &, const std::string &)> Validate;
  /// Names the VMs that a document says should watch it; may be empty.
  std::function<std::vector<VmId>(const std::string &)> ExpectedVms;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_CONTROLOPTIONS_H
