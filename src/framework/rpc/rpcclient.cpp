//===- rpcclient.cpp - Remote calls over HTTP, calling --------------------===//
//
// Writes a call, and reads the reply or the failure.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/rpcclient.h"

#include "framework/rpc/internal/cborcodec.h"
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

constexpr const char *JsonType = "application/json";

Outcome<Json::Value> readReply(const Outcome<HttpResponse> &Response,
                               RpcEncoding Encoding) {
  if (!Response.ok())
    return Response.error();
  if (Response->Status != StatusOk)
    return Error{ErrorCode::Internal,
                 "peer answered status " + std::to_string(Response->Status)};
  WireReply Reply = Encoding == RpcEncoding::Cbor
                        ? cbor_codec::decodeReply(Response->Body)
                        : jsonrpc_codec::decodeReply(Response->Body);
  switch (Reply.What) {
  case WireReply::Kind::Result:
    return Reply.Result;
  case WireReply::Kind::Failure:
    return Error{codeOfKind(Reply.Failure.Kind), Reply.Failure.Message};
  case WireReply::Kind::Malformed:
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
  Request.Kind = Method;
  bool Binary = Encoding_ == RpcEncoding::Cbor;
  Request.Headers.push_back(
      {"content-type", Binary ? cbor_codec::ContentType : JsonType});
  if (!PeerKey_.empty())
    Request.Headers.push_back({PeerKeyHeader, PeerKey_});
  Request.Body = Binary ? cbor_codec::encodeCall(Method, Params)
                        : jsonrpc_codec::encodeCall(Method, Params);
  Http_.call(To, std::move(Request), Timeout,
             [Done = std::move(Done),
              Encoding = Encoding_](const Outcome<HttpResponse> &Response) {
               Done(readReply(Response, Encoding));
             });
}

} // namespace geraniumbay
