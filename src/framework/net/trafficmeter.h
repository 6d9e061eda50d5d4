//===- trafficmeter.h - Bytes of calls by kind of message -------*- C++ -*-===//
//
// Counts what a process sends and receives by kind of message, and reports it
// once a second: as counters, and as one log line. It tells which messages fill
// a link, and which calls wait for their answers.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_TRAFFICMETER_H
#define GERANIUMBAY_FRAMEWORK_NET_TRAFFICMETER_H

#include "framework/clock/iclock.h"
#include "framework/clock/itimers.h"
#include "framework/metrics/metrics.h"
#include "framework/net/ihttpclient.h"

#include <map>
#include <string>

namespace geraniumbay {

/// Sizes of HTTP messages in bytes, without what TCP adds.
std::size_t wireSize(const HttpRequest &Request);
std::size_t wireSize(const HttpResponse &Response);

/// The messages of one kind since the last report.
struct MessageCounts {
  std::uint64_t Calls = 0;
  /// Calls that ended without a response.
  std::uint64_t Unanswered = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  Duration LongestAnswer{0};
};

/// Collects the counts of a process.
class TrafficMeter {
public:
  /// Keeps all of them; they outlive it.
  TrafficMeter(const IClock &Clock, ITimers &Timers, Metrics &Measured);

  /// Notes a message that was sent or received; \p Kind names few kinds.
  void noteSent(const std::string &Kind, std::size_t Bytes);
  void noteReceived(const std::string &Kind, std::size_t Bytes);
  /// Notes how a call ended and how long it took.
  void noteCall(const std::string &Kind, bool Answered, Duration Took);

  const IClock &clock() const { return Clock_; }

private:
  void report();

  const IClock &Clock_;
  ITimers &Timers_;
  Metrics &Measured_;
  std::map<std::string, MessageCounts> Counts_;
};

/// An IHttpClient that notes its calls.
class MeteredHttpClient : public IHttpClient {
public:
  /// Sends over \p Http; both outlive it.
  MeteredHttpClient(IHttpClient &Http, TrafficMeter &Meter)
      : Http_(Http), Meter_(Meter) {}

  HttpCallId call(const Endpoint &To, HttpRequest Request, Duration Timeout,
                  Callback Done) override;
  void cancel(HttpCallId Id) override { Http_.cancel(Id); }

private:
  IHttpClient &Http_;
  TrafficMeter &Meter_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_TRAFFICMETER_H
