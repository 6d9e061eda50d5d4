//===- admission.cpp - Which jobs are taken -------------------------------===//
//
// Compares the forecast with the job's laxity.
//
//===----------------------------------------------------------------------===//

#include "scheduling/admission.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// Callers are told to wait for half a second at least: the time in which a
/// backlog that is as long as the shortest objectives drains, and a pause that
/// keeps those who return from being a load of their own.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
/// Where no end is in sight. Bursts last some seconds.
constexpr Duration MaxRetryAfter = std::chrono::seconds(4);
/// Returns are spread over this many parts of the pause, beyond its end.
constexpr std::size_t SpreadParts = 8;

} // namespace

const char *verdictName(Verdict Result) {
  switch (Result) {
  case Verdict::InTime:
    return "in_time";
  case Verdict::Late:
    return "late";
  case Verdict::Refused:
    return "refused";
  }
  return "refused";
}

Admission admit(const AnswerDeadlines &Deadlines, Duration Chain,
                const WaitForecast &Forecast, std::size_t Spread, Time Now) {
  Duration Laxity = Deadlines.SoftDeadline - Now - Chain;
  Duration LateLaxity = Deadlines.HardDeadline - Now - Chain;
  auto Within = [](std::optional<Duration> Wait, Duration Limit) {
    return Wait && *Wait <= std::max(Limit, Duration(0));
  };
  if (Within(Forecast.InTurn, Laxity))
    return {Verdict::InTime, Duration(0)};
  if (Within(Forecast.AsLate, LateLaxity))
    return {Verdict::Late, Duration(0)};
  Duration Shortfall =
      Forecast.InTurn ? *Forecast.InTurn - Laxity : MaxRetryAfter;
  return {Verdict::Refused, retryAfter(Shortfall, Spread)};
}

Duration retryAfter(Duration Wait, std::size_t Spread) {
  Duration Pause = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  auto Part = static_cast<Duration::rep>(Spread % SpreadParts);
  return Pause + Pause * Part / static_cast<int>(SpreadParts);
}

bool canMeetSoftDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now) {
  return Now + Chain <= Deadlines.SoftDeadline;
}

bool canMeetHardDeadline(const AnswerDeadlines &Deadlines, Duration Chain,
                         Time Now) {
  return Now + Chain <= Deadlines.HardDeadline;
}

} // namespace geraniumbay::scheduling
