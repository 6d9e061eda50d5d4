//===- runtimes.cpp - Run times by service and caller ---------------------===//
//
// Finds the model of a service and caller.
//
//===----------------------------------------------------------------------===//

#include "dispatch/runtimes.h"

namespace geraniumbay::dispatch {

Duration expectedRun(const RunTimes &Times, const ServiceId &Service,
                     const CallerId &Caller, Duration Declared,
                     Duration Unknown, Time Now) {
  static const scheduling::RunTimeModel Nothing;
  auto OfService = Times.Models.find(Service);
  if (OfService == Times.Models.end())
    return scheduling::expectedRun(Nothing, Declared, Unknown, Now);
  auto Found = OfService->second.find(Caller);
  return scheduling::expectedRun(
      Found == OfService->second.end() ? Nothing : Found->second, Declared,
      Unknown, Now);
}

void learnRun(RunTimes &Times, const ServiceId &Service, const CallerId &Caller,
              Duration Declared, Duration Ran, Time Now) {
  scheduling::learnRun(Times.Models[Service][Caller], Declared, Ran, Now);
}

} // namespace geraniumbay::dispatch
