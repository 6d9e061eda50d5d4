//===- rpcclient.cpp - JSON-RPC over HTTP, calling ------------------------===//
//
// Writes a call, and reads the reply or the failure.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/rpcclient.h"

#include "framework/rpc/internal/jsonrpccodec.h"
#include "framework/rpc/rpcserver.h"

namespace geraniumbay {

namespace {

constexpr int StatusOk = 200;

ErrorCode codeOfKind(const std::string &Kind) {
  for (int Value = 0; Value <= static_cast<int>(ErrorCode::Internal); ++Value) {
    auto Code = static_cast<ErrorCode>(Value);
    if (Kind == errorCodeName(Code))
      return Code;
  }
  return ErrorCode::Internal;
}

Outcome<Json::Value> readReply(const Outcome<HttpResponse> &Response) {
  if (!Response.ok())
    return Response.error();
  if (Response->Status != StatusOk)
    return Error{ErrorCode::Internal,
                 "peer answered status " + std::to_string(Response->Status)};
  jsonrpc_codec::WireReply Reply = jsonrpc_codec::decodeReply(Response->Body);
  switch (Reply.What) {
  case jsonrpc_codec::WireReply::Kind::Result:
    return Reply.Result;
  case jsonrpc_codec::WireReply::Kind::Failure:
    return Error{codeOfKind(Reply.Failure.Kind), Reply.Failure.Message};
  case jsonrpc_codec::WireReply::Kind::Malformed:
    break;
  }
  return Error{ErrorCode::Corrupt, "malformed reply"};
}

} // namespace

void RpcClient::call(const Endpoint &To, const std::string &Method,
                     Json::Value Params, Duration Timeout, Callback Done) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = RpcPath;
  Request.Headers.push_back({"content-type", "application/json"});
  if (!PeerKey_.empty())
    Request.Headers.push_back({PeerKeyHeader, PeerKey_});
  Request.Body = jsonrpc_codec::encodeCall(Method, Params);
  Http_.call(To, std::move(Request), Timeout,
             [Done = std::move(Done)](const Outcome<HttpResponse> &Response) {
               Done(readReply(Response));
             });
}

} // namespace geraniumbay
