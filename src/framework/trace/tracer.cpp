//===- tracer.cpp - Spans of this process ---------------------------------===//
//
// Zipkin v2 JSON by jsoncpp.
//
//===----------------------------------------------------------------------===//

#include "framework/trace/tracer.h"

#include "framework/json/json.h"

namespace geraniumbay {

namespace {

constexpr std::int64_t MicrosPerMilli = 1000;

Json::Value spanJson(const Span &Finished, Duration Took,
                     const std::string &Process) {
  Json::Value Value(Json::objectValue);
  Value["traceId"] = Finished.Context.TraceId;
  Value["id"] = hexSpanId(Finished.Context.SpanId);
  if (Finished.ParentId != 0)
    Value["parentId"] = hexSpanId(Finished.ParentId);
  Value["kind"] = Finished.Kind == SpanKind::Server ? "SERVER" : "CLIENT";
  Value["name"] = Finished.Name;
  Value["timestamp"] =
      static_cast<Json::Int64>(Finished.WallStart * MicrosPerMilli);
  Value["duration"] =
      static_cast<Json::Int64>(std::max(Took, Duration(1)).count());
  Value["localEndpoint"]["serviceName"] = Process;
  for (const auto &Tag : Finished.Tags)
    Value["tags"][Tag.first] = Tag.second;
  return Value;
}

} // namespace

Tracer::Tracer(const IClock &Clock, Random &Numbers, TracerSettings Settings)
    : Clock_(Clock), Numbers_(Numbers), Settings_(std::move(Settings)) {
  if (!Settings_.File.empty())
    Out_.open(Settings_.File, std::ios::app);
}

std::uint64_t Tracer::freshSpanId() {
  std::uint64_t Id = Numbers_.bits();
  return Id != 0 ? Id : 1;
}

std::string Tracer::freshTraceId() {
  return hexSpanId(freshSpanId()) + hexSpanId(freshSpanId());
}

Span Tracer::begin(const std::string &Name, SpanKind Kind) {
  Span Fresh;
  Fresh.Context.SpanId = freshSpanId();
  Fresh.Kind = Kind;
  Fresh.Name = Name;
  Fresh.Start = Clock_.now();
  Fresh.WallStart = Clock_.wallNow();
  return Fresh;
}

Span Tracer::beginServer(const std::string &Name,
                         const std::string &TraceParent) {
  Span Fresh = begin(Name, SpanKind::Server);
  if (auto Parent = parseTraceParent(TraceParent)) {
    Fresh.ParentId = Parent->SpanId;
    Fresh.Context.TraceId = Parent->TraceId;
    Fresh.Context.Sampled = Parent->Sampled;
    return Fresh;
  }
  Fresh.Context.TraceId = freshTraceId();
  Fresh.Context.Sampled = Numbers_.unit() < Settings_.SampleShare;
  return Fresh;
}

Span Tracer::beginChild(const Span &Parent, const std::string &Name) {
  Span Fresh = begin(Name, SpanKind::Client);
  Fresh.ParentId = Parent.Context.SpanId;
  Fresh.Context.TraceId = Parent.Context.TraceId;
  Fresh.Context.Sampled = Parent.Context.Sampled;
  return Fresh;
}

void Tracer::end(const Span &Finished) {
  if (!Finished.Context.Sampled || !Out_.is_open())
    return;
  Duration Took = Clock_.now() - Finished.Start;
  Out_ << json::write(spanJson(Finished, Took, Settings_.Process)) << '\n'
       << std::flush;
}

} // namespace geraniumbay
