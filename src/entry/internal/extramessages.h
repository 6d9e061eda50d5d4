//===- extramessages.h - Retries and hedges within a budget -----*- C++ -*-===//
//
// When a repeatable task of this entry may be sent once more. The budget and
// what was learned of run times are shared by all tasks of the entry.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_EXTRAMESSAGES_H
#define GERANIUMBAY_ENTRY_INTERNAL_EXTRAMESSAGES_H

#include "dispatch/hedging.h"
#include "dispatch/runtimes.h"
#include "entry/submission.h"

#include <optional>
#include <unordered_map>

namespace geraniumbay::entry {

/// The budget and the profiles of one entry.
struct ExtraMessages {
  dispatch::MessageWeight Weight = dispatch::MessageWeight::Messages;
  dispatch::RetryBudget Budget;
  dispatch::RunTimes Times;
  std::unordered_map<ServiceId, dispatch::LateProfile> Profiles;
};

/// Takes note of a task that is sent for the first time.
void noteFirstTry(ExtraMessages &State);
/// Takes note of a task that took \p Ran at its worker.
void noteRun(ExtraMessages &State, const Submission &Request, Duration Ran,
             Time Now);
/// Takes one retry from the budget, if there is one.
bool takeRetry(ExtraMessages &State);
/// Takes one hedge from the budget, if there is one.
bool takeHedge(ExtraMessages &State);
/// When a task of \p Request that still runs is worth a hedge.
std::optional<Duration> hedgeDelay(const ExtraMessages &State,
                                   const Submission &Request, Time Now);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_EXTRAMESSAGES_H
