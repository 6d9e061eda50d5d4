//===- fakeworkers.cpp - Simulated workers for tests ----------------------===//

#include "jobs/tests/fakeworkers.h"

#include <algorithm>

namespace geraniumbay::jobs {

using namespace std::chrono_literals;

namespace {

constexpr Duration OneWayDelay = 1ms;
constexpr Duration LongestLease = 1000ms;
constexpr Duration CallTimeout = 400ms;
/// Of a message to a worker: its head, and what an order has beside the
/// payload.
constexpr std::size_t MessageBytes = 300;

/// Wraps \p Done to be called once: with the answer, or with \p Late after the
/// timeout.
template <typename T>
std::function<void(T)> once(ITimers &Timers, std::function<void(T)> Done,
                            Duration Timeout, T Late) {
  auto Open = std::make_shared<std::function<void(T)>>(std::move(Done));
  auto Finish = [Open](T Answer) {
    if (*Open)
      std::exchange(*Open, nullptr)(std::move(Answer));
  };
  Timers.after(Timeout, [Finish, Late] { Finish(Late); });
  return Finish;
}

} // namespace

WorkerInfo FakeWorkers::add(const std::string &Host,
                            const std::string &DataCentre,
                            std::uint32_t CpuMillis) {
  WorkerInfo Info;
  Info.Worker = WorkerId("w-" + Host);
  Info.At = {Host, 8000};
  Info.Service = ServiceId("service");
  Info.DataCentre = DataCentreId(DataCentre);
  Info.Capacity = {CpuMillis, 65536, 0};
  Info.Sequence = 1;
  Info.Clock = clockNow(Workers_[Info.Worker]);
  Workers_[Info.Worker].Info = Info;
  return Info;
}

void FakeWorkers::reportStart(WorkerInfo &Info) {
  Info.StartedAt = WorkerStart(Clock_.now().time_since_epoch() / 1ms + 1);
  Workers_[Info.Worker].Info.StartedAt = Info.StartedAt;
}

WorkerMillis FakeWorkers::clockNow(const Worker &At) const {
  return WorkerMillis(Clock_.now().time_since_epoch() / 1ms - At.ClockBase);
}

std::size_t FakeWorkers::running() const {
  std::size_t Count = 0;
  for (const auto &[Id, Each] : Workers_)
    Count += Each.Tasks.size();
  return Count;
}

std::size_t FakeWorkers::unacknowledgedEnds() const {
  std::size_t Count = 0;
  for (const auto &[Id, Each] : Workers_)
    Count += Each.Ends.size();
  return Count;
}

bool FakeWorkers::runsElsewhere(const Worker &Here, const TaskId &Task) {
  for (auto &[Id, Each] : Workers_) {
    checkLease(Each);
    if (&Each != &Here && Each.Tasks.count(Task) != 0)
      return true;
  }
  return false;
}

void FakeWorkers::checkLease(Worker &Target) {
  if (Clock_.now() < Target.Lease)
    return;
  std::vector<TaskId> Lapsed;
  for (const auto &[Task, Each] : Target.Tasks)
    Lapsed.push_back(Task);
  for (const TaskId &Task : Lapsed)
    end(Target, Task, EndKind::Other);
  Target.LastEndBeforeExpiry = Target.LastEnd;
}

void FakeWorkers::extend(Worker &Target, WorkerMillis Until) {
  Time Wanted{std::chrono::milliseconds(Until.value() + Target.ClockBase)};
  Target.Lease =
      std::max(Target.Lease, std::min(Wanted, Clock_.now() + LongestLease));
}

void FakeWorkers::end(Worker &Target, const TaskId &Task, EndKind Kind) {
  auto Found = Target.Tasks.find(Task);
  if (Found == Target.Tasks.end())
    return;
  Target.Ends.push_back({++Target.LastEnd, Task, Found->second.Number, Kind});
  Target.Ended[Task] = std::max(Target.Ended[Task], Found->second.Number);
  Target.Tasks.erase(Found);
  if (Target.Waiting)
    std::exchange(Target.Waiting, nullptr)();
}

void FakeWorkers::crash(Worker &Target) {
  if (Target.Down)
    return;
  ++Crashes;
  Target.Down = true;
  Target.Tasks.clear();
  Target.Waiting = nullptr;
  Timers_.after(CrashDown, [this, Id = Target.Info.Worker] { comeBack(Id); });
}

void FakeWorkers::comeBack(const WorkerId &Id) {
  Worker &Old = Workers_[Id];
  Old.Replaced = true;
  Worker New;
  New.Info = Old.Info;
  New.Info.Sequence = 1;
  if (KeepIds) {
    WorkerInfo Earlier = Old.Info;
    New.ClockBase = Clock_.now().time_since_epoch() / 1ms;
    New.Info.Clock = clockNow(New);
    Old = New;
    reportStart(Old.Info);
    if (Restarted)
      Restarted(Earlier, Old.Info);
    return;
  }
  New.Info.Worker = WorkerId(Id.value() + "+");
  New.Info.Clock = clockNow(New);
  WorkerInfo Info = New.Info;
  Workers_[Info.Worker] = New;
  if (Restarted)
    Restarted(Workers_[Id].Info, Info);
}

StartAnswer FakeWorkers::start(Worker &Target, const StartOrder &Order) {
  checkLease(Target);
  StartAnswer Answer{StartResult::Started, clockNow(Target)};
  if (Order.Token < Target.Token)
    return {StartResult::Fenced, clockNow(Target)};
  Target.Token = Order.Token;
  auto Found = Target.Tasks.find(Order.Task);
  if (Found != Target.Tasks.end() && Found->second.Number == Order.Run)
    return Answer;
  if (Target.Ended.count(Order.Task) != 0 &&
      Order.Run <= Target.Ended[Order.Task])
    return {StartResult::OutOfOrder, clockNow(Target)};
  if (Order.LeaseUntil <= clockNow(Target))
    return {StartResult::Late, clockNow(Target)};
  if (Target.Tasks.size() >= Target.Info.Capacity.CpuMillis / 1000) {
    ++RoomRefusals;
    return {StartResult::NoCapacity, clockNow(Target)};
  }
  if (Target.Tasks.empty())
    Target.Lease = Time{};
  extend(Target, Order.LeaseUntil);
  if (Found != Target.Tasks.end() || runsElsewhere(Target, Order.Task))
    Doubled.insert(Order.Task);
  if (Acknowledged.count(Order.Task) != 0)
    RepeatedAfterEnd.insert(Order.Task);
  RunNumber &Highest = HighestRuns_[Order.Task];
  Highest = std::max(Highest, Order.Run);
  ++Starts;
  ++StartsIn[Target.Info.DataCentre];
  LastStartIn[Target.Info.DataCentre] = Clock_.now();
  ++StartsOn[Target.Info.Worker];
  std::uint64_t Serial = ++LastSerial_;
  if (CrashingJobs.count(Order.Task.Job) != 0) {
    ++StartsOfCrashing[Order.Task];
    Timers_.after(OneWayDelay * 5,
                  [this, Id = Target.Info.Worker] { crash(Workers_[Id]); });
  }
  Target.Tasks[Order.Task] = {Order.Run, Serial};
  bool IsBroken = Broken.count(Target.Info.Worker) != 0;
  StartsOnBroken += IsBroken ? 1 : 0;
  bool Fails = IsBroken || Rng.below(100) < FailPercent;
  Timers_.after(
      IsBroken ? OneWayDelay : TaskTime,
      [this, Id = Target.Info.Worker, Task = Order.Task, Serial, Fails] {
        Worker &There = Workers_[Id];
        checkLease(There);
        auto Still = There.Tasks.find(Task);
        if (Still != There.Tasks.end() && Still->second.Serial == Serial)
          end(There, Task, Fails ? EndKind::Failed : EndKind::Done);
      });
  return Answer;
}

bool FakeWorkers::stop(Worker &Target, const StopOrder &Order) {
  checkLease(Target);
  if (Order.Token < Target.Token)
    return false;
  Target.Token = Order.Token;
  auto Found = Target.Tasks.find(Order.Task);
  if (Found != Target.Tasks.end() && Found->second.Number <= Order.Run)
    end(Target, Order.Task, EndKind::Other);
  Target.Ended[Order.Task] = std::max(Target.Ended[Order.Task], Order.Run);
  return true;
}

Outcome<HoldAnswer> FakeWorkers::look(Worker &Target, const HoldOrder &Order) {
  checkLease(Target);
  if (Order.Token < Target.Token)
    return Error{ErrorCode::Conflict, "a later owner"};
  Target.Token = Order.Token;
  if (Order.LeaseUntil)
    extend(Target, *Order.LeaseUntil);
  std::erase_if(Target.Ends, [&](const EndedTask &End) {
    if (End.Number > Order.LastSeenEnd)
      return false;
    if (End.Kind != EndKind::Done || End.Number <= Target.LastEndBeforeExpiry)
      return true;
    Acknowledged.insert(End.Task);
    if (HighestRuns_[End.Task] > End.Run)
      RepeatedAfterEnd.insert(End.Task);
    return true;
  });
  HoldAnswer Answer;
  Answer.Clock = clockNow(Target);
  Answer.StartedAt = Target.Info.StartedAt;
  for (const auto &[Task, Each] : Target.Tasks)
    Answer.Running.push_back({Task, Each.Number});
  std::size_t Listed = std::min(Target.Ends.size(), EndsPerAnswer);
  Answer.Ended.assign(Target.Ends.begin(),
                      Target.Ends.begin() +
                          static_cast<std::ptrdiff_t>(Listed));
  LongestList = std::max(LongestList, Listed);
  Answer.Partial = PartialAnswers;
  ++HoldsAnswered;
  return Answer;
}

std::optional<Duration> FakeWorkerCalls::transmissionTime(std::size_t Bytes,
                                                          Duration Timeout) {
  if (LinkBytesPerMilli == 0)
    return Duration(0);
  Time Now = All_.Clock_.now();
  Time Begins = std::max(LinkFreeAt_, Now);
  if (Begins - Now >= Timeout)
    return std::nullopt;
  LinkFreeAt_ =
      Begins + std::chrono::microseconds(Bytes * 1000 / LinkBytesPerMilli);
  return LinkFreeAt_ - Now;
}

void FakeWorkerCalls::deliver(
    const WorkerTarget &To, std::size_t Bytes, Duration Timeout,
    std::function<void(FakeWorkers::Worker &, bool)> Arrive) {
  if (Dead)
    return;
  auto Transmission = transmissionTime(Bytes, Timeout);
  if (!Transmission)
    return;
  bool Late = All_.Rng.below(100) < All_.Faults_.LatePercent;
  // Late orders are carried out seconds later.
  Duration Delay =
      Late ? 2s + Duration(All_.Rng.below(4'000'000)) : OneWayDelay;
  Delay += *Transmission;
  All_.Timers_.after(Delay, [this, To, Late, Arrive = std::move(Arrive)] {
    auto Found = All_.Workers_.find(To.Worker);
    if (Found == All_.Workers_.end() ||
        All_.Faults_.isCut(Host_, To.At.Address))
      return;
    Arrive(Found->second, !Late);
  });
}

void FakeWorkerCalls::start(const WorkerTarget &To, const StartOrder &Order,
                            std::function<void(StartAnswer)> Done) {
  auto Finish = once<StartAnswer>(All_.Timers_, std::move(Done), CallTimeout,
                                  StartAnswer());
  deliver(To, MessageBytes + Order.Payload.size(), CallTimeout,
          [this, Order, To, Finish](FakeWorkers::Worker &Target, bool Answers) {
            if (Target.Down)
              return Finish({Target.Replaced ? StartResult::Replaced
                                             : StartResult::NotReceived,
                             std::nullopt});
            StartAnswer Answer = All_.start(Target, Order);
            if (Answers && !All_.Faults_.isCut(Host_, To.At.Address))
              All_.Timers_.after(OneWayDelay,
                                 [Finish, Answer] { Finish(Answer); });
          });
}

void FakeWorkerCalls::stop(const WorkerTarget &To, const StopOrder &Order,
                           StopCallback Done) {
  auto Finish = once<std::optional<WorkerMillis>>(All_.Timers_, std::move(Done),
                                                  CallTimeout, std::nullopt);
  deliver(To, MessageBytes, CallTimeout,
          [this, Order, To, Finish](FakeWorkers::Worker &Target, bool Answers) {
            if (Target.Down || !All_.stop(Target, Order) || !Answers ||
                All_.Faults_.isCut(Host_, To.At.Address))
              return;
            All_.Timers_.after(
                OneWayDelay,
                [Finish, Now = All_.clockNow(Target)] { Finish(Now); });
          });
}

void FakeWorkerCalls::hold(const WorkerTarget &To, const HoldOrder &Order,
                           std::function<void(Outcome<HoldAnswer>)> Done) {
  using Result = Outcome<HoldAnswer>;
  auto Finish =
      once<Result>(All_.Timers_, std::move(Done), Order.Wait + CallTimeout,
                   Error{ErrorCode::Timeout, "no answer"});
  deliver(To, MessageBytes, Order.Wait + CallTimeout,
          [this, Order, To, Finish](FakeWorkers::Worker &Target, bool Answers) {
            if (!Answers)
              return;
            if (Target.Down)
              return Finish(Error{Target.Replaced ? ErrorCode::NotFound
                                                  : ErrorCode::Refused,
                                  "the worker is gone"});
            Result First = All_.look(Target, Order);
            auto Answer = [this, To, Finish](const Result &Reply) {
              if (!All_.Faults_.isCut(Host_, To.At.Address))
                All_.Timers_.after(OneWayDelay,
                                   [Finish, Reply] { Finish(Reply); });
            };
            if (!First || !First->Ended.empty() || Order.Wait == Duration(0))
              return Answer(First);
            // The lease is renewed now; the answer comes with the next end.
            HoldOrder Again = Order;
            Again.LeaseUntil.reset();
            auto Open = std::make_shared<bool>(true);
            auto Later = [this, Again, Answer, Open, Id = To.Worker,
                          StartedAt = Target.Info.StartedAt] {
              const FakeWorkers::Worker &Now = All_.Workers_[Id];
              bool Gone = Now.Down || Now.Info.StartedAt != StartedAt;
              if (std::exchange(*Open, false) && !Gone)
                Answer(All_.look(All_.Workers_[Id], Again));
            };
            Target.Waiting = Later;
            All_.Timers_.after(Order.Wait, Later);
          });
}

} // namespace geraniumbay::jobs
