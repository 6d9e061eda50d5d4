//===- calltiming.h - Latency and loss of worker calls ----------*- C++ -*-===//
//
// Statistics that a pool's owner keeps of its own calls to workers: the time
// until a start order is answered, and whether answers get lost.
//
// A wide job makes an owner with little processor time send some fifteen orders
// at once. The last of them leave late and their answers queue behind the
// others, so that they take several times as long as usual. If they were valid
// for the usual time only, workers would refuse them as late and each would be
// ordered again, which adds to the load.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_CALLTIMING_H
#define GERANIUMBAY_SCHEDULING_CALLTIMING_H

#include "framework/clock/iclock.h"

#include <optional>

namespace geraniumbay::scheduling {

struct CallTiming {
  /// Decaying maximum of the time from sending an order until its answer was
  /// read.
  Duration Latency{0};
  /// When the last lost answer was detected.
  std::optional<Time> LostAt;
};

/// Records that an order was answered after \p Latency.
void noteAnswered(CallTiming &Timing, Duration Latency);
/// Records that a call got no answer although its worker has answered a later
/// one.
void noteAnswerLost(CallTiming &Timing, Time Now);

/// Whether answers were lost recently, so that calls should be repeated sooner.
bool losesAnswers(const CallTiming &Timing, Time Now);
/// The validity of an order sent now, clamped to [\p Min, \p Max].
Duration orderValidity(const CallTiming &Timing, Duration Min, Duration Max);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_CALLTIMING_H
