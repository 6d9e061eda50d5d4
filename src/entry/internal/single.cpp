//===- single.cpp - The coordinator of a repeatable task ------------------===//
//
// The transitions of a single task that may run more than once.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/single.h"

#include "entry/internal/slots.h"

#include <algorithm>

namespace geraniumbay::entry {

namespace {

bool anyRunning(const Single &State) {
  return std::any_of(State.Attempts.begin(), State.Attempts.end(),
                     [](const Attempt &Try) { return Try.Held.has_value(); });
}

/// Ends the task: stops what still runs and gives the caller \p Answer.
JobActions end(Single &State, Result Answer) {
  JobActions Actions;
  State.Over = true;
  if (State.Acquiring > 0)
    Actions.push_back(CancelAcquireAction{});
  for (std::uint32_t I = 0; I < State.Attempts.size(); ++I) {
    Attempt &Try = State.Attempts[I];
    if (Try.Held)
      Actions.push_back(StopAction{TaskIndex(I), *Try.Held});
    Try.Held.reset();
  }
  Actions.push_back(ReplyAction{std::move(Answer)});
  return Actions;
}

JobActions acquireOne(Single &State) {
  ++State.Acquiring;
  ++State.Acquired;
  return {AcquireAction{1}};
}

/// Ends the task with \p Failure, which is told truthfully: "not run" only if
/// no attempt may have run.
JobActions endFailed(Single &State, Result Failure) {
  if (State.MaybeRan)
    Failure.DidRun = Ran::Maybe;
  return end(State, std::move(Failure));
}

/// Tries again after an attempt that gave no answer, if nothing else is under
/// way and \p Allowed says so.
JobActions retryOrEnd(Single &State, Result Failure, bool Allowed) {
  if (anyRunning(State) || State.Acquiring > 0) {
    State.LastFailure = std::move(Failure);
    return {};
  }
  if (!Allowed || State.Acquired >= MaxAttempts)
    return endFailed(State, std::move(Failure));
  return acquireOne(State);
}

Result failureOf(const TaskEvent &Event) {
  switch (Event.End) {
  case TaskEnd::Failed:
    return notRun(FailureReason::TaskFailed, Event.Text);
  case TaskEnd::NotStarted:
  case TaskEnd::Refused:
    return notRun(FailureReason::NoWorkers, Event.Text,
                  std::chrono::seconds(1));
  case TaskEnd::Succeeded:
  case TaskEnd::Unknown:
    break;
  }
  return notRun(FailureReason::WorkerLost, Event.Text);
}

} // namespace

JobActions startSingle(Single &State, Submission Request) {
  State.Request = std::move(Request);
  return acquireOne(State);
}

JobActions onLease(Single &State, const dispatch::Lease &Held) {
  if (State.Over || State.Acquiring == 0)
    return {ReleaseLeaseAction{Held, dispatch::LeaseOutcome::NotStarted}};
  --State.Acquiring;
  State.Attempts.push_back(Attempt{Held});
  auto Number = static_cast<std::uint32_t>(State.Attempts.size() - 1);
  return {StartAction{TaskIndex(Number), Held}};
}

JobActions onRejected(Single &State, const dispatch::Rejection &Event) {
  if (State.Over || State.Acquiring == 0)
    return {};
  --State.Acquiring;
  // A rejected hedge leaves the first attempt running.
  if (anyRunning(State))
    return {};
  Result Failure =
      State.LastFailure ? *State.LastFailure : rejectedResult(Event);
  if (!ownerGone(Event) || State.Acquired >= MaxAttempts)
    return endFailed(State, std::move(Failure));
  return acquireOne(State);
}

JobActions onTaskEnd(Single &State, const TaskEvent &Event,
                     const TakeToken &Take) {
  Attempt &Try = State.Attempts[Event.Task.value()];
  if (State.Over || !Try.Held)
    return {};
  JobActions Actions = {
      ReleaseLeaseAction{*Try.Held, leaseOutcomeOf(Event.End), Event.Ran}};
  Try.Held.reset();
  JobActions More;
  if (Event.End == TaskEnd::Succeeded) {
    Result Answer;
    Answer.Answers.push_back(Event.Text);
    More = end(State, std::move(Answer));
  } else {
    bool Unstarted =
        Event.End == TaskEnd::NotStarted || Event.End == TaskEnd::Refused;
    State.MaybeRan |= !Unstarted;
    bool Busy = anyRunning(State) || State.Acquiring > 0;
    More = retryOrEnd(State, failureOf(Event), !Busy && Take());
  }
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
  return Actions;
}

JobActions onHedgeDue(Single &State, const TakeToken &Take) {
  bool Useful = !State.Over && !State.Hedged && anyRunning(State) &&
                State.Acquiring == 0 && State.Acquired < MaxAttempts;
  if (!Useful || !Take())
    return {};
  State.Hedged = true;
  return acquireOne(State);
}

JobActions onDeadline(Single &State) {
  if (State.Over)
    return {};
  State.MaybeRan |= anyRunning(State);
  return endFailed(State, notRun(FailureReason::DeadlineExceeded,
                                 "the deadline has passed"));
}

JobActions onCancel(Single &State) {
  if (State.Over)
    return {};
  State.MaybeRan |= anyRunning(State);
  return endFailed(State,
                   notRun(FailureReason::Cancelled, "cancelled by the caller"));
}

} // namespace geraniumbay::entry
