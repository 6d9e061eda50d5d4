//===- evacuationwire.h - Evacuations as JSON -------------------*- C++ -*-===//
//
// The forms of orders and of the recorded state in the log, in snapshots and in
// messages between processes.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_EVACUATIONWIRE_H
#define GERANIUMBAY_JOBS_INTERNAL_EVACUATIONWIRE_H

#include "framework/json/json.h"
#include "jobs/evacuations.h"

namespace geraniumbay::jobs::wire {

Json::Value write(const EvacuationOrder &Value);
RetVal<EvacuationOrder> readEvacuationOrder(const Json::Value &From);

Json::Value write(const Evacuations &Value);
RetVal<Evacuations> readEvacuations(const Json::Value &From);

} // namespace geraniumbay::jobs::wire

#endif // GERANIUMBAY_JOBS_INTERNAL_EVACUATIONWIRE_H
