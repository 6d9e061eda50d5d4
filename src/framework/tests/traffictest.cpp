//===- traffictest.cpp - Tests of the counts of messages ------------------===//
//
// A scripted client answers calls or loses them.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/net/trafficmeter.h"

#include <gtest/gtest.h>

namespace geraniumbay {
namespace {

using namespace std::chrono_literals;

/// Answers each call with a body of ten bytes, or not at all.
class ScriptedHttp : public IHttpClient {
public:
  HttpCallId call(const Endpoint & /*To*/, HttpRequest /*Request*/,
                  Duration /*Timeout*/, Callback Done) override {
    HttpResponse Response;
    Response.Body = "0123456789";
    if (Answers)
      Done(std::move(Response));
    else
      Done(Error{ErrorCode::Timeout, "no response in time"});
    return HttpCallId(1);
  }
  void cancel(HttpCallId /*Id*/) override { FAIL() << "nothing is cancelled"; }

  bool Answers = true;
};

class TrafficTest : public testing::Test {
protected:
  void callOnce(const char *Kind) {
    HttpRequest Request;
    Request.Path = "/rpc";
    Request.Kind = Kind;
    Request.Body = std::string(1000, 'x');
    Client_.call({"10.0.0.1", 80}, std::move(Request), 1s,
                 [](const Outcome<HttpResponse> &) {
                   // Only the counts matter.
                 });
  }

  bool reports(const std::string &Line) {
    Clock_.advance(1s);
    Timers_.runDue();
    return Measured_.text().find(Line) != std::string::npos;
  }

  ManualClock Clock_;
  TimerQueue Timers_{Clock_};
  Metrics Measured_;
  TrafficMeter Meter_{Clock_, Timers_, Measured_};
  ScriptedHttp Http_;
  MeteredHttpClient Client_{Http_, Meter_};
};

// Guards against bytes on a link that no metric assigns to a kind of message.
TEST_F(TrafficTest, BytesAreCountedByKindOfMessage) {
  callOnce("jobs.run");
  callOnce("jobs.run");
  callOnce("");
  EXPECT_TRUE(reports("geraniumbay_calls_total{kind=\"jobs.run\"} 2"));
  EXPECT_TRUE(reports("geraniumbay_calls_total{kind=\"/rpc\"} 1"));
  EXPECT_TRUE(reports("geraniumbay_sent_bytes_total{kind=\"jobs.run\"} 2046"));
  EXPECT_TRUE(reports("geraniumbay_received_bytes_total{kind=\"/rpc\"} 26"));
}

// Guards against lost calls that look like answered ones.
TEST_F(TrafficTest, CallsWithoutAResponseAreCountedApart) {
  callOnce("jobs.run");
  Http_.Answers = false;
  callOnce("jobs.run");
  EXPECT_TRUE(reports("geraniumbay_calls_total{kind=\"jobs.run\"} 2"));
  EXPECT_TRUE(
      reports("geraniumbay_calls_unanswered_total{kind=\"jobs.run\"} 1"));
}

} // namespace
} // namespace geraniumbay
