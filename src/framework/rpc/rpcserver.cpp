//===- rpcserver.cpp - JSON-RPC over HTTP, answering ----------------------===//
//
// Reads a call, runs its method, and writes the reply when the method answers.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/rpcserver.h"

#include "framework/rpc/internal/jsonrpccodec.h"

#include <openssl/crypto.h>

namespace geraniumbay {

namespace {

constexpr int StatusForbidden = 403;

void sendJson(IHttpExchange &Exchange, std::string Text) {
  HttpResponse Response;
  Response.Headers.push_back({"content-type", "application/json"});
  Response.Body = std::move(Text);
  Exchange.reply(std::move(Response));
}

void sendAnswer(IHttpExchange &Exchange, const std::string &Method,
                const Outcome<Json::Value> &Answer) {
  if (Answer.ok()) {
    sendJson(Exchange, jsonrpc_codec::encodeResult(Method, *Answer));
    return;
  }
  jsonrpc_codec::WireError Failure;
  Failure.Kind = errorCodeName(Answer.error().Code);
  Failure.Message = Answer.error().Message;
  sendJson(Exchange, jsonrpc_codec::encodeError(Method, Failure));
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
  jsonrpc_codec::WireCall Call =
      jsonrpc_codec::decodeCall(Exchange->request().Body);
  if (!Call.Valid) {
    sendJson(*Exchange, std::move(Call.ErrorReply));
    return;
  }
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
