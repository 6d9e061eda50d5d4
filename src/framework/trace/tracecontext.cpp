//===- tracecontext.cpp - W3C trace context -------------------------------===//
//
// Reads and writes "00-TRACE-SPAN-FLAGS".
//
//===----------------------------------------------------------------------===//

#include "framework/trace/tracecontext.h"

#include <algorithm>
#include <charconv>

namespace geraniumbay {

namespace {

constexpr std::size_t TraceIdStart = 3;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdStart = 36;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t FlagsStart = 53;
constexpr std::size_t TotalLength = 55;
constexpr int HexBase = 16;
constexpr unsigned SampledFlag = 1;

bool isLowerHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Char) {
    return (Char >= '0' && Char <= '9') || (Char >= 'a' && Char <= 'f');
  });
}

std::uint64_t readHex(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, HexBase);
  return Value;
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view Text) {
  if (Text.size() != TotalLength || Text.substr(0, TraceIdStart) != "00-" ||
      Text[SpanIdStart - 1] != '-' || Text[FlagsStart - 1] != '-')
    return std::nullopt;
  std::string_view TraceId = Text.substr(TraceIdStart, TraceIdLength);
  std::string_view SpanId = Text.substr(SpanIdStart, SpanIdLength);
  std::string_view Flags = Text.substr(FlagsStart);
  if (!isLowerHex(TraceId) || !isLowerHex(SpanId) || !isLowerHex(Flags))
    return std::nullopt;
  TraceContext Context;
  Context.TraceId = std::string(TraceId);
  Context.SpanId = readHex(SpanId);
  Context.Sampled = (readHex(Flags) & SampledFlag) != 0;
  bool TraceIsZero = TraceId.find_first_not_of('0') == std::string_view::npos;
  if (TraceIsZero || Context.SpanId == 0)
    return std::nullopt;
  return Context;
}

std::string hexSpanId(std::uint64_t SpanId) {
  std::string Digits(SpanIdLength, '0');
  constexpr const char *Hex = "0123456789abcdef";
  for (std::size_t I = SpanIdLength; I > 0; --I) {
    Digits[I - 1] = Hex[SpanId % HexBase];
    SpanId /= HexBase;
  }
  return Digits;
}

std::string formatTraceParent(const TraceContext &Context) {
  return "00-" + Context.TraceId + "-" + hexSpanId(Context.SpanId) +
         (Context.Sampled ? "-01" : "-00");
}

} // namespace geraniumbay
