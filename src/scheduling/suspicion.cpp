//===- suspicion.cpp - Detection of crashing tasks ------------------------===//

#include "scheduling/suspicion.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// Crashes after which a task is quarantined: if it was alone in the last one,
/// and if other tasks may have caused all of them.
constexpr std::uint32_t QuarantineCrashesAlone = 2;
constexpr std::uint32_t QuarantineCrashes = 3;
/// The same for a task that was alone, counting losses that may not have been
/// crashes.
constexpr std::uint32_t QuarantineLossesAlone = 3;
/// Silent losses after which a task is suspected.
constexpr std::uint32_t SuspectSilentLosses = 2;
/// One in this many workers may run suspects.
constexpr std::size_t WorkersPerSuspectHost = 6;

} // namespace

const char *workerLossName(WorkerLoss Loss) {
  switch (Loss) {
  case WorkerLoss::Crashed:
    return "crashed";
  case WorkerLoss::Refused:
    return "refused";
  case WorkerLoss::Silent:
    return "silent";
  }
  return "silent";
}

void noteLoss(Suspicion &Task, WorkerLoss Loss, bool Alone) {
  ++Task.Losses;
  if (Loss == WorkerLoss::Crashed)
    ++Task.Crashes;
  Task.Suspected = Task.Suspected || Loss != WorkerLoss::Silent ||
                   Task.Losses >= SuspectSilentLosses;
  Task.Quarantined = Task.Quarantined || Task.Crashes >= QuarantineCrashes ||
                     (Alone && (Task.Crashes >= QuarantineCrashesAlone ||
                                Task.Losses >= QuarantineLossesAlone));
}

void merge(Suspicion &Into, const Suspicion &Other) {
  Into.Crashes = std::max(Into.Crashes, Other.Crashes);
  Into.Losses = std::max(Into.Losses, Other.Losses);
  Into.Suspected = Into.Suspected || Other.Suspected;
  Into.Quarantined = Into.Quarantined || Other.Quarantined;
}

std::size_t maxWorkersForSuspects(std::size_t Workers) {
  return std::max<std::size_t>(1, Workers / WorkersPerSuspectHost);
}

} // namespace geraniumbay::scheduling
