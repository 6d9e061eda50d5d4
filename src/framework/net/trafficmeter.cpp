//===- trafficmeter.cpp - Bytes of calls by kind of message ---------------===//
//
// Counting is a lookup and some additions; labels and text are made once a
// second.
//
//===----------------------------------------------------------------------===//

#include "framework/net/trafficmeter.h"

#include "framework/log/log.h"

#include <algorithm>

namespace geraniumbay {

namespace {

constexpr const char *Module = "net";
constexpr Duration ReportInterval = std::chrono::seconds(1);
/// "HTTP/1.1", a status or the spaces around a path, and the line ends.
constexpr std::size_t FirstLineBytes = 16;
/// ": " and the line end.
constexpr std::size_t HeaderExtraBytes = 4;

std::size_t sizeOf(const HttpHeaders &Headers, const std::string &Body) {
  std::size_t Size = FirstLineBytes + Body.size();
  for (const HttpHeader &Each : Headers)
    Size += Each.Name.size() + Each.Value.size() + HeaderExtraBytes;
  return Size;
}

} // namespace

std::size_t wireSize(const HttpRequest &Request) {
  return Request.Method.size() + Request.Path.size() + Request.Query.size() +
         sizeOf(Request.Headers, Request.Body);
}

std::size_t wireSize(const HttpResponse &Response) {
  return sizeOf(Response.Headers, Response.Body);
}

TrafficMeter::TrafficMeter(const IClock &Clock, ITimers &Timers,
                           Metrics &Measured)
    : Clock_(Clock), Timers_(Timers), Measured_(Measured) {
  Timers_.after(ReportInterval, [this] { report(); });
}

void TrafficMeter::noteSent(const std::string &Kind, std::size_t Bytes) {
  Counts_[Kind].SentBytes += Bytes;
}

void TrafficMeter::noteReceived(const std::string &Kind, std::size_t Bytes) {
  Counts_[Kind].ReceivedBytes += Bytes;
}

void TrafficMeter::noteCall(const std::string &Kind, bool Answered,
                            Duration Took) {
  MessageCounts &Counts = Counts_[Kind];
  ++Counts.Calls;
  if (Answered)
    Counts.LongestAnswer = std::max(Counts.LongestAnswer, Took);
  else
    ++Counts.Unanswered;
}

void TrafficMeter::report() {
  Timers_.after(ReportInterval, [this] { report(); });
  MessageCounts All;
  std::string Kinds;
  for (auto &[Kind, Counts] : Counts_) {
    if (Counts.Calls == 0 && Counts.SentBytes + Counts.ReceivedBytes == 0)
      continue;
    All.Calls += Counts.Calls;
    All.Unanswered += Counts.Unanswered;
    All.SentBytes += Counts.SentBytes;
    All.ReceivedBytes += Counts.ReceivedBytes;
    Kinds += (Kinds.empty() ? "" : " ") + Kind + ":" +
             std::to_string(Counts.Calls) + "/" +
             std::to_string(Counts.Unanswered) + "/" +
             std::to_string(Counts.SentBytes) + "/" +
             std::to_string(Counts.ReceivedBytes) + "/" +
             std::to_string(Counts.LongestAnswer.count());
    MetricLabels Labels{{"kind", Kind}};
    Measured_.add("geraniumbay_sent_bytes_total",
                  "Bytes of HTTP messages sent, by kind of message.", Labels,
                  static_cast<double>(Counts.SentBytes));
    Measured_.add("geraniumbay_received_bytes_total",
                  "Bytes of HTTP messages received, by kind of message.",
                  Labels, static_cast<double>(Counts.ReceivedBytes));
    Measured_.add("geraniumbay_calls_total", "Calls that ended, by kind.",
                  Labels, static_cast<double>(Counts.Calls));
    Measured_.add("geraniumbay_calls_unanswered_total",
                  "Calls that ended without a response, by kind.", Labels,
                  static_cast<double>(Counts.Unanswered));
    Counts = MessageCounts();
  }
  if (!Kinds.empty())
    logEvent(LogLevel::Info, Module, "traffic",
             {{"calls", All.Calls},
              {"unanswered", All.Unanswered},
              {"sent_bytes", All.SentBytes},
              {"received_bytes", All.ReceivedBytes},
              {"kinds", Kinds}});
}

HttpCallId MeteredHttpClient::call(const Endpoint &To, HttpRequest Request,
                                   Duration Timeout, Callback Done) {
  std::string Kind = Request.Kind.empty() ? Request.Path : Request.Kind;
  Meter_.noteSent(Kind, wireSize(Request));
  return Http_.call(To, std::move(Request), Timeout,
                    [this, Kind = std::move(Kind), Sent = Meter_.clock().now(),
                     Done = std::move(Done)](Outcome<HttpResponse> Response) {
                      Meter_.noteCall(Kind, Response.ok(),
                                      Meter_.clock().now() - Sent);
                      if (Response)
                        Meter_.noteReceived(Kind, wireSize(*Response));
                      Done(std::move(Response));
                    });
}

} // namespace geraniumbay
