//===- metrics.cpp - Counters and histograms of this process --------------===//
//
// Metrics by prometheus-cpp.
//
//===----------------------------------------------------------------------===//

#include "framework/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace geraniumbay {

namespace {

/// Upper bounds in seconds: tasks take 50 ms to several seconds.
const prometheus::Histogram::BucketBoundaries TimeBuckets = {
    0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

} // namespace

struct Metrics::Impl {
  prometheus::Registry Registry;
};

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const std::string &Help,
                    const MetricLabels &Labels) {
  add(Name, Help, Labels, 1);
}

void Metrics::add(const std::string &Name, const std::string &Help,
                  const MetricLabels &Labels, double Amount) {
  prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(Impl_->Registry)
      .Add(Labels)
      .Increment(Amount);
}

void Metrics::set(const std::string &Name, const std::string &Help,
                  const MetricLabels &Labels, double Value) {
  prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(Impl_->Registry)
      .Add(Labels)
      .Set(Value);
}

void Metrics::observe(const std::string &Name, const std::string &Help,
                      const MetricLabels &Labels, Duration Took) {
  prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(Impl_->Registry)
      .Add(Labels, TimeBuckets)
      .Observe(std::chrono::duration<double>(Took).count());
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry.Collect());
}

} // namespace geraniumbay
