//===- jsonrpccodec.cpp - JSON-RPC 2.0 messages ---------------------------===//
//
// libjsonrpccpp expects to block on a connection and to answer at once; one
// loop on one thread can do neither. So the library works here as the codec:
// a connector that captures the message of a call, one that replays a reply,
// and a server handler that is run once to read a call and, when its answer is
// there, once more over a minimal call to write the reply. Each HTTP exchange
// carries one call, so all calls have the id 1.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/internal/jsonrpccodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <memory>

namespace geraniumbay {
namespace jsonrpc_codec {

namespace {

/// The JSON-RPC code of all failures of the project's own; the kind is data.
constexpr int ApplicationErrorCode = -32000;

/// Captures the message that a client wants to send.
class CaptureConnector : public jsonrpc::IClientConnector {
public:
  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    Captured = Message;
    Result = R"({"jsonrpc":"2.0","id":1,"result":{}})";
  }
  std::string Captured;
};

/// Hands a client the reply that has already come.
class ReplayConnector : public jsonrpc::IClientConnector {
public:
  explicit ReplayConnector(const std::string &Reply) : Reply_(Reply) {}
  void SendRPCMessage(
      const std::string & /*Message*/,
      std::string &Result) throw(jsonrpc::JsonRpcException) override {
    Result = Reply_;
  }

private:
  const std::string &Reply_;
};

/// Reads a call: notes its method and parameters and gives no real answer.
class CaptureHandler : public jsonrpc::IProcedureInvokationHandler {
public:
  void HandleMethodCall(jsonrpc::Procedure &Called, const Json::Value &Input,
                        Json::Value &Output) override {
    Method = Called.GetProcedureName();
    Params = Input;
    Output = Json::Value(Json::objectValue);
  }
  void HandleNotificationCall(jsonrpc::Procedure & /*Called*/,
                              const Json::Value & /*Input*/) override {}
  std::string Method;
  Json::Value Params;
};

/// Writes a reply: gives the answer that is already there.
class AnswerHandler : public jsonrpc::IProcedureInvokationHandler {
public:
  AnswerHandler(const Json::Value *Result, const WireError *Failure)
      : Result_(Result), Failure_(Failure) {}
  void HandleMethodCall(jsonrpc::Procedure & /*Called*/,
                        const Json::Value & /*Input*/,
                        Json::Value &Output) override {
    if (Failure_ != nullptr)
      throw jsonrpc::JsonRpcException(ApplicationErrorCode, Failure_->Message,
                                      encodeData(*Failure_));
    Output = *Result_;
  }
  void HandleNotificationCall(jsonrpc::Procedure & /*Called*/,
                              const Json::Value & /*Input*/) override {}

private:
  /// The library puts a text of its own before the message, so the message
  /// goes into the data as well.
  static Json::Value encodeData(const WireError &Failure) {
    Json::Value Data(Json::objectValue);
    Data["kind"] = Failure.Kind;
    Data["message"] = Failure.Message;
    return Data;
  }

  const Json::Value *Result_;
  const WireError *Failure_;
};

/// Runs the library's server over \p Text, with \p Method as its one method.
std::string runServer(const std::string &Text, const std::string &Method,
                      jsonrpc::IProcedureInvokationHandler &Handler) {
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol(
      jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, Handler));
  jsonrpc::Procedure Served(Method, jsonrpc::PARAMS_BY_POSITION,
                            jsonrpc::JSON_OBJECT, NULL);
  Protocol->AddProcedure(Served);
  std::string Reply;
  Protocol->HandleRequest(Text, Reply);
  return Reply;
}

std::string encodeAnswer(const std::string &Method, const Json::Value *Result,
                         const WireError *Failure) {
  AnswerHandler Handler(Result, Failure);
  return runServer(encodeCall(Method, Json::Value(Json::objectValue)), Method,
                   Handler);
}

bool isFailureData(const Json::Value &Data) {
  return Data.isObject() && Data["kind"].isString() &&
         Data["message"].isString();
}

/// The name of the method in \p Text, or "" if the text does not tell.
std::string methodOf(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  constexpr int MaxDepth = 64;
  Builder["stackLimit"] = MaxDepth;
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Root;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Root, nullptr))
    return "";
  if (!Root.isObject() || !Root["method"].isString())
    return "";
  return Root["method"].asString();
}

} // namespace

std::string encodeCall(const std::string &Method, const Json::Value &Params) {
  CaptureConnector Connector;
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    Client.CallMethod(Method, Params);
  } catch (const std::exception &) {
    return "";
  }
  // The library ends its messages with a line feed.
  std::string Message = Connector.Captured;
  if (!Message.empty() && Message.back() == '\n')
    Message.pop_back();
  return Message;
}

WireCall decodeCall(const std::string &Text) {
  WireCall Call;
  CaptureHandler Handler;
  try {
    std::string Reply = runServer(Text, methodOf(Text), Handler);
    Call.Valid = !Handler.Method.empty();
    Call.Method = Handler.Method;
    Call.Params = Handler.Params;
    if (!Call.Valid)
      Call.ErrorReply = Reply;
  } catch (const std::exception &) {
    // jsoncpp throws on text that nests too deep.
    Call.ErrorReply = R"({"jsonrpc":"2.0","id":null,"error":)"
                      R"({"code":-32700,"message":"parse error"}})";
  }
  return Call;
}

std::string encodeResult(const std::string &Method, const Json::Value &Result) {
  return encodeAnswer(Method, &Result, nullptr);
}

std::string encodeError(const std::string &Method, const WireError &Failure) {
  return encodeAnswer(Method, nullptr, &Failure);
}

WireReply decodeReply(const std::string &Text) {
  WireReply Reply;
  ReplayConnector Connector(Text);
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    Reply.Result = Client.CallMethod("reply", Json::Value(Json::objectValue));
    Reply.What = WireReply::Kind::Result;
  } catch (const jsonrpc::JsonRpcException &Failure) {
    const Json::Value &Data = Failure.GetData();
    if (isFailureData(Data)) {
      Reply.What = WireReply::Kind::Failure;
      Reply.Failure.Kind = Data["kind"].asString();
      Reply.Failure.Message = Data["message"].asString();
    }
  } catch (const std::exception &) {
    // Text that is not a reply at all; Reply stays malformed.
    Reply.What = WireReply::Kind::Malformed;
  }
  return Reply;
}

} // namespace jsonrpc_codec
} // namespace geraniumbay
