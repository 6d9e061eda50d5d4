//===- extramessages.cpp - Retries and hedges within a budget -------------===//
//
// The entry's view of the budget and of late tasks.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/extramessages.h"

namespace geraniumbay::entry {

namespace {

using dispatch::RequestKind;

/// Expected run time of a task of which nothing is known yet.
constexpr Duration UnknownRun = std::chrono::milliseconds(300);

Duration expectedRun(const ExtraMessages &State, const Submission &Request,
                     Time Now) {
  return dispatch::expectedRun(State.Times, Request.Service, Request.Caller,
                               Request.DeclaredRun, UnknownRun, Now);
}

} // namespace

void noteFirstTry(ExtraMessages &State) {
  dispatch::earn(State.Budget, dispatch::retryPolicy(State.Weight));
}

void noteRun(ExtraMessages &State, const Submission &Request, Duration Ran,
             Time Now) {
  Duration Expected = expectedRun(State, Request, Now);
  dispatch::learnLateness(State.Profiles[Request.Service], Expected, Ran);
  dispatch::learnRun(State.Times, Request.Service, Request.Caller,
                     Request.DeclaredRun, Ran, Now);
}

bool takeRetry(ExtraMessages &State) {
  return dispatch::takeRetry(State.Budget, dispatch::retryPolicy(State.Weight),
                             RequestKind::RepeatableSingle, /*Tries=*/1,
                             /*Started=*/true);
}

bool takeHedge(ExtraMessages &State) {
  return dispatch::takeHedge(State.Budget, dispatch::retryPolicy(State.Weight),
                             RequestKind::RepeatableSingle);
}

std::optional<Duration> hedgeDelay(const ExtraMessages &State,
                                   const Submission &Request, Time Now) {
  auto Found = State.Profiles.find(Request.Service);
  if (Found == State.Profiles.end())
    return std::nullopt;
  return dispatch::hedgeDelay(
      Found->second, dispatch::hedgePolicy(State.Weight),
      RequestKind::RepeatableSingle, expectedRun(State, Request, Now));
}

} // namespace geraniumbay::entry
