//===- irpcclient.h - Calling the system's own processes --------*- C++ -*-===//
//
// Calls a JSON-RPC 2.0 method of another process of the system.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_IRPCCLIENT_H
#define GERANIUMBAY_FRAMEWORK_RPC_IRPCCLIENT_H

#include "framework/clock/iclock.h"
#include "framework/errors/error.h"
#include "framework/net/endpoint.h"

#include <functional>
#include <json/value.h>
#include <string>

namespace geraniumbay {

/// Calls methods of peers. An Error made by the peer's method comes back with
/// its code and message; ErrorCode::Refused made here means that the call was
/// certainly not received, Timeout or Unavailable that it may have been.
class IRpcClient {
public:
  using Callback = std::function<void(Outcome<Json::Value>)>;

  virtual ~IRpcClient() = default;

  /// Calls \p Method and calls \p Done once, within \p Timeout and never before
  /// call() returns.
  virtual void call(const Endpoint &To, const std::string &Method,
                    Json::Value Params, Duration Timeout, Callback Done) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_IRPCCLIENT_H
