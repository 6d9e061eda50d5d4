//===- jsonrpccodec.h - JSON-RPC 2.0 messages -------------------*- C++ -*-===//
//
// Reads and writes JSON-RPC 2.0 messages with libjsonrpccpp. Its headers need
// an older C++ standard than the project's, so this header names none of its
// types and its source is built as a library of its own. Nothing here throws.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H
#define GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H

#include "framework/rpc/internal/wiremessage.h"

namespace geraniumbay {
namespace jsonrpc_codec {

std::string encodeCall(const std::string &Method, const Json::Value &Params);
WireCall decodeCall(const std::string &Text);
std::string encodeResult(const std::string &Method, const Json::Value &Result);
std::string encodeError(const std::string &Method, const WireError &Failure);
WireReply decodeReply(const std::string &Text);

} // namespace jsonrpc_codec
} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_JSONRPCCODEC_H
