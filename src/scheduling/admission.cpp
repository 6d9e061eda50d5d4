//===- admission.cpp - Admission control for jobs -------------------------===//
//
// Compares the forecast with the job's laxity.
//
//===----------------------------------------------------------------------===//

#include "scheduling/admission.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// The shortest retry delay: a backlog as long as the shortest objectives
/// drains within it, and retries do not add noticeable load.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
/// The longest retry delay, also used where the wait cannot be predicted.
/// Bursts last a few seconds.
constexpr Duration MaxRetryAfter = std::chrono::seconds(4);
/// Retries are staggered over this many steps, up to twice the delay.
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
