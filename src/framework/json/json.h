//===- json.h - Safe reading and writing of JSON ----------------*- C++ -*-===//
//
// The one way in and out of JSON text. Bad text, too deep text and fields of
// the wrong type come back as errors; nothing throws.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_JSON_JSON_H
#define GERANIUMBAY_FRAMEWORK_JSON_JSON_H

#include "framework/errors/error.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>

namespace geraniumbay::json {

/// Parses \p Text, which must be exactly one object or array.
RetVal<Json::Value> parse(std::string_view Text);

/// Writes \p Value on one line.
std::string write(const Json::Value &Value);

/// Whether \p Text comes back from JSON as it is, which bytes that are no UTF-8
/// do not. A text that does not would spoil every message that carries it.
bool isRepresentable(const std::string &Text);

// Typed access to the fields of an object. The read* functions fail if the
// field is missing or has another type; the *Or ones take a default for a
// missing field and still fail on another type.
RetVal<std::string> readString(const Json::Value &Object, const char *Name);
RetVal<std::string> readStringOr(const Json::Value &Object, const char *Name,
                                 std::string Default);
RetVal<std::uint64_t> readUint(const Json::Value &Object, const char *Name);
RetVal<std::uint64_t> readUintOr(const Json::Value &Object, const char *Name,
                                 std::uint64_t Default);
RetVal<bool> readBoolOr(const Json::Value &Object, const char *Name,
                        bool Default);
/// Returns the array \p Name; a missing one is an empty array.
RetVal<Json::Value> readArray(const Json::Value &Object, const char *Name);
/// Returns the object \p Name, which must be there.
RetVal<Json::Value> readObject(const Json::Value &Object, const char *Name);

} // namespace geraniumbay::json

#endif // GERANIUMBAY_FRAMEWORK_JSON_JSON_H
