//===- askpace.h - How often entries ask the leader -------------*- C++ -*-===//
//
// Answers the pattern of hundreds of entries that ask one small VM for what has
// changed: each question costs it some tenths of a millisecond, whether or not
// there is news. Above some number of entries each asks less often, so that the
// questions of all together take a bounded share of the leader.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ASKPACE_H
#define GERANIUMBAY_SCHEDULING_ASKPACE_H

#include "framework/clock/iclock.h"

#include <cstddef>

namespace geraniumbay::scheduling {

/// The pause of a small group. A worker that drains must get no work two
/// seconds after that was acknowledged.
constexpr Duration ShortestAskPause = std::chrono::milliseconds(300);
/// What an entry must hear within two seconds still reaches it with one
/// question lost.
constexpr Duration LongestAskPause = std::chrono::milliseconds(800);
/// At a quarter of a millisecond each a tenth of a core.
constexpr std::size_t QuestionsPerSecond = 400;

/// How long each of \p Entries waits before it asks again.
Duration askPause(std::size_t Entries);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ASKPACE_H
