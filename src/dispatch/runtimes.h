//===- runtimes.h - Run times by service and caller -------------*- C++ -*-===//
//
// The learned run times of one process, a model for each service and caller.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_RUNTIMES_H
#define GERANIUMBAY_DISPATCH_RUNTIMES_H

#include "framework/types/strongid.h"
#include "scheduling/runtimes.h"

#include <unordered_map>

namespace geraniumbay::dispatch {

/// The models of one process.
struct RunTimes {
  std::unordered_map<ServiceId,
                     std::unordered_map<CallerId, scheduling::RunTimeModel>>
      Models;
};

/// Expected run time of a task; see scheduling::expectedRun().
Duration expectedRun(const RunTimes &Times, const ServiceId &Service,
                     const CallerId &Caller, Duration Declared,
                     Duration Unknown, Time Now);

/// Takes the run time \p Ran of a task that succeeded into its model.
void learnRun(RunTimes &Times, const ServiceId &Service, const CallerId &Caller,
              Duration Declared, Duration Ran, Time Now);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_RUNTIMES_H
