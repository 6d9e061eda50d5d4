//===- dispatchbench.cpp - Cost of the pool's decisions -------------------===//
//
// Measures single events of the decision core at the sizes of today and of the
// users' plans. docs/CAPACITY.md is worked out from these figures.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/fairqueue.h"
#include "dispatch/internal/messages.h"
#include "dispatch/pool.h"
#include "dispatch/router.h"
#include "framework/clock/manualclock.h"
#include "framework/json/json.h"

#include <benchmark/benchmark.h>
#include <deque>
#include <fstream>

namespace geraniumbay::dispatch {
namespace {

constexpr int Teams = 490;
constexpr std::uint32_t SlotsPerWorker = 8;

WorkerAnnouncement worker(std::int64_t Index) {
  WorkerAnnouncement Result;
  Result.Worker = WorkerId("worker-" + std::to_string(Index));
  Result.Start = Incarnation(1);
  Result.Address = {"10.0.0.1", 8080};
  Result.Service = ServiceId("service");
  Result.Slots = SlotsPerWorker;
  return Result;
}

PoolRequest request(std::uint64_t Number) {
  PoolRequest Result;
  Result.Id = RequestId("entry-1-" + std::to_string(Number));
  Result.Service = ServiceId("service");
  Result.Caller = CallerId("caller-" + std::to_string(Number % Teams));
  Result.Team = TeamId("team-" + std::to_string(Number % Teams));
  Result.Class = Number % 4 == 0 ? WorkClass::Urgent : WorkClass::Routine;
  Result.Tasks = 1;
  Result.DeclaredRun = std::chrono::milliseconds(300);
  Result.TimeLeft = std::chrono::hours(1);
  return Result;
}

/// A pool of many workers, all proven, with a policy for each team.
struct LargePool {
  explicit LargePool(std::int64_t Workers, std::int64_t Entries = 7)
      : Entries(Entries) {
    PoolPolicy Policy;
    Policy.FirstLeases = SlotsPerWorker;
    Policy.SilentAfter = std::chrono::hours(1);
    Policy.MaxUrgentWait = std::chrono::hours(1);
    Policy.MaxRoutineWait = std::chrono::hours(1);
    Policy.MaxQueuedTasks = 10'000'000;
    for (int I = 0; I < Teams; ++I)
      Policy.Teams[TeamId("team-" + std::to_string(I))] = {1, 1'000'000};
    Pool = makePool({VmId("owner"), Incarnation(1)}, std::move(Policy));
    for (std::int64_t I = 0; I < Workers; ++I)
      announce(*Pool, worker(I), Clock.now());
  }

  EntryRef entry(std::uint64_t Number) const {
    return {VmId("entry-" + std::to_string(Number % Entries)), Incarnation(1)};
  }

  void ask() {
    ++Asked;
    acquire(*Pool, entry(Asked), request(Asked), Clock.now());
  }

  void grant() {
    for (const Grant &Each : decide(*Pool, Clock.now()).Grants)
      for (const Lease &Of : Each.Leases)
        Out.push_back(Of.Id);
  }

  void releaseOldest() {
    release(*Pool, Out.front(), LeaseOutcome::Succeeded,
            std::chrono::milliseconds(300), Clock.now());
    Out.pop_front();
  }

  ManualClock Clock;
  PoolHandle Pool;
  std::int64_t Entries;
  std::deque<LeaseId> Out;
  std::uint64_t Asked = 0;
};

/// A whole task at a pool with some free slots: acquire, pick, release.
void taskAtAPoolWithFreeSlots(benchmark::State &State) {
  LargePool Pool(State.range(0), State.range(1));
  for (std::int64_t I = 0; I < State.range(0) * 4; ++I)
    Pool.ask();
  Pool.grant();
  while (State.KeepRunning()) {
    Pool.ask();
    Pool.grant();
    Pool.releaseOldest();
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(taskAtAPoolWithFreeSlots)
    ->ArgNames({"workers", "entries"})
    ->ArgsProduct({{48, 490, 4900}, {7, 100}});

/// A whole task at a full pool with requests of all teams in the queue.
void taskAtAPoolWithAQueue(benchmark::State &State) {
  LargePool Pool(State.range(0));
  constexpr int Queued = 2000;
  for (std::int64_t I = 0; I < State.range(0) * SlotsPerWorker + Queued; ++I)
    Pool.ask();
  Pool.grant();
  while (State.KeepRunning()) {
    Pool.ask();
    Pool.releaseOldest();
    Pool.grant();
  }
}
BENCHMARK(taskAtAPoolWithAQueue)
    ->ArgName("workers")
    ->Arg(48)
    ->Arg(490)
    ->Arg(4900);

/// An announcement of a worker that has leases.
void announcement(benchmark::State &State) {
  LargePool Pool(State.range(0));
  for (std::int64_t I = 0; I < State.range(0) * 4; ++I)
    Pool.ask();
  Pool.grant();
  std::int64_t Next = 0;
  while (State.KeepRunning()) {
    WorkerAnnouncement From = worker(Next++ % State.range(0));
    From.Busy = 4;
    Pool.Clock.advance(Duration(1));
    announce(*Pool.Pool, From, Pool.Clock.now());
  }
}
BENCHMARK(announcement)->ArgName("workers")->Arg(48)->Arg(490)->Arg(4900);

/// One task through the fair queue of many teams.
void fairQueue(benchmark::State &State) {
  FairQueue Queue;
  std::deque<Waiting> Requests;
  for (std::int64_t I = 0; I < State.range(0) * 10; ++I) {
    Waiting &Added = Requests.emplace_back();
    Added.Request = request(static_cast<std::uint64_t>(I));
    Added.Request.Team = TeamId("team-" + std::to_string(I % State.range(0)));
    Added.Sequence = static_cast<std::uint64_t>(I);
    Added.TasksLeft = 1;
    Added.TaskRun = std::chrono::milliseconds(300);
    push(Queue, Added, 1);
  }
  while (State.KeepRunning()) {
    Waiting &Next = *front(Queue);
    takeTask(Queue, Next);
    Next.TasksLeft = 1;
    push(Queue, Next, 1);
  }
}
BENCHMARK(fairQueue)->ArgName("teams")->Arg(20)->Arg(490);

/// New limits and quotas for all teams.
void policyChange(benchmark::State &State) {
  LargePool Pool(State.range(0));
  for (int I = 0; I < Teams; ++I)
    Pool.ask();
  PoolPolicy Policy;
  for (int I = 0; I < Teams; ++I)
    Policy.Teams[TeamId("team-" + std::to_string(I))] = {2, 500};
  while (State.KeepRunning())
    setPolicy(*Pool.Pool, Policy);
}
BENCHMARK(policyChange)->ArgName("workers")->Arg(48)->Arg(4900);

/// The split of a job of 200 tasks among the pools of 8 data centres.
void routeJob(benchmark::State &State) {
  std::vector<PoolSummary> Pools;
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    PoolSummary &Pool = Pools.emplace_back();
    Pool.Owner = VmId("owner-" + std::to_string(I));
    Pool.DataCentre = DataCentreId("dc-" + std::to_string(I % 8));
    Pool.Slots = 4900;
    Pool.Free = 20;
    Pool.DrainPerSecond = 14000;
  }
  PoolRequest Job = request(1);
  Job.Tasks = 200;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(route({}, Job, DataCentreId("dc-1"), Pools, {}));
}
BENCHMARK(routeJob)->ArgName("pools")->Arg(3)->Arg(8)->Arg(32);

/// The JSON of one task: acquire, grant and release, written and read.
void messagesOfATask(benchmark::State &State) {
  AcquireMessage Acquire{{VmId("entry-1"), Incarnation(1)}, request(1)};
  GrantMessage Granted{VmId("owner"),
                       {{LeaseId(1), Acquire.Request.Id, VmId("owner"),
                         WorkerId("worker-1"), Endpoint{"10.0.0.1", 8080}}},
                       {}};
  std::size_t Bytes = 0;
  while (State.KeepRunning()) {
    std::string Texts[] = {
        json::write(writeAcquire(Acquire)), json::write(writeGrant(Granted)),
        json::write(writeRelease({{LeaseId(1), LeaseOutcome::Succeeded,
                                   std::chrono::milliseconds(300)}}))};
    Bytes = 0;
    for (const std::string &Text : Texts) {
      Bytes += Text.size();
      benchmark::DoNotOptimize(attempt([&] { return json::parse(Text); }));
    }
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(messagesOfATask);

/// Resident memory of this process in bytes; 0 if it is not known.
double residentBytes() {
  constexpr double PageBytes = 4096;
  std::ifstream Statm("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  Statm >> Total >> Resident;
  return Resident * PageBytes;
}

/// Memory of a pool with all slots leased, per worker.
void memoryOfAPool(benchmark::State &State) {
  while (State.KeepRunning()) {
    double Before = residentBytes();
    LargePool Pool(State.range(0));
    for (std::int64_t I = 0; I < State.range(0) * SlotsPerWorker; ++I)
      Pool.ask();
    Pool.grant();
    State.counters["bytes_per_worker"] =
        (residentBytes() - Before) / static_cast<double>(State.range(0));
  }
}
BENCHMARK(memoryOfAPool)->ArgName("workers")->Arg(4900)->Iterations(1);

} // namespace
} // namespace geraniumbay::dispatch
