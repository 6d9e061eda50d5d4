//===- measurement.cpp - What a run of the model measured -----------------===//
//
// Quantiles and the JSON line.
//
//===----------------------------------------------------------------------===//

#include "model/measurement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace geraniumbay::model {
namespace {

constexpr std::array<const char *, WasteKinds> WasteNames = {
    "guard_refusal", "unreachable",  "retry",  "hedge",
    "late_answer",   "unused_lease", "reroute"};

/// Rounds for people: figures beyond the fourth decimal place are noise.
double rounded(double Value) {
  constexpr double Places = 1e4;
  return std::round(Value * Places) / Places;
}

double perTask(const Measurement &Measured, std::uint64_t Count) {
  double Tasks = std::max<double>(1, static_cast<double>(Measured.Tasks));
  return rounded(static_cast<double>(Count) / Tasks);
}

Json::Value ratiosJson(const Ratios &Of) {
  constexpr double Median = 0.5;
  constexpr double Tail = 0.99;
  Json::Value Result(Json::objectValue);
  Result["count"] = static_cast<Json::UInt64>(Of.Values.size());
  Result["p50"] = rounded(Of.quantile(Median));
  Result["p99"] = rounded(Of.quantile(Tail));
  Result["mean"] = rounded(Of.mean());
  return Result;
}

Json::Value wasteJson(const Measurement &Measured) {
  Json::Value Result(Json::objectValue);
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < WasteKinds; ++I) {
    Result[WasteNames[I]] = perTask(Measured, Measured.Wasted[I]);
    Sum += Measured.Wasted[I];
  }
  Result["sum"] = perTask(Measured, Sum);
  return Result;
}

double meanOfBoth(const Measurement &Measured) {
  Ratios All = Measured.Responses[0];
  const auto &Routine = Measured.Responses[1].Values;
  All.Values.insert(All.Values.end(), Routine.begin(), Routine.end());
  return All.mean();
}

} // namespace

double Ratios::quantile(double Part) const {
  if (Values.empty())
    return 0;
  std::vector<double> Sorted = Values;
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Sorted.size() - 1));
  auto Place = Sorted.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Sorted.begin(), Place, Sorted.end());
  return *Place;
}

double Ratios::mean() const {
  if (Values.empty())
    return 0;
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

Json::Value toJson(const Measurement &Measured) {
  Json::Value Line(Json::objectValue);
  Line["deployment"] = Measured.Deployment;
  Line["scene"] = Measured.Scene;
  Line["policy"] = Measured.Policy;
  Line["urgent"] = ratiosJson(Measured.Responses[0]);
  Line["routine"] = ratiosJson(Measured.Responses[1]);
  Line["calm_teams"] = ratiosJson(Measured.CalmTeams);
  Line["mean"] = rounded(meanOfBoth(Measured));
  Line["goodput"] = rounded(Measured.Goodput);
  Line["requests"] = static_cast<Json::UInt64>(Measured.Requests);
  Line["complete"] = static_cast<Json::UInt64>(Measured.Complete);
  Line["failed"] = static_cast<Json::UInt64>(Measured.Failed);
  Line["not_run"] = static_cast<Json::UInt64>(Measured.NotRun);
  Line["not_run_ms"] = ratiosJson(Measured.NotRunMillis);
  Line["cancelled"] = static_cast<Json::UInt64>(Measured.Cancelled);
  Line["returns"] = static_cast<Json::UInt64>(Measured.Returns);
  Line["returns_complete"] =
      static_cast<Json::UInt64>(Measured.ReturnsComplete);
  Line["tasks"] = static_cast<Json::UInt64>(Measured.Tasks);
  Line["double_starts"] = static_cast<Json::UInt64>(Measured.DoubleStarts);
  Line["started_in_vain"] = perTask(Measured, Measured.StartedInVain);
  Line["wasted"] = wasteJson(Measured);
  Line["control_messages"] = perTask(Measured, Measured.ControlMessages);
  Line["failing_worker_tasks"] =
      static_cast<Json::UInt64>(Measured.FailingWorkerTasks);
  Line["healthy_slots_left_out"] =
      static_cast<Json::UInt64>(Measured.HealthySlotsLeftOut);
  Line["slots_at_end"] = static_cast<Json::UInt64>(Measured.SlotsAtEnd);
  return Line;
}

} // namespace geraniumbay::model
