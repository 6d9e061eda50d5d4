//===- tracecontext.h - W3C trace context -----------------------*- C++ -*-===//
//
// The traceparent header, by which spans of different processes are joined.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_TRACE_TRACECONTEXT_H
#define GERANIUMBAY_FRAMEWORK_TRACE_TRACECONTEXT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumbay {

/// The name of the header.
constexpr const char *TraceParentHeader = "traceparent";

/// Names a span inside its trace.
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string TraceId;
  /// Not zero.
  std::uint64_t SpanId = 0;
  /// Whether spans of the trace are written.
  bool Sampled = false;

  bool operator==(const TraceContext &) const = default;
};

/// Reads a traceparent of version 00; nothing if it is malformed.
std::optional<TraceContext> parseTraceParent(std::string_view Text);
/// Writes a traceparent of version 00.
std::string formatTraceParent(const TraceContext &Context);
/// Writes a span id as 16 lower-case hexadecimal digits.
std::string hexSpanId(std::uint64_t SpanId);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_TRACE_TRACECONTEXT_H
