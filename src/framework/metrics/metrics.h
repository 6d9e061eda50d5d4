//===- metrics.h - Counters and histograms of this process ------*- C++ -*-===//
//
// A thin layer over prometheus-cpp: every metric has its unit in its name and
// a help text, and is written as text for GET /metrics.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_METRICS_METRICS_H
#define GERANIUMBAY_FRAMEWORK_METRICS_METRICS_H

#include "framework/clock/iclock.h"

#include <map>
#include <memory>
#include <string>

namespace geraniumbay {

/// Labels of one metric.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of this process.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds one to the counter \p Name; \p Help counts at its first use.
  void count(const std::string &Name, const std::string &Help,
             const MetricLabels &Labels);
  /// Adds \p Amount, which is not negative, to the counter \p Name.
  void add(const std::string &Name, const std::string &Help,
           const MetricLabels &Labels, double Amount);
  /// Sets the gauge \p Name.
  void set(const std::string &Name, const std::string &Help,
           const MetricLabels &Labels, double Value);
  /// Takes \p Took into the histogram \p Name, whose unit is seconds.
  void observe(const std::string &Name, const std::string &Help,
               const MetricLabels &Labels, Duration Took);

  /// All metrics in Prometheus's text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_METRICS_METRICS_H
