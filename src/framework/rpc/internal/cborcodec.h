//===- cborcodec.h - Calls between processes as CBOR ------------*- C++ -*-===//
//
// The binary form of calls and replies between the system's own processes. A
// call is the array [method, parameters], a result is [value] and a failure is
// [kind, message]. Nothing here throws.
//
// Entries exchange thousands of small messages a second on an eighth of a core,
// and writing and reading JSON text took most of that processor time. Tools use
// JSON-RPC, which a person can read; see jsonrpccodec.h.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_CBORCODEC_H
#define GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_CBORCODEC_H

#include "framework/rpc/internal/wiremessage.h"

#include <optional>
#include <string_view>

namespace geraniumbay::cbor_codec {

/// The type that a message of this form names in its header.
constexpr const char *ContentType = "application/cbor";

std::string encode(const Json::Value &Value);
/// Nothing if \p Bytes are not exactly one value of types that JSON has, or
/// nest too deep.
std::optional<Json::Value> decode(std::string_view Bytes);

std::string encodeCall(const std::string &Method, const Json::Value &Params);
WireCall decodeCall(std::string_view Bytes);
std::string encodeResult(const Json::Value &Result);
std::string encodeError(const WireError &Failure);
WireReply decodeReply(std::string_view Bytes);

} // namespace geraniumbay::cbor_codec

#endif // GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_CBORCODEC_H
