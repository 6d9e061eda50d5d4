//===- job.cpp - The coordinator of one submission ------------------------===//
//
// The transitions of a submission that runs at most once.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/job.h"

#include "entry/internal/slots.h"

#include <algorithm>

namespace geraniumbay::entry {

namespace {

using dispatch::Lease;
using dispatch::LeaseOutcome;
using Phase = TaskState::Phase;

/// When a caller asks again whom nobody could tell whether it ran.
constexpr Duration AskAgain = std::chrono::seconds(1);

bool decided(const Job &State) { return State.Phase >= JobPhase::Recording; }

TaskState &taskAt(Job &State, TaskIndex Task) {
  return State.Tasks[Task.value()];
}

/// Gives back the leases of tasks that were not started.
void releaseUnstarted(Job &State, JobActions &Actions) {
  Actions.push_back(CancelAcquireAction{});
  for (TaskState &Task : State.Tasks) {
    if (Task.Now != Phase::Leased)
      continue;
    Actions.push_back(ReleaseLeaseAction{*Task.Held, LeaseOutcome::NotStarted});
    Task.Held.reset();
    Task.Now = Phase::Waiting;
  }
}

void stopRunning(Job &State, JobActions &Actions) {
  for (std::uint32_t I = 0; I < State.Tasks.size(); ++I) {
    TaskState &Task = State.Tasks[I];
    if (Task.Now != Phase::Running)
      continue;
    Actions.push_back(StopAction{TaskIndex(I), *Task.Held});
    Task.Held.reset();
    Task.Now = Phase::Stopped;
  }
}

void reply(Job &State, Result Answer, JobActions &Actions) {
  State.Phase = JobPhase::Over;
  State.Answer = Answer;
  Actions.push_back(ReplyAction{std::move(Answer)});
}

/// Ends a submission of which nothing was started.
JobActions endUnstarted(Job &State, Result Answer, bool MayHoldClaim) {
  JobActions Actions;
  releaseUnstarted(State, Actions);
  if (MayHoldClaim)
    Actions.push_back(ReleaseClaimAction{});
  reply(State, std::move(Answer), Actions);
  return Actions;
}

/// Gives up a submission whose claim is under way. Its caller is answered when
/// the ledger has told whether an earlier submission ran.
JobActions shed(Job &State, Result Failure) {
  JobActions Actions;
  releaseUnstarted(State, Actions);
  State.Shed = std::move(Failure);
  return Actions;
}

/// Ends a submission at once although the ledger has not told whether an
/// earlier one ran: "not run" is only true if the caller says there was none.
JobActions endUnknown(Job &State, Result Failure) {
  if (!State.Request.First) {
    Failure.DidRun = Ran::Maybe;
    Failure.RetryAfter = AskAgain;
  }
  return endUnstarted(State, std::move(Failure), /*MayHoldClaim=*/true);
}

/// Decides the answer and records it; the caller gets it from onRecorded.
void decide(Job &State, Result Answer, JobActions &Actions) {
  State.Phase = JobPhase::Recording;
  State.Answer = Answer;
  Actions.push_back(RecordAction{std::move(Answer)});
}

/// Fails a submission whatever it has reached. \p Failure is its result if
/// nothing was started.
JobActions failJob(Job &State, Result Failure) {
  if (State.Phase == JobPhase::Starting)
    return shed(State, std::move(Failure));
  if (!State.StartedAny)
    return endUnstarted(State, std::move(Failure), /*MayHoldClaim=*/true);
  JobActions Actions;
  releaseUnstarted(State, Actions);
  stopRunning(State, Actions);
  decide(State, mayHaveRun(Failure.Reason, std::move(Failure.Detail)), Actions);
  return Actions;
}

void startTask(Job &State, std::uint32_t Index, JobActions &Actions) {
  TaskState &Task = State.Tasks[Index];
  Task.Now = Phase::Running;
  State.StartedAny = true;
  Actions.push_back(StartAction{TaskIndex(Index), *Task.Held});
}

Result collectAnswers(Job &State) {
  Result Answer;
  for (TaskState &Task : State.Tasks)
    Answer.Answers.push_back(std::move(Task.Answer));
  return Answer;
}

/// Asks for slots again for tasks that provably did not start.
JobActions acquireAgain(Job &State, std::uint32_t Tasks, Result IfGivenUp) {
  State.Reacquired += Tasks;
  if (State.Reacquired > MaxReacquiresPerTask * State.Tasks.size())
    return failJob(State, std::move(IfGivenUp));
  return {AcquireAction{Tasks}};
}

std::uint32_t countWaiting(const Job &State) {
  return static_cast<std::uint32_t>(std::count_if(
      State.Tasks.begin(), State.Tasks.end(),
      [](const TaskState &Task) { return Task.Now == Phase::Waiting; }));
}

void append(JobActions &Actions, JobActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

/// A task of which it is proved that it did not start waits for a slot again.
JobActions onUnstartedTask(Job &State, TaskState &Task) {
  Task.Now = Phase::Waiting;
  bool AnyOther = std::any_of(
      State.Tasks.begin(), State.Tasks.end(), [](const TaskState &Other) {
        return Other.Now == Phase::Running || Other.Now == Phase::Succeeded ||
               Other.Now == Phase::Stopped;
      });
  State.StartedAny = AnyOther;
  return acquireAgain(State, 1,
                      notRun(FailureReason::NoWorkers,
                             "workers keep refusing its tasks",
                             std::chrono::seconds(1)));
}

} // namespace

JobActions startJob(Job &State, Submission Request) {
  State.Request = std::move(Request);
  State.Tasks.resize(State.Request.Payloads.size());
  auto Count = static_cast<std::uint32_t>(State.Tasks.size());
  return {ClaimAction{}, AcquireAction{Count}};
}

JobActions onClaim(Job &State, const ClaimEvent &Event) {
  if (State.Phase != JobPhase::Starting)
    return {};
  if (const auto *Answered = std::get_if<ClaimAnswered>(&Event))
    return endUnstarted(State, Answered->Answer, /*MayHoldClaim=*/false);
  if (const auto *Refused = std::get_if<ClaimRefused>(&Event)) {
    Result Answer = Refused->Answer;
    if (State.Request.First && Answer.Reason != FailureReason::HeldElsewhere)
      Answer.DidRun = Ran::No;
    return endUnstarted(State, std::move(Answer), Refused->MayHoldClaim);
  }
  if (State.Shed)
    return endUnstarted(State, *State.Shed, /*MayHoldClaim=*/true);

  JobActions Actions;
  State.Phase = JobPhase::Running;
  for (std::uint32_t I = 0; I < State.Tasks.size(); ++I)
    if (State.Tasks[I].Now == Phase::Leased)
      startTask(State, I, Actions);
  return Actions;
}

JobActions onLease(Job &State, const Lease &Held) {
  auto Waiting = std::find_if(
      State.Tasks.begin(), State.Tasks.end(),
      [](const TaskState &Task) { return Task.Now == Phase::Waiting; });
  if (decided(State) || State.Shed || Waiting == State.Tasks.end())
    return {ReleaseLeaseAction{Held, LeaseOutcome::NotStarted}};

  Waiting->Now = Phase::Leased;
  Waiting->Held = Held;
  JobActions Actions;
  if (State.Phase == JobPhase::Running)
    startTask(State, static_cast<std::uint32_t>(Waiting - State.Tasks.begin()),
              Actions);
  return Actions;
}

JobActions onRejected(Job &State, const dispatch::Rejection &Event) {
  if (decided(State) || State.Shed)
    return {};
  Result Failure = rejectedResult(Event);
  if (ownerGone(Event))
    return acquireAgain(State, countWaiting(State), std::move(Failure));
  return failJob(State, std::move(Failure));
}

JobActions onTaskEnd(Job &State, const TaskEvent &Event) {
  TaskState &Task = taskAt(State, Event.Task);
  if (Task.Now != Phase::Running)
    return {};
  JobActions Actions = {
      ReleaseLeaseAction{*Task.Held, leaseOutcomeOf(Event.End), Event.Ran}};
  Task.Held.reset();
  switch (Event.End) {
  case TaskEnd::Succeeded:
    Task.Now = Phase::Succeeded;
    Task.Answer = Event.Text;
    if (std::all_of(State.Tasks.begin(), State.Tasks.end(),
                    [](const TaskState &Other) {
                      return Other.Now == Phase::Succeeded;
                    }))
      decide(State, collectAnswers(State), Actions);
    break;
  case TaskEnd::NotStarted:
  case TaskEnd::Refused:
    append(Actions, onUnstartedTask(State, Task));
    break;
  case TaskEnd::Failed:
    Task.Now = Phase::Stopped;
    append(Actions,
           failJob(State, notRun(FailureReason::TaskFailed, Event.Text)));
    break;
  case TaskEnd::Unknown:
    Task.Now = Phase::Stopped;
    append(Actions,
           failJob(State, notRun(FailureReason::WorkerLost, Event.Text)));
    break;
  }
  return Actions;
}

JobActions onRecorded(Job &State, const Result &Recorded) {
  JobActions Actions;
  if (State.Phase == JobPhase::Recording)
    reply(State, Recorded, Actions);
  return Actions;
}

JobActions onRecordFailed(Job &State) {
  JobActions Actions;
  if (State.Phase != JobPhase::Recording)
    return Actions;
  Result Answer = mayHaveRun(FailureReason::AnswerNotRecorded,
                             "the answer is not recorded yet; ask again");
  Answer.RetryAfter = std::chrono::seconds(1);
  reply(State, std::move(Answer), Actions);
  return Actions;
}

JobActions onDeadline(Job &State) {
  if (decided(State))
    return {};
  Result Failure =
      notRun(FailureReason::DeadlineExceeded, "the deadline has passed");
  if (State.Phase == JobPhase::Starting)
    return endUnknown(State, std::move(Failure));
  return failJob(State, std::move(Failure));
}

JobActions onCancel(Job &State) {
  if (decided(State))
    return {};
  Result Failure = notRun(FailureReason::Cancelled, "cancelled by the caller");
  if (State.Phase == JobPhase::Starting)
    return endUnknown(State, std::move(Failure));
  return failJob(State, std::move(Failure));
}

JobActions onAbandoned(Job &State) {
  if (State.StartedAny)
    return {};
  return onCancel(State);
}

} // namespace geraniumbay::entry
