//===- wiremessage.h - Calls and replies as they are read -------*- C++ -*-===//
//
// What both codecs make of a message. Includes nothing that needs a newer C++
// standard than libjsonrpccpp's headers allow.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_WIREMESSAGE_H
#define GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_WIREMESSAGE_H

#include <json/value.h>
#include <string>

namespace geraniumbay {

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

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RPC_INTERNAL_WIREMESSAGE_H
