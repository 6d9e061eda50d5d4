//===- tracer.h - Spans of this process -------------------------*- C++ -*-===//
//
// Makes spans and writes the finished ones as Zipkin v2 JSON, one span a line.
// Debian has no OpenTelemetry SDK, and OpenTracing's one tracer there has
// 64-bit trace ids and no W3C header, so this small writer stands in for both.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_TRACE_TRACER_H
#define GERANIUMBAY_FRAMEWORK_TRACE_TRACER_H

#include "framework/clock/iclock.h"
#include "framework/random/random.h"
#include "framework/trace/tracecontext.h"

#include <fstream>
#include <map>

namespace geraniumbay {

/// The side of a hop that a span describes, as Zipkin names it.
enum class SpanKind { Server, Client };

/// One piece of work on the way of a request.
struct Span {
  TraceContext Context;
  /// Zero for the first span of a trace.
  std::uint64_t ParentId = 0;
  SpanKind Kind = SpanKind::Server;
  std::string Name;
  Time Start;
  WallMillis WallStart = 0;
  /// Small facts for people; never a caller's payload or key.
  std::map<std::string, std::string> Tags;
};

/// Where and how much is traced.
struct TracerSettings {
  /// The name of this process in spans.
  std::string Process;
  /// File that spans are appended to; none are written if it is empty.
  std::string File;
  /// Share of the traces that begin here and are sampled, from 0 to 1.
  double SampleShare = 0.01;
};

/// Makes and writes spans.
class Tracer {
public:
  Tracer(const IClock &Clock, Random &Numbers, TracerSettings Settings);

  /// Begins the span of a request that came with the header \p TraceParent. A
  /// missing or malformed one begins a new trace.
  Span beginServer(const std::string &Name, const std::string &TraceParent);
  /// Begins a span inside \p Parent.
  Span beginChild(const Span &Parent, const std::string &Name);
  /// Writes the span if its trace is sampled.
  void end(const Span &Finished);

private:
  Span begin(const std::string &Name, SpanKind Kind);
  std::uint64_t freshSpanId();
  std::string freshTraceId();

  const IClock &Clock_;
  Random &Numbers_;
  const TracerSettings Settings_;
  std::ofstream Out_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_TRACE_TRACER_H
