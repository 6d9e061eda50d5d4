//===- rpcclient.h - Remote calls over HTTP, calling ------------*- C++ -*-===//
//
// Calls methods of peers on their POST /rpc.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_RPCCLIENT_H
#define GERANIUMBAY_FRAMEWORK_RPC_RPCCLIENT_H

#include "framework/net/ihttpclient.h"
#include "framework/rpc/irpcclient.h"

namespace geraniumbay {

/// How calls are written. Servers read both.
enum class RpcEncoding {
  JsonRpc, ///< JSON-RPC 2.0, for tools.
  Cbor,    ///< Between the system's own processes.
};

/// An IRpcClient on an IHttpClient.
class RpcClient : public IRpcClient {
public:
  /// Sends over \p Http, which outlives it, with the shared \p PeerKey.
  RpcClient(IHttpClient &Http, std::string PeerKey, RpcEncoding Encoding)
      : Http_(Http), PeerKey_(std::move(PeerKey)), Encoding_(Encoding) {}

  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override;

private:
  IHttpClient &Http_;
  std::string PeerKey_;
  const RpcEncoding Encoding_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_RPCCLIENT_H
