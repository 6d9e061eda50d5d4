//===- rpcserver.h - Remote calls over HTTP, answering ----------*- C++ -*-===//
//
// Offers the process's methods on POST /rpc of the peer address. A call comes
// as JSON-RPC 2.0 or in the binary form, and is answered in the same.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_RPCSERVER_H
#define GERANIUMBAY_FRAMEWORK_RPC_RPCSERVER_H

#include "framework/net/ihttpserver.h"
#include "framework/rpc/irpcserver.h"

#include <map>

namespace geraniumbay {

/// The path of all calls between the system's processes.
constexpr const char *RpcPath = "/rpc";
/// The header that carries the key shared by the system's processes.
constexpr const char *PeerKeyHeader = "x-peer-key";

/// An IRpcServer on an IHttpServer.
class RpcServer : public IRpcServer {
public:
  /// Serves on \p Http, which outlives it. Calls without the shared \p PeerKey
  /// are refused; an empty key accepts every call.
  RpcServer(IHttpServer &Http, std::string PeerKey);

  void method(const std::string &Name, Method Handle) override;

private:
  void serve(const std::shared_ptr<IHttpExchange> &Exchange);
  bool hasPeerKey(const HttpRequest &Request) const;

  std::string PeerKey_;
  std::map<std::string, Method> Methods_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_RPCSERVER_H
