//===- askpace.cpp - Poll interval of entries -----------------------------===//
//
// Shares a bounded poll rate evenly; unanswered polls back off exponentially.
//
//===----------------------------------------------------------------------===//

#include "scheduling/askpace.h"

#include <algorithm>

namespace geraniumbay::scheduling {

Duration pollInterval(std::size_t Entries) {
  constexpr Duration Second = std::chrono::seconds(1);
  Duration EvenShare = Second * Entries / MaxPollsPerSecond;
  return std::clamp(EvenShare, MinPollInterval, MaxPollInterval);
}

Duration urgentPollInterval(Duration UsualInterval, std::size_t Unanswered) {
  constexpr Duration First = std::chrono::milliseconds(100);
  constexpr std::size_t MaxDoublings = 3;
  constexpr int UrgentDivisor = 3;
  Duration Backoff = First * (1U << std::min(Unanswered, MaxDoublings));
  return std::max(Backoff, UsualInterval / UrgentDivisor);
}

Duration replyTimeout(std::size_t Unanswered) {
  constexpr Duration First = std::chrono::milliseconds(400);
  constexpr std::size_t MaxDoublings = 2;
  return First * (1U << std::min(Unanswered, MaxDoublings));
}

} // namespace geraniumbay::scheduling
