//===- acknowledge.h - Answers that carry no value --------------*- C++ -*-===//
//
// Adapters between the job service's acknowledgements and RPC replies.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ACKNOWLEDGE_H
#define GERANIUMBAY_JOBS_INTERNAL_ACKNOWLEDGE_H

#include "framework/rpc/irpcserver.h"
#include "jobs/ijobcontrol.h"

namespace geraniumbay::jobs {

/// Returns an acknowledgement callback that sends the RPC reply.
inline IJobControl::Acknowledge acknowledgeBy(const IRpcServer::Reply &Answer) {
  return [Answer](const Outcome<Done> &Result) {
    if (Result)
      return Answer(Json::Value(Json::objectValue));
    Answer(Result.error());
  };
}

/// Returns an RPC callback that passes success or error on and drops the
/// reply's value.
inline std::function<void(Outcome<Json::Value>)>
withoutValue(const IJobControl::Acknowledge &Acknowledged) {
  return [Acknowledged](const Outcome<Json::Value> &Result) {
    if (Result)
      return Acknowledged(Done{});
    Acknowledged(Result.error());
  };
}

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_ACKNOWLEDGE_H
