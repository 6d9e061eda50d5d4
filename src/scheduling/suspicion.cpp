//===- suspicion.cpp - Which task crashes its workers ---------------------===//

#include "scheduling/suspicion.h"

#include <algorithm>

namespace geraniumbay::scheduling {

namespace {

/// Crashes after which a task that was alone in the last one is guilty, and one
/// that may not have been the cause of any.
constexpr std::uint32_t QuarantineCrashesAlone = 2;
constexpr std::uint32_t QuarantineCrashes = 3;
/// The same for losses that may have been no crashes.
constexpr std::uint32_t QuarantineLossesAlone = 3;
/// Losses without a sign of a crash after which a task is suspected.
constexpr std::uint32_t SuspectSilentLosses = 2;
/// Of so many workers one may run suspects.
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
