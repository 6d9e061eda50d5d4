//===- controloptions.h - Settings of a control VM --------------*- C++ -*-===//
//
// What the process's settings and the other modules tell a control VM.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONTROLOPTIONS_H
#define GERANIUMBAY_CONTROL_CONTROLOPTIONS_H

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
