//===- tracetest.cpp - Tests of traces and metrics ------------------------===//

#include "framework/clock/manualclock.h"
#include "framework/metrics/metrics.h"
#include "framework/trace/tracer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

constexpr const char *Parent =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(TraceTest, ASpanJoinsTheTraceOfItsCaller) {
  ManualClock Clock;
  Random Numbers(1);
  Tracer Spans(Clock, Numbers, {});
  Span Server = Spans.beginServer("job", Parent);
  EXPECT_EQ(Server.Context.TraceId, "4bf92f3577b34da6a3ce929d0e0e4736");
  EXPECT_EQ(Server.ParentId, 0x00f067aa0ba902b7U);
  EXPECT_TRUE(Server.Context.Sampled);
  Span Child = Spans.beginChild(Server, "task");
  EXPECT_EQ(Child.ParentId, Server.Context.SpanId);
}

TEST(TraceTest, AMalformedHeaderBeginsANewTrace) {
  ManualClock Clock;
  Random Numbers(1);
  Tracer Spans(Clock, Numbers, {});
  EXPECT_EQ(Spans.beginServer("job", "00-zz").ParentId, 0U);
}

TEST(TraceTest, AHeaderIsReadBackAsWritten) {
  EXPECT_EQ(formatTraceParent(*parseTraceParent(Parent)), Parent);
}

RC_GTEST_PROP(TraceTest, RandomHeadersNeverCrash, (const std::string &Text)) {
  parseTraceParent(Text);
}

TEST(MetricsTest, WritesWhatWasCounted) {
  Metrics All;
  All.count("gb_tasks_total", "Tasks.", {{"class", "urgent"}});
  All.count("gb_tasks_total", "Tasks.", {{"class", "urgent"}});
  All.observe("gb_response_seconds", "Response time.", {},
              std::chrono::milliseconds(70));
  std::string Text = All.text();
  EXPECT_NE(Text.find("gb_tasks_total{class=\"urgent\"} 2"), std::string::npos);
  EXPECT_NE(Text.find("gb_response_seconds_bucket{le=\"0.1\"} 1"),
            std::string::npos);
}

} // namespace
} // namespace geraniumbay
