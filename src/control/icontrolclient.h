//===- icontrolclient.h - Asking the control group --------------*- C++ -*-===//
//
// Changes and questions to the control group, sent to whichever of its VMs
// answers.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_ICONTROLCLIENT_H
#define GERANIUMBAY_CONTROL_ICONTROLCLIENT_H

#include "control/controlstatus.h"

#include <functional>

namespace geraniumbay::control {

/// Sends to one control VM after the other until one answers. Common errors:
/// Unavailable if none took it, Timeout if the outcome is unknown.
class IControlClient {
public:
  virtual ~IControlClient() = default;

  /// Changes the configuration. After Timeout, send the same operation id and
  /// base again: the first answer comes back. InvalidArgument: the document
  /// was refused.
  virtual void propose(ConfigChange Change,
                       std::function<void(Outcome<ConfigAnswer>)> Done) = 0;
  /// Changes a ledger view. After Timeout, look at the view: it tells whether
  /// the change was made.
  virtual void
  changeLedger(LedgerChange Change,
               std::function<void(Outcome<LedgerAnswer>)> Done) = 0;
  /// Removes the control VM \p Vm from the group; Refused for the leader (stop
  /// its process first). While the settings still list it, an empty folder lets
  /// it join again.
  virtual void removeMember(VmId Vm,
                            std::function<void(Outcome<Done>)> Answer) = 0;
  /// Asks for the merged report.
  virtual void status(std::function<void(Outcome<ControlStatus>)> Done) = 0;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_ICONTROLCLIENT_H
