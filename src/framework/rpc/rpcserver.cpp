//===- rpcserver.cpp - Remote calls over HTTP, answering ------------------===//
//
// Reads a call, runs its method, and writes the reply when the method answers.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/rpcserver.h"

#include "framework/rpc/internal/cborcodec.h"
#include "framework/rpc/internal/jsonrpccodec.h"

#include <openssl/crypto.h>

namespace geraniumbay {

namespace {

constexpr int StatusForbidden = 403;
constexpr const char *JsonType = "application/json";

void send(IHttpExchange &Exchange, const char *Type, std::string Body) {
  HttpResponse Response;
  Response.Headers.push_back({"content-type", Type});
  Response.Body = std::move(Body);
  Exchange.reply(std::move(Response));
}

bool isBinary(const HttpRequest &Request) {
  const std::string *Type = findHeader(Request.Headers, "content-type");
  return Type != nullptr && *Type == cbor_codec::ContentType;
}

std::string encodeError(const std::string &Method, const Error &Why,
                        bool Binary) {
  WireError Failure{errorCodeName(Why.Code), Why.Message};
  return Binary ? cbor_codec::encodeError(Failure)
                : jsonrpc_codec::encodeError(Method, Failure);
}

/// Answers a call in the form in which it came.
void sendAnswer(IHttpExchange &Exchange, const std::string &Method,
                const Outcome<Json::Value> &Answer) {
  bool Binary = isBinary(Exchange.request());
  const char *Type = Binary ? cbor_codec::ContentType : JsonType;
  if (!Answer.ok())
    return send(Exchange, Type, encodeError(Method, Answer.error(), Binary));
  send(Exchange, Type,
       Binary ? cbor_codec::encodeResult(*Answer)
              : jsonrpc_codec::encodeResult(Method, *Answer));
}

} // namespace

RpcServer::RpcServer(IHttpServer &Http, std::string PeerKey)
    : PeerKey_(std::move(PeerKey)) {
  Http.route("POST", RpcPath,
             [this](const std::shared_ptr<IHttpExchange> &Exchange) {
               serve(Exchange);
             });
}

void RpcServer::method(const std::string &Name, Method Handle) {
  Methods_[Name] = std::move(Handle);
}

bool RpcServer::hasPeerKey(const HttpRequest &Request) const {
  if (PeerKey_.empty())
    return true;
  const std::string *Given = findHeader(Request.Headers, PeerKeyHeader);
  return Given != nullptr && Given->size() == PeerKey_.size() &&
         CRYPTO_memcmp(Given->data(), PeerKey_.data(), PeerKey_.size()) == 0;
}

void RpcServer::serve(const std::shared_ptr<IHttpExchange> &Exchange) {
  if (!hasPeerKey(Exchange->request())) {
    HttpResponse Response;
    Response.Status = StatusForbidden;
    Exchange->reply(std::move(Response));
    return;
  }
  const HttpRequest &Request = Exchange->request();
  WireCall Call = isBinary(Request) ? cbor_codec::decodeCall(Request.Body)
                                    : jsonrpc_codec::decodeCall(Request.Body);
  if (!Call.Valid)
    return send(*Exchange,
                isBinary(Request) ? cbor_codec::ContentType : JsonType,
                std::move(Call.ErrorReply));
  auto Found = Methods_.find(Call.Method);
  if (Found == Methods_.end()) {
    sendAnswer(*Exchange, Call.Method,
               Error{ErrorCode::NotFound, "no such method"});
    return;
  }
  Found->second(Call.Params, [Exchange, Method = Call.Method](
                                 const Outcome<Json::Value> &Answer) {
    sendAnswer(*Exchange, Method, Answer);
  });
}

} // namespace geraniumbay
