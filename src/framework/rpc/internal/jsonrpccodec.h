//===- jsonrpccodec.h - JSON-RPC 2.0 messages -------------------*- C++ -*-===//
//
// Reads and writes JSON-RPC 2.0 messages with libjsonrpccpp. Its headers need
// an older C++ standard than the project's, so this header names none of its
// types and its source is built as a library of its own. Nothing here throws.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H
#define GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H

#include <json/value.h>
#include <string>

namespace geraniumbay {
namespace jsonrpc_codec {

/// A failure that goes over the wire.
struct WireError {
  /// The project's name of the kind of failure.
  std::string Kind;
  std::string Message;
};

/// A call as the server reads it.
struct WireCall {
  /// False if the message is not a call; ErrorReply then answers it.
  bool Valid = false;
  std::string Method;
  Json::Value Params;
  std::string ErrorReply;
};

/// An answer as the client reads it.
struct WireReply {
  enum class Kind { Result, Failure, Malformed };
  Kind What = Kind::Malformed;
  Json::Value Result;
  WireError Failure;
};

std::string encodeCall(const std::string &Method, const Json::Value &Params);
WireCall decodeCall(const std::string &Text);
std::string encodeResult(const std::string &Method, const Json::Value &Result);
std::string encodeError(const std::string &Method, const WireError &Failure);
WireReply decodeReply(const std::string &Text);

} // namespace jsonrpc_codec
} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H
