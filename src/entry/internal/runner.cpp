//===- runner.cpp - Carries out a submission ------------------------------===//
//
// Turns the core's actions into calls, and their outcomes into events.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/runner.h"

#include "entry/internal/digest.h"
#include "entry/internal/entrymetrics.h"

namespace geraniumbay::entry {

namespace {

/// How long after the deadline the record of an answer may still be awaited.
constexpr Duration RecordGrace = std::chrono::seconds(2);

} // namespace

void Runner::start(Submission Request, Span Root) {
  Root_ = std::move(Root);
  TaskPrefix_ = taskPrefix(Request);
  Deadline_ = Services_.Timers.after(
      Request.Deadline - Services_.Clock.now(),
      [Self = shared_from_this()] { Self->deadlinePassed(); });
  if (Request.Repeatable) {
    noteFirstTry(Services_.Extra);
    State_ = Single{};
    perform(startSingle(std::get<Single>(State_), std::move(Request)));
  } else {
    State_ = Job{};
    perform(startJob(std::get<Job>(State_), std::move(Request)));
  }
}

void Runner::cancel() {
  perform(std::visit([](auto &State) { return onCancel(State); }, State_));
}

void Runner::abandon() {
  if (auto *Running = std::get_if<Job>(&State_))
    perform(onAbandoned(*Running));
  else
    cancel();
}

void Runner::perform(const JobActions &Actions) {
  for (const JobAction &Action : Actions)
    std::visit([this](const auto &Asked) { act(Asked); }, Action);
}

void Runner::act(const ClaimAction & /*Action*/) {
  Services_.Claims.claim(
      request(), [Self = shared_from_this(),
                  Hop = Services_.Spans.beginChild(Root_, "ledger.claim")](
                     const ClaimEvent &Event) {
        Self->Services_.Spans.end(Hop);
        Self->claimed(Event);
      });
}

void Runner::act(const AcquireAction &Action) {
  const Submission &Asked = request();
  dispatch::PoolRequest Wanted;
  Wanted.Id = Services_.NewRequestId();
  Wanted.Service = Asked.Service;
  Wanted.Caller = Asked.Caller;
  Wanted.Team = Asked.Team;
  Wanted.Class = Asked.Class;
  Wanted.Kind = Asked.Repeatable ? dispatch::RequestKind::RepeatableSingle
                : Asked.Payloads.size() == 1 ? dispatch::RequestKind::Single
                                             : dispatch::RequestKind::Job;
  Wanted.Tasks = Action.Tasks;
  Wanted.TimeLeft = std::max(timeLeft(), Duration(1));
  Wanted.DeclaredRun = Asked.DeclaredRun;
  Wanted.Returning = Asked.Returning;
  dispatch::RequestId Id = Wanted.Id;
  Acquiring_.insert(Id);
  Services_.Pools.acquire(
      std::move(Wanted),
      [Self = shared_from_this()](const dispatch::Lease &Held) {
        Self->leased(Held);
      },
      [Self = shared_from_this(), Id](const dispatch::Rejection &Event) {
        Self->rejected(Id, Event);
      });
}

void Runner::act(const CancelAcquireAction & /*Action*/) {
  for (const dispatch::RequestId &Id : std::exchange(Acquiring_, {}))
    Services_.Pools.cancel(Id);
}

void Runner::act(const StartAction &Action) {
  Time Begun = Services_.Clock.now();
  Span Hop = Services_.Spans.beginChild(Root_, "worker.task");
  Hop.Tags["worker"] = Action.Held.Worker.value();
  std::string TraceParent = formatTraceParent(Hop.Context);
  Services_.Workers.run(
      workerTaskId(Action.Task), Action.Held.Address,
      request().Payloads[request().Repeatable ? 0 : Action.Task.value()],
      TraceParent, std::max(timeLeft(), Duration(1)),
      [Self = shared_from_this(), Task = Action.Task, Begun,
       Hop](TaskReport Report) {
        Self->Services_.Spans.end(Hop);
        Duration Ran = Self->Services_.Clock.now() - Begun;
        Self->taskEnded({Task, Report.End, std::move(Report.Text), Ran});
      });
  startHedgeTimer();
}

void Runner::act(const StopAction &Action) {
  noteWasted(Services_.Measured, "stopped");
  // The slot is in use until the worker has stopped the task.
  Services_.Workers.stop(workerTaskId(Action.Task), Action.Held.Address,
                         [Self = shared_from_this(), Held = Action.Held] {
                           Self->Services_.Pools.release(
                               Held, dispatch::LeaseOutcome::Cancelled,
                               Duration::zero());
                         });
}

void Runner::act(const ReleaseLeaseAction &Action) {
  Services_.Pools.release(Action.Held, Action.Outcome, Action.Ran);
}

void Runner::act(const RecordAction &Action) {
  Services_.Claims.record(
      request(), Action.Answer, request().Deadline + RecordGrace,
      [Self = shared_from_this(),
       Hop = Services_.Spans.beginChild(Root_, "ledger.record")](
          const std::optional<Result> &Recorded) {
        Self->Services_.Spans.end(Hop);
        auto &Running = std::get<Job>(Self->State_);
        Self->perform(Recorded ? onRecorded(Running, *Recorded)
                               : onRecordFailed(Running));
      });
}

void Runner::act(const ReleaseClaimAction & /*Action*/) {
  Services_.Claims.release(request());
}

void Runner::act(const ReplyAction &Action) {
  Services_.Timers.cancel(Deadline_);
  Services_.Timers.cancel(Hedge_);
  OnReply_(Action.Answer);
}

void Runner::claimed(const ClaimEvent &Event) {
  auto &Running = std::get<Job>(State_);
  if (std::holds_alternative<ClaimGranted>(Event) && isLate())
    perform(onClaim(Running,
                    ClaimRefused{notRun(FailureReason::DeadlineExceeded,
                                        "the claim came after the deadline"),
                                 /*MayHoldClaim=*/true}));
  else
    perform(onClaim(Running, Event));
}

void Runner::leased(const dispatch::Lease &Held) {
  if (isLate())
    deadlinePassed();
  perform(
      std::visit([&](auto &State) { return onLease(State, Held); }, State_));
}

void Runner::rejected(const dispatch::RequestId &Id,
                      const dispatch::Rejection &Event) {
  Acquiring_.erase(Id);
  perform(std::visit([&](auto &State) { return onRejected(State, Event); },
                     State_));
}

void Runner::taskEnded(const TaskEvent &Event) {
  noteTaskEnd(Services_.Measured, Event.End);
  if (Event.End == TaskEnd::Succeeded)
    noteRun(Services_.Extra, request(), Event.Ran, Services_.Clock.now());
  if (auto *Running = std::get_if<Job>(&State_))
    perform(onTaskEnd(*Running, Event));
  else
    perform(onTaskEnd(std::get<Single>(State_), Event,
                      [this] { return takeRetry(Services_.Extra); }));
}

void Runner::deadlinePassed() {
  perform(std::visit([](auto &State) { return onDeadline(State); }, State_));
}

void Runner::startHedgeTimer() {
  auto *Running = std::get_if<Single>(&State_);
  if (Running == nullptr || Running->Attempts.size() != 1)
    return;
  std::optional<Duration> Delay =
      hedgeDelay(Services_.Extra, Running->Request, Services_.Clock.now());
  if (!Delay)
    return;
  Hedge_ = Services_.Timers.after(*Delay, [Self = shared_from_this()] {
    Self->perform(onHedgeDue(std::get<Single>(Self->State_), [Self] {
      return takeHedge(Self->Services_.Extra);
    }));
  });
}

const Submission &Runner::request() const {
  return std::visit(
      [](const auto &State) -> const Submission & { return State.Request; },
      State_);
}

WorkerTaskId Runner::workerTaskId(TaskIndex Task) const {
  return WorkerTaskId(TaskPrefix_ + "." + std::to_string(Task.value()));
}

bool Runner::isLate() const { return timeLeft() <= Duration::zero(); }

Duration Runner::timeLeft() const {
  return request().Deadline - Services_.Clock.now();
}

} // namespace geraniumbay::entry
