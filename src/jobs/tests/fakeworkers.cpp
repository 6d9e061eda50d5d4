//===- fakeworkers.cpp - Workers that keep leases and tokens --------------===//

#include "jobs/tests/fakeworkers.h"

#include <algorithm>

namespace geraniumbay::jobs {

using namespace std::chrono_literals;

namespace {

constexpr Duration Way = 1ms;
constexpr Duration LongestLease = 1000ms;
constexpr Duration CallTimeout = 400ms;

/// Calls back once: with the answer, or after the timeout with \p Late.
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
  Info.Clock = clockNow();
  Workers_[Info.Worker].Info = Info;
  return Info;
}

WorkerMillis FakeWorkers::clockNow() const {
  return WorkerMillis(Clock_.now().time_since_epoch() / 1ms);
}

std::size_t FakeWorkers::running() const {
  std::size_t Count = 0;
  for (const auto &[Id, Each] : Workers_)
    Count += Each.Tasks.size();
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

void FakeWorkers::checkLease(Worker &At) {
  if (Clock_.now() < At.Lease)
    return;
  std::vector<TaskId> Lapsed;
  for (const auto &[Task, Each] : At.Tasks)
    Lapsed.push_back(Task);
  for (const TaskId &Task : Lapsed)
    end(At, Task, EndKind::Other);
}

void FakeWorkers::extend(Worker &At, WorkerMillis Until) {
  Time Wanted{std::chrono::milliseconds(Until.value())};
  At.Lease = std::max(At.Lease, std::min(Wanted, Clock_.now() + LongestLease));
}

void FakeWorkers::end(Worker &At, const TaskId &Task, EndKind How) {
  auto Found = At.Tasks.find(Task);
  if (Found == At.Tasks.end())
    return;
  At.Ends.push_back({++At.LastEnd, Task, Found->second.Number, How});
  At.Ended[Task] = std::max(At.Ended[Task], Found->second.Number);
  At.Tasks.erase(Found);
  if (At.Waiting)
    std::exchange(At.Waiting, nullptr)();
}

void FakeWorkers::crash(Worker &At) {
  if (At.Down)
    return;
  ++Crashes;
  At.Down = true;
  At.Tasks.clear();
  At.Waiting = nullptr;
  Timers_.after(CrashDown, [this, Id = At.Info.Worker] { comeBack(Id); });
}

void FakeWorkers::comeBack(const WorkerId &Id) {
  Worker &Old = Workers_[Id];
  Old.Replaced = true;
  Worker New;
  New.Info = Old.Info;
  New.Info.Worker = WorkerId(Id.value() + "+");
  New.Info.Sequence = 1;
  New.Info.Clock = clockNow();
  WorkerInfo Info = New.Info;
  Workers_[Info.Worker] = New;
  if (Restarted)
    Restarted(Workers_[Id].Info, Info);
}

StartAnswer FakeWorkers::start(Worker &At, const StartOrder &Order) {
  checkLease(At);
  StartAnswer Answer{StartResult::Started, clockNow()};
  if (Order.Token < At.Token)
    return {StartResult::Fenced, clockNow()};
  At.Token = Order.Token;
  auto Found = At.Tasks.find(Order.Task);
  if (Found != At.Tasks.end() && Found->second.Number == Order.Run)
    return Answer;
  if (At.Ended.count(Order.Task) != 0 && Order.Run <= At.Ended[Order.Task])
    return {StartResult::OutOfOrder, clockNow()};
  if (Order.LeaseUntil <= clockNow())
    return {StartResult::Late, clockNow()};
  if (At.Tasks.size() >= At.Info.Capacity.CpuMillis / 1000) {
    ++RoomRefusals;
    return {StartResult::NoRoom, clockNow()};
  }
  if (At.Tasks.empty())
    At.Lease = Time{};
  extend(At, Order.LeaseUntil);
  if (Found != At.Tasks.end() || runsElsewhere(At, Order.Task))
    Doubled.insert(Order.Task);
  ++Starts;
  ++StartsIn[At.Info.DataCentre];
  LastStartIn[At.Info.DataCentre] = Clock_.now();
  ++StartsOn[At.Info.Worker];
  std::uint64_t Serial = ++LastSerial_;
  if (CrashingJobs.count(Order.Task.Job) != 0) {
    ++StartsOfCrashing[Order.Task];
    Timers_.after(Way * 5,
                  [this, Id = At.Info.Worker] { crash(Workers_[Id]); });
  }
  At.Tasks[Order.Task] = {Order.Run, Serial};
  bool IsBroken = Broken.count(At.Info.Worker) != 0;
  StartsOnBroken += IsBroken ? 1 : 0;
  bool Fails = IsBroken || Rng.below(100) < FailPercent;
  Timers_.after(IsBroken ? Way : TaskTime, [this, Id = At.Info.Worker,
                                            Task = Order.Task, Serial, Fails] {
    Worker &There = Workers_[Id];
    checkLease(There);
    auto Still = There.Tasks.find(Task);
    if (Still != There.Tasks.end() && Still->second.Serial == Serial)
      end(There, Task, Fails ? EndKind::Failed : EndKind::Done);
  });
  return Answer;
}

bool FakeWorkers::stop(Worker &At, const StopOrder &Order) {
  checkLease(At);
  if (Order.Token < At.Token)
    return false;
  At.Token = Order.Token;
  auto Found = At.Tasks.find(Order.Task);
  if (Found != At.Tasks.end() && Found->second.Number <= Order.Run)
    end(At, Order.Task, EndKind::Other);
  At.Ended[Order.Task] = std::max(At.Ended[Order.Task], Order.Run);
  return true;
}

Outcome<HoldAnswer> FakeWorkers::look(Worker &At, const HoldOrder &Order) {
  checkLease(At);
  if (Order.Token < At.Token)
    return Error{ErrorCode::Conflict, "a later owner"};
  At.Token = Order.Token;
  if (Order.LeaseUntil)
    extend(At, *Order.LeaseUntil);
  std::erase_if(At.Ends, [&](const EndedTask &End) {
    return End.Number <= Order.LastSeenEnd;
  });
  HoldAnswer Answer;
  Answer.Clock = clockNow();
  for (const auto &[Task, Each] : At.Tasks)
    Answer.Running.push_back({Task, Each.Number});
  Answer.Ended = At.Ends;
  return Answer;
}

void FakeWorkerCalls::deliver(
    const WorkerTarget &To,
    std::function<void(FakeWorkers::Worker &, bool)> Arrive) {
  if (Dead)
    return;
  bool Late = All_.Rng.below(100) < All_.Faults_.LatePercent;
  // Late orders are carried out seconds later.
  Duration Delay = Late ? 2s + Duration(All_.Rng.below(4'000'000)) : Way;
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
  deliver(To, [this, Order, To, Finish](FakeWorkers::Worker &At, bool Answers) {
    if (At.Down)
      return Finish({At.Replaced ? StartResult::Gone : StartResult::NotReceived,
                     std::nullopt});
    StartAnswer Answer = All_.start(At, Order);
    if (Answers && !All_.Faults_.isCut(Host_, To.At.Address))
      All_.Timers_.after(Way, [Finish, Answer] { Finish(Answer); });
  });
}

void FakeWorkerCalls::stop(const WorkerTarget &To, const StopOrder &Order,
                           StopCallback Done) {
  auto Finish = once<std::optional<WorkerMillis>>(All_.Timers_, std::move(Done),
                                                  CallTimeout, std::nullopt);
  deliver(To, [this, Order, To, Finish](FakeWorkers::Worker &At, bool Answers) {
    if (At.Down || !All_.stop(At, Order) || !Answers ||
        All_.Faults_.isCut(Host_, To.At.Address))
      return;
    All_.Timers_.after(Way, [Finish, Now = All_.clockNow()] { Finish(Now); });
  });
}

void FakeWorkerCalls::hold(const WorkerTarget &To, const HoldOrder &Order,
                           std::function<void(Outcome<HoldAnswer>)> Done) {
  using Result = Outcome<HoldAnswer>;
  auto Finish =
      once<Result>(All_.Timers_, std::move(Done), Order.Wait + CallTimeout,
                   Error{ErrorCode::Timeout, "no answer"});
  deliver(To, [this, Order, To, Finish](FakeWorkers::Worker &At, bool Answers) {
    if (!Answers)
      return;
    if (At.Down)
      return Finish(
          Error{At.Replaced ? ErrorCode::NotFound : ErrorCode::Refused,
                "the worker is gone"});
    Result First = All_.look(At, Order);
    auto Answer = [this, To, Finish](const Result &What) {
      if (!All_.Faults_.isCut(Host_, To.At.Address))
        All_.Timers_.after(Way, [Finish, What] { Finish(What); });
    };
    if (!First || !First->Ended.empty() || Order.Wait == Duration(0))
      return Answer(First);
    // The lease is given now; the answer comes with the next end.
    HoldOrder Again = Order;
    Again.LeaseUntil.reset();
    auto Open = std::make_shared<bool>(true);
    auto Later = [this, Again, Answer, Open, Id = To.Worker] {
      bool Gone = All_.Workers_[Id].Down;
      if (std::exchange(*Open, false) && !Gone)
        Answer(All_.look(All_.Workers_[Id], Again));
    };
    At.Waiting = Later;
    All_.Timers_.after(Order.Wait, Later);
  });
}

} // namespace geraniumbay::jobs
