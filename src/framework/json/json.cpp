//===- json.cpp - Safe reading and writing of JSON ------------------------===//
//
// JSON by jsoncpp, with its exceptions turned into errors.
//
//===----------------------------------------------------------------------===//

#include "framework/json/json.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace geraniumbay::json {

namespace {

/// Deeper documents than this are refused; jsoncpp recurses on depth.
constexpr int MaxDepth = 64;

std::unique_ptr<Json::CharReader> makeReader() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["stackLimit"] = MaxDepth;
  return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
}

std::unique_ptr<Json::StreamWriter> makeWriter() {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return std::unique_ptr<Json::StreamWriter>(Builder.newStreamWriter());
}

/// Made once, since to make them takes longer than to read or write a usual
/// message.
struct Codec {
  std::unique_ptr<Json::CharReader> Reader = makeReader();
  std::unique_ptr<Json::StreamWriter> Writer = makeWriter();
};

Codec &codec() {
  thread_local Codec Kept;
  return Kept;
}

bool hasField(const Json::Value &Object, const char *Name) {
  return Object.isObject() && Object.isMember(Name);
}

auto missing(const char *Name) {
  return fail(ErrorCode::InvalidArgument,
              std::string("field '") + Name + "' is missing");
}

auto mistyped(const char *Name, const char *Wanted) {
  return fail(ErrorCode::InvalidArgument,
              std::string("field '") + Name + "' is not " + Wanted);
}

} // namespace

RetVal<Json::Value> parse(std::string_view Text) {
  Json::Value Value;
  std::string Errors;
  try {
    if (!codec().Reader->parse(Text.data(), Text.data() + Text.size(), &Value,
                               &Errors))
      return fail(ErrorCode::InvalidArgument, "not valid JSON");
  } catch (const std::exception &) {
    // jsoncpp reports depth and number range by exception.
    return fail(ErrorCode::InvalidArgument, "JSON nested too deep");
  }
  return Value;
}

std::string write(const Json::Value &Value) {
  std::ostringstream Text;
  codec().Writer->write(Value, &Text);
  return std::move(Text).str();
}

RetVal<std::string> readString(const Json::Value &Object, const char *Name) {
  if (!hasField(Object, Name))
    return missing(Name);
  if (!Object[Name].isString())
    return mistyped(Name, "a string");
  return Object[Name].asString();
}

RetVal<std::string> readStringOr(const Json::Value &Object, const char *Name,
                                 std::string Default) {
  if (!hasField(Object, Name))
    return Default;
  return readString(Object, Name);
}

RetVal<std::uint64_t> readUint(const Json::Value &Object, const char *Name) {
  if (!hasField(Object, Name))
    return missing(Name);
  if (!Object[Name].isUInt64())
    return mistyped(Name, "a whole number of 0 or more");
  return Object[Name].asUInt64();
}

RetVal<std::uint64_t> readUintOr(const Json::Value &Object, const char *Name,
                                 std::uint64_t Default) {
  if (!hasField(Object, Name))
    return Default;
  return readUint(Object, Name);
}

RetVal<bool> readBoolOr(const Json::Value &Object, const char *Name,
                        bool Default) {
  if (!hasField(Object, Name))
    return Default;
  if (!Object[Name].isBool())
    return mistyped(Name, "true or false");
  return Object[Name].asBool();
}

RetVal<Json::Value> readArray(const Json::Value &Object, const char *Name) {
  if (!hasField(Object, Name))
    return Json::Value(Json::arrayValue);
  if (!Object[Name].isArray())
    return mistyped(Name, "an array");
  return Object[Name];
}

RetVal<Json::Value> readObject(const Json::Value &Object, const char *Name) {
  if (!hasField(Object, Name))
    return missing(Name);
  if (!Object[Name].isObject())
    return mistyped(Name, "an object");
  return Object[Name];
}

bool isRepresentable(const std::string &Text) {
  constexpr unsigned char FirstBeyondAscii = 0x80;
  if (std::all_of(Text.begin(), Text.end(),
                  [](unsigned char Byte) { return Byte < FirstBeyondAscii; }))
    return true;
  Json::Value Array(Json::arrayValue);
  Array.append(Text);
  auto Back = attempt([&] { return parse(write(Array)); });
  return Back.ok() && *Back == Array;
}

} // namespace geraniumbay::json
