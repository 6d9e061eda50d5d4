//===- arrivals.h - Rate of incoming work -----------------------*- C++ -*-===//
//
// Recently admitted work by priority. Used to predict how much more urgent work
// will overtake a waiting job.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_ARRIVALS_H
#define GERANIUMBAY_SCHEDULING_ARRIVALS_H

#include "scheduling/coretime.h"

#include <array>

namespace geraniumbay::scheduling {

/// Number of priority classes; all lower-ranking priorities share the last one.
constexpr std::size_t PriorityClasses = 3;

/// The class of a priority; 0 is the most urgent.
inline std::size_t classOf(std::uint32_t Priority) {
  return Priority < PriorityClasses ? Priority : PriorityClasses - 1;
}

/// Exponentially decaying sums; all zero initially.
struct Arrivals {
  /// Admitted work by class, each part decayed by its age.
  std::array<CoreTime, PriorityClasses> Recent{};
  Time DecayedAt{};
};

/// Records admitted work.
void noteArrival(Arrivals &Load, std::uint32_t Priority, CoreTime Work,
                 Time Now);

/// The load, in thousandths of a core, from arrivals more urgent than \p
/// Priority. From PriorityClasses on, all arrivals count.
double urgentLoad(const Arrivals &Load, std::uint32_t Priority, Time Now);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_ARRIVALS_H
