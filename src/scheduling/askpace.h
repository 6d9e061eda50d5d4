//===- askpace.h - Poll interval of entries ---------------------*- C++ -*-===//
//
// Hundreds of entries poll one small leader VM for changes, and each poll costs
// it some tenths of a millisecond, with or without news. Above a certain number
// of entries each polls less often, so that all polls together take a bounded
// share of the leader.
//
// A leader may also be too slow to answer in time, for example when all entries
// start at once and need full lists. Entries that time out and retry then keep
// it busy with answers that nobody waits for. So both the reply timeout and the
// poll interval grow with the number of unanswered polls.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ASKPACE_H
#define GERANIUMBAY_SCHEDULING_ASKPACE_H

#include "framework/clock/iclock.h"

#include <cstddef>

namespace geraniumbay::scheduling {

/// The interval in small groups. A draining worker must get no new work from
/// two seconds after its drain was acknowledged, so entries must learn of it in
/// time.
constexpr Duration MinPollInterval = std::chrono::milliseconds(300);
/// News that must reach an entry within two seconds does so even if one poll is
/// lost.
constexpr Duration MaxPollInterval = std::chrono::milliseconds(800);
/// At a quarter of a millisecond per poll this takes a tenth of a core.
constexpr std::size_t MaxPollsPerSecond = 400;

/// The poll interval of each of \p Entries entries.
Duration pollInterval(std::size_t Entries);

/// The interval for an entry that needs an answer now. \p UsualInterval is its
/// normal interval, \p Unanswered the number of consecutive polls without an
/// answer.
Duration urgentPollInterval(Duration UsualInterval, std::size_t Unanswered);

/// The reply timeout of the next poll. The first is just long enough to show
/// that a reachable leader does not answer.
Duration replyTimeout(std::size_t Unanswered);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ASKPACE_H
