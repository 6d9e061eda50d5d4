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

} // namespace geraniumbay::scheduling
