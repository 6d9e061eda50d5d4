//===- systemclock.h - The clock of the machine -----------------*- C++ -*-===//
//
// The clock that processes run on.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_CLOCK_SYSTEMCLOCK_H
#define GERANIUMBAY_FRAMEWORK_CLOCK_SYSTEMCLOCK_H

#include "framework/clock/iclock.h"

namespace geraniumbay {

/// Reads the machine's monotonic and real-time clocks.
class SystemClock : public IClock {
public:
  Time now() const override;
  WallMillis wallNow() const override;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_CLOCK_SYSTEMCLOCK_H
