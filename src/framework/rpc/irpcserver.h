//===- irpcserver.h - Answering the system's own processes ------*- C++ -*-===//
//
// JSON-RPC 2.0 methods offered to other processes of the system. A method may
// answer later, for instance after a disk sync.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_IRPCSERVER_H
#define GERANIUMBAY_FRAMEWORK_RPC_IRPCSERVER_H

#include "framework/errors/error.h"

#include <functional>
#include <json/value.h>
#include <string>

namespace geraniumbay {

/// Offers methods by name, as "module.verb".
class IRpcServer {
public:
  using Reply = std::function<void(Outcome<Json::Value>)>;
  using Method = std::function<void(const Json::Value &Params, Reply Answer)>;

  virtual ~IRpcServer() = default;

  /// Calls \p Handle for each call of \p Name. \p Handle calls its Reply once,
  /// at any time.
  virtual void method(const std::string &Name, Method Handle) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_IRPCSERVER_H
