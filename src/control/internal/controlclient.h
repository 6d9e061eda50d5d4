//===- controlclient.h - Asking the control group ---------------*- C++ -*-===//
//
// Sends a request to one control VM after the other until one has an answer.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_CONTROLCLIENT_H
#define GERANIUMBAY_CONTROL_INTERNAL_CONTROLCLIENT_H

#include "control/icontrolclient.h"
#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"

namespace geraniumbay::control {

class ControlClient : public IControlClient {
public:
  ControlClient(std::vector<Endpoint> ControlVms, IRpcClient &Client,
                ITimers &Timers);

  void propose(ConfigChange Change,
               std::function<void(Outcome<ConfigAnswer>)> Done) override;
  void changeLedger(LedgerChange Change,
                    std::function<void(Outcome<LedgerAnswer>)> Done) override;
  void removeMember(VmId Vm,
                    std::function<void(Outcome<Done>)> Answer) override;
  void status(std::function<void(Outcome<ControlStatus>)> Done) override;

private:
  struct Request;

  void start(const char *Method, Json::Value Params,
             IRpcClient::Callback Answer);
  void attemptNext(const std::shared_ptr<Request> &Work);
  void answered(const std::shared_ptr<Request> &Work,
                const Outcome<Json::Value> &Result);

  std::vector<Endpoint> ControlVms_;
  IRpcClient &Client_;
  ITimers &Timers_;
  /// Which control VM is asked first: the last one that had an answer.
  std::size_t Preferred_ = 0;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_CONTROLCLIENT_H
