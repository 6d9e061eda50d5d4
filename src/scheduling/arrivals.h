//===- arrivals.h - How much work comes in ----------------------*- C++ -*-===//
//
// The work that has been taken lately, by priority: what a job that waits must
// let pass.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ARRIVALS_H
#define GERANIUMBAY_SCHEDULING_ARRIVALS_H

#include "scheduling/coretime.h"

#include <array>

namespace geraniumbay::scheduling {

/// Priorities from this one on are counted together.
constexpr std::size_t PriorityClasses = 3;

/// The class of a priority; 0 goes first.
inline std::size_t classOf(std::uint32_t Priority) {
  return Priority < PriorityClasses ? Priority : PriorityClasses - 1;
}

/// Decaying means. All zero at the start.
struct Arrivals {
  /// Taken work by class, each part decayed since it came.
  std::array<CoreTime, PriorityClasses> Recent{};
  Time DecayedAt{};
};

/// Notes that work was taken.
void noteArrival(Arrivals &Load, std::uint32_t Priority, CoreTime Work,
                 Time Now);

/// The thousandths of a core that arrivals before \p Priority keep busy. Before
/// the last class and one more, that is all of them.
double urgentLoad(const Arrivals &Load, std::uint32_t Priority, Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ARRIVALS_H
