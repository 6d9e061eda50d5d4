//===- calltiming.h - How calls to workers fare -----------------*- C++ -*-===//
//
// What a pool's owner learns from its own calls to workers: how long an order
// takes until it is answered, and whether answers get lost.
//
// The pattern: a wide job gives an owner with little processor time some
// fifteen orders at once. The last ones leave after those before them, and
// their answers wait behind all others, so that they take several times as long
// as usual. If they are valid for the usual time only, workers refuse them as
// late, each is ordered anew, and the owner has still more to do.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_CALLTIMING_H
#define GERANIUMBAY_SCHEDULING_CALLTIMING_H

#include "framework/clock/iclock.h"

#include <optional>

namespace geraniumbay::scheduling {

struct CallTiming {
  /// The longest that an order took lately until its answer was read. It goes
  /// down by a part with each shorter one.
  Duration Latency{0};
  /// When an answer was last found to be lost.
  std::optional<Time> LostAt;
};

/// Notes an order that was answered after \p Took.
void noteAnswered(CallTiming &Timing, Duration Latency);
/// Notes that a call got no answer though its worker has answered a later one.
void noteAnswerLost(CallTiming &Timing, Time Now);

/// Whether answers got lost lately, so that who waits for one asks again soon.
bool losesAnswers(const CallTiming &Timing, Time Now);
/// How long an order that is sent now is to be valid, within the bounds.
Duration orderValidity(const CallTiming &Timing, Duration Min, Duration Max);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_CALLTIMING_H
