//===- taskrules.cpp - What a task of the stand-in does -------------------===//
//
// Run times and answers as functions of the payload.
//
//===----------------------------------------------------------------------===//

#include "standin/internal/taskrules.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace geraniumbay::standin {

std::optional<Duration> runTimeIn(const std::string &Payload) {
  constexpr std::string_view Prefix = "run_ms=";
  constexpr std::uint32_t MaxMillis = 600'000;
  if (!Payload.starts_with(Prefix))
    return std::nullopt;
  const char *Begin = Payload.data() + Prefix.size();
  const char *End = Payload.data() + Payload.size();
  std::uint32_t Millis = 0;
  auto [Rest, Failure] = std::from_chars(Begin, End, Millis);
  if (Failure != std::errc() || Rest == End || *Rest != ';' ||
      Millis > MaxMillis)
    return std::nullopt;
  return std::chrono::milliseconds(Millis);
}

Duration drawRunTime(const StandInSettings &Settings, Random &Numbers) {
  double Mean = static_cast<double>(Settings.MeanRun.count());
  Duration Drawn(std::llround(-Mean * std::log1p(-Numbers.unit())));
  return std::clamp(Drawn, Settings.MinRun, Settings.MaxRun);
}

std::string resultOf(const std::string &Payload) { return "done:" + Payload; }

} // namespace geraniumbay::standin
