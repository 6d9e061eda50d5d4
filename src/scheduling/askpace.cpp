//===- askpace.cpp - How often entries ask the leader ---------------------===//
//
// A bounded rate shared by all.
//
//===----------------------------------------------------------------------===//

#include "scheduling/askpace.h"

#include <algorithm>

namespace geraniumbay::scheduling {

Duration askPause(std::size_t Entries) {
  constexpr Duration Second = std::chrono::seconds(1);
  Duration Even = Second * Entries / QuestionsPerSecond;
  return std::clamp(Even, ShortestAskPause, LongestAskPause);
}

Duration urgentPause(Duration Told, std::size_t Unanswered) {
  constexpr Duration First = std::chrono::milliseconds(100);
  constexpr std::size_t MostDoublings = 3;
  constexpr int UrgentShare = 3;
  Duration Backoff = First * (1U << std::min(Unanswered, MostDoublings));
  return std::max(Backoff, Told / UrgentShare);
}

Duration answerPatience(std::size_t Unanswered) {
  constexpr Duration First = std::chrono::milliseconds(400);
  constexpr std::size_t MostDoublings = 2;
  return First * (1U << std::min(Unanswered, MostDoublings));
}

} // namespace geraniumbay::scheduling
