//===- measurement.h - What a run of the model measured ---------*- C++ -*-===//
//
// Collects what became of requests, tasks and messages, and writes it as one
// line of JSON.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_MEASUREMENT_H
#define GERANIUMBAY_MODEL_MEASUREMENT_H

#include "framework/clock/iclock.h"

#include <array>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace geraniumbay::model {

/// Why a message was of no use.
enum class Waste : std::uint8_t {
  GuardRefusal, ///< The worker had no free slot.
  Unreachable,  ///< Sent to a worker that was gone.
  Retry,        ///< A further try after a failure.
  Hedge,        ///< A second copy of a task that was late.
  LateAnswer,   ///< An answer that nobody waited for any more.
  UnusedLease,  ///< A lease that was given back unused.
  Reroute,      ///< A pool refused and another one had to be asked.
};
constexpr std::size_t WasteKinds = 7;

/// Quantiles of response over ideal.
struct Ratios {
  std::vector<double> Values;

  void add(double Value) { Values.push_back(Value); }
  /// The quantile \p Part of all values, or 0 without any.
  double quantile(double Part) const;
  double mean() const;
};

/// Everything that a run counts. Requests count when they arrive in the
/// measured time, messages and tasks in the whole run.
struct Measurement {
  std::string Deployment;
  std::string Scene;
  std::string Policy;
  /// By class: urgent, routine.
  std::array<Ratios, 2> Responses;
  /// Singles of the teams that do not burst.
  Ratios CalmTeams;
  /// Time from a request to its answer "not run", in milliseconds.
  Ratios NotRunMillis;
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Failed = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Cancelled = 0;
  /// Requests that came back when they were told to, and those that were then
  /// answered completely.
  std::uint64_t Returns = 0;
  std::uint64_t ReturnsComplete = 0;
  std::uint64_t Tasks = 0;
  /// Starts beyond the first of tasks that must not repeat.
  std::uint64_t DoubleStarts = 0;
  /// Tasks of jobs that started and did not become part of an answer.
  std::uint64_t StartedInVain = 0;
  std::array<std::uint64_t, WasteKinds> Wasted{};
  /// Messages between entries.
  std::uint64_t ControlMessages = 0;
  /// Run time of tasks that became part of an answer within the load, over
  /// the capacity of all workers.
  double Goodput = 0;
  /// Most tasks sent to one failing worker before its first probe.
  std::uint64_t FailingWorkerTasks = 0;
  /// Most slots of healthy workers that pools left out at one time.
  std::uint64_t HealthySlotsLeftOut = 0;
  /// Slots that pools use at the end of the run.
  std::uint64_t SlotsAtEnd = 0;

  void waste(Waste Why) { ++Wasted[static_cast<std::size_t>(Why)]; }
};

/// Writes \p Measured; counts of messages are given per task.
Json::Value toJson(const Measurement &Measured);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_MEASUREMENT_H
