//===- acknowledge.h - Answers that carry no value --------------*- C++ -*-===//
//
// Between the acknowledgements of the job service and the messages that bring
// and answer them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_ACKNOWLEDGE_H
#define GERANIUMBAY_JOBS_INTERNAL_ACKNOWLEDGE_H

#include "framework/rpc/irpcserver.h"
#include "jobs/ijobcontrol.h"

namespace geraniumbay::jobs {

/// Answers a message once what it asked for is acknowledged, or has failed.
inline IJobControl::Acknowledge acknowledgeBy(const IRpcServer::Reply &Answer) {
  return [Answer](const Outcome<Done> &Was) {
    if (Was)
      return Answer(Json::Value(Json::objectValue));
    Answer(Was.error());
  };
}

/// Acknowledges once a message was answered, or has failed.
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
