//===- coretime.h - Work in cores times time --------------------*- C++ -*-===//
//
// The unit of work and backlogs. A type of its own keeps it from being mixed up
// with numbers of cores and with durations.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_CORETIME_H
#define GERANIUMBAY_SCHEDULING_CORETIME_H

#include "framework/clock/iclock.h"

namespace geraniumbay::scheduling {

/// Thousandths of a core.
using MilliCores = std::uint64_t;

/// Work, in thousandths of a core times microseconds.
struct CoreTime {
  double Value = 0;

  CoreTime &operator+=(CoreTime Other) {
    Value += Other.Value;
    return *this;
  }
};

/// The work of a task that uses \p Cores for \p RunTime.
inline CoreTime workOf(MilliCores Cores, Duration RunTime) {
  return {static_cast<double>(Cores) * static_cast<double>(RunTime.count())};
}

/// The time that \p Cores need for \p Work. \p Cores is above 0.
inline Duration timeFor(CoreTime Work, double Cores) {
  return Duration(static_cast<Duration::rep>(Work.Value / Cores));
}

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_CORETIME_H
