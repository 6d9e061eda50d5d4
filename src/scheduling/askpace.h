//===- askpace.h - How often entries ask the leader -------------*- C++ -*-===//
//
// Answers the pattern of hundreds of entries that ask one small VM for what has
// changed: each question costs it some tenths of a millisecond, whether or not
// there is news. Above some number of entries each asks less often, so that the
// questions of all together take a bounded share of the leader.
//
// The second pattern is a leader that cannot answer in time, as when all
// entries start at once and need whole lists: entries that give their questions
// up and put them again keep it busy with answers that nobody waits for. Each
// waits longer for its answer, and longer before it asks again, the more of its
// questions were not answered.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ASKPACE_H
#define GERANIUMBAY_SCHEDULING_ASKPACE_H

#include "framework/clock/iclock.h"

#include <cstddef>

namespace geraniumbay::scheduling {

/// The pause of a small group. A worker that drains must get no work two
/// seconds after that was acknowledged.
constexpr Duration MinPollInterval = std::chrono::milliseconds(300);
/// What an entry must hear within two seconds still reaches it with one
/// question lost.
constexpr Duration MaxPollInterval = std::chrono::milliseconds(800);
/// At a quarter of a millisecond each a tenth of a core.
constexpr std::size_t MaxPollsPerSecond = 400;

/// How long each of \p Entries waits before it asks again.
Duration pollInterval(std::size_t Entries);

/// The pause of an entry that needs an answer now. \p Told: its usual pause;
/// \p Unanswered: its last questions in a row that the leader did not answer.
Duration urgentPollInterval(Duration UsualInterval, std::size_t Unanswered);

/// How long the next question waits for its answer. At first as long as shows
/// that a leader which is there does not answer.
Duration replyTimeout(std::size_t Unanswered);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ASKPACE_H
