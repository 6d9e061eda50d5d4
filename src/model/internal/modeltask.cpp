//===- modeltask.cpp - One task of a model entry --------------------------===//
//
// Sending a task to a worker, its result, retries and hedges.
//
//===----------------------------------------------------------------------===//

#include "model/internal/modelentry.h"

namespace geraniumbay::model {
namespace {

/// Tries of the naive policy, which has no budget.
constexpr std::uint32_t NaiveTries = 20;

} // namespace

using dispatch::Lease;
using dispatch::LeaseOutcome;

Duration ModelEntry::delayTo(std::size_t Worker) const {
  return delayBetween(Shared_.Deployed, centreOfEntry(Shared_.Deployed, Index_),
                      Workers_[Worker]->centre());
}

void ModelEntry::send(const OpenPtr &Of, std::size_t Index, const Lease &Held) {
  auto Sent = std::make_shared<Copy>();
  Sent->Held = Held;
  Sent->Worker = std::stoul(Held.Worker.value());
  Task &Target = Of->Tasks[Index];
  ++Target.Tries;
  Target.Copies.push_back(Sent);
  Shared_.Timers.after(delayTo(Sent->Worker),
                       [this, Of, Index, Sent] { arrive(Of, Index, Sent); });
  armHedge(Of, Index, Held);
}

void ModelEntry::arrive(const OpenPtr &Of, std::size_t Index,
                        const std::shared_ptr<Copy> &Sent) {
  if (Queue_)
    Queue_->settled(Sent->Worker);
  ModelWorker &Target = *Workers_[Sent->Worker];
  std::size_t Here = centreOfEntry(Shared_.Deployed, Index_);
  if (isCut(Shared_, Here, Target.centre())) {
    onResult(Of, Index, Sent, LeaseOutcome::Unreachable, Duration(0));
    return;
  }
  Sent->Arrived = true;
  Sent->WorkerTask =
      Target.start(Of->Tasks[Index].Run,
                   [this, Of, Index, Sent](LeaseOutcome Outcome, Duration Ran) {
                     Shared_.Timers.after(delayTo(Sent->Worker), [=, this] {
                       onResult(Of, Index, Sent, Outcome, Ran);
                     });
                   });
}

void ModelEntry::onResult(const OpenPtr &Of, std::size_t Index,
                          const std::shared_ptr<Copy> &Sent,
                          LeaseOutcome Outcome, Duration Ran) {
  Sent->Ended = true;
  Client_.release(Sent->Held, Outcome, Ran);
  if (Sent->Stopped) {
    Shared_.Measured.waste(Waste::LateAnswer);
    return;
  }
  bool Started =
      Outcome == LeaseOutcome::Succeeded || Outcome == LeaseOutcome::Failed;
  Of->Tasks[Index].Starts += Started ? 1 : 0;
  if (Outcome == LeaseOutcome::Refused)
    Shared_.Measured.waste(Waste::GuardRefusal);
  if (Outcome == LeaseOutcome::Unreachable)
    Shared_.Measured.waste(Waste::Unreachable);
  if (Of->Closed || Of->Tasks[Index].Done)
    return;
  if (Outcome == LeaseOutcome::Succeeded)
    succeeded(Of, Index, Ran);
  else
    tryAgain(Of, Index, Outcome, Sent->Held.Worker);
}

void ModelEntry::succeeded(const OpenPtr &Of, std::size_t Index, Duration Ran) {
  Task &Target = Of->Tasks[Index];
  Target.Done = true;
  Target.EndedAt = Shared_.Clock.now();
  stopCopies(Target);
  const ServiceId Service("service");
  const CallerId Caller(std::to_string(Of->What.Caller));
  Duration Expected = dispatch::expectedRun(
      Times_, Service, Caller, Of->What.Declared,
      Shared_.Decided.Pool.UnknownRun, Shared_.Clock.now());
  dispatch::learnLateness(Lateness_, Expected, Ran);
  dispatch::learnRun(Times_, Service, Caller, Of->What.Declared, Ran,
                     Shared_.Clock.now());
  if (--Of->Left == 0)
    close(Of, {Answer::Kind::Complete});
}

void ModelEntry::tryAgain(const OpenPtr &Of, std::size_t Index,
                          LeaseOutcome Outcome, const WorkerId &Avoid) {
  Task &Target = Of->Tasks[Index];
  for (const auto &Each : Target.Copies)
    if (!Each->Ended)
      return;
  bool Started = Outcome == LeaseOutcome::Failed;
  bool Again =
      Shared_.Decided.Budgeted
          ? dispatch::takeRetry(Budget_, RetryPolicy_, Of->What.Kind,
                                Target.Tries, Started)
          : Target.Tries < NaiveTries &&
                (!Started ||
                 Of->What.Kind == dispatch::RequestKind::RepeatableSingle);
  if (!Again) {
    close(Of, {Answer::Kind::Failed});
    return;
  }
  Shared_.Measured.waste(Waste::Retry);
  Duration Delay = Shared_.Decided.Budgeted
                       ? dispatch::retryDelay(RetryPolicy_, Target.Tries,
                                              Shared_.Numbers.unit())
                       : Duration(0);
  Shared_.Timers.after(Delay, [this, Of, Index, Avoid] {
    if (!Of->Closed)
      ask(Of, {Index}, Avoid);
  });
}

void ModelEntry::armHedge(const OpenPtr &Of, std::size_t Index,
                          const Lease &Held) {
  if (!Shared_.Decided.Hedges || Of->Tasks[Index].Copies.size() > 1)
    return;
  Duration Expected = dispatch::expectedRun(
      Times_, ServiceId("service"), CallerId(std::to_string(Of->What.Caller)),
      Of->What.Declared, Shared_.Decided.Pool.UnknownRun, Shared_.Clock.now());
  std::optional<Duration> Delay =
      dispatch::hedgeDelay(Lateness_, HedgePolicy_, Of->What.Kind, Expected);
  if (!Delay)
    return;
  Shared_.Timers.after(*Delay, [this, Of, Index, Avoid = Held.Worker] {
    const Task &Target = Of->Tasks[Index];
    if (Of->Closed || Target.Done || Target.Copies.size() > 1 ||
        Target.Copies[0]->Ended ||
        !dispatch::takeHedge(Budget_, RetryPolicy_, Of->What.Kind))
      return;
    Shared_.Measured.waste(Waste::Hedge);
    ask(Of, {Index}, Avoid);
  });
}

void ModelEntry::stopCopies(Task &Of) {
  for (const auto &Each : Of.Copies) {
    if (Each->Ended || Each->Stopped)
      continue;
    Each->Stopped = true;
    Of.Starts += Each->Arrived ? 1 : 0;
    Shared_.Timers.after(delayTo(Each->Worker),
                         [this, Each] { stopAtWorker(Each); });
  }
}

/// The lease is released when the worker has confirmed: only then is its slot
/// free. If the task had ended already, its result comes and says so.
void ModelEntry::stopAtWorker(const std::shared_ptr<Copy> &Of) {
  if (!Of->Arrived || !Workers_[Of->Worker]->cancel(Of->WorkerTask))
    return;
  Shared_.Timers.after(delayTo(Of->Worker), [this, Of] {
    Of->Ended = true;
    Client_.release(Of->Held, LeaseOutcome::Cancelled, Duration(0));
  });
}

} // namespace geraniumbay::model
