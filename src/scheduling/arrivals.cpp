//===- arrivals.cpp - Rate of incoming work -------------------------------===//
//
// Exponential decay.
//
//===----------------------------------------------------------------------===//

#include "scheduling/arrivals.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::scheduling {

namespace {

/// A mean over one second follows bursts, which build up within a second, and
/// still averages over a hundred jobs at a hundred jobs a second.
constexpr Duration TimeConstant = std::chrono::seconds(1);

double decay(const Arrivals &Load, Time Now) {
  auto Passed = static_cast<double>((Now - Load.DecayedAt).count());
  return std::exp(-Passed / static_cast<double>(TimeConstant.count()));
}

} // namespace

void noteArrival(Arrivals &Load, std::uint32_t Priority, CoreTime Work,
                 Time Now) {
  double Factor = decay(Load, Now);
  for (CoreTime &Each : Load.Recent)
    Each.Value *= Factor;
  Load.DecayedAt = Now;
  Load.Recent[classOf(Priority)] += Work;
}

double urgentLoad(const Arrivals &Load, std::uint32_t Priority, Time Now) {
  CoreTime Sum;
  std::size_t Before = std::min<std::size_t>(Priority, PriorityClasses);
  for (std::size_t Class = 0; Class < Before; ++Class)
    Sum += Load.Recent[Class];
  return Sum.Value * decay(Load, Now) /
         static_cast<double>(TimeConstant.count());
}

} // namespace geraniumbay::scheduling
