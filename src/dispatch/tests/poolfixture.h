//===- poolfixture.h - Short ways to feed a pool ----------------*- C++ -*-===//
//
// Builders of requests and announcements and a pool on a clock of its own.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_TESTS_POOLFIXTURE_H
#define GERANIUMBAY_DISPATCH_TESTS_POOLFIXTURE_H

#include "dispatch/pool.h"
#include "framework/clock/manualclock.h"

#include <map>
#include <string>

namespace geraniumbay::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline EntryRef entry(const std::string &Name = "e1", std::uint64_t Start = 1) {
  return {VmId(Name), Incarnation(Start)};
}

inline WorkerAnnouncement worker(const std::string &Name,
                                 std::uint32_t Slots = 8,
                                 std::uint64_t Start = 1) {
  WorkerAnnouncement Result;
  Result.Worker = WorkerId(Name);
  Result.Start = Incarnation(Start);
  Result.Service = ServiceId("s");
  Result.Address = {"10.0.0.1", 8080};
  Result.Slots = Slots;
  return Result;
}

inline PoolRequest request(const std::string &Id, std::uint32_t Tasks = 1,
                           WorkClass Class = WorkClass::Routine,
                           const std::string &Team = "t") {
  PoolRequest Result;
  Result.Id = RequestId(Id);
  Result.Service = ServiceId("s");
  Result.Caller = CallerId("c-" + Team);
  Result.Team = TeamId(Team);
  Result.Class = Class;
  Result.Tasks = Tasks;
  Result.DeclaredRun = milliseconds(100);
  return Result;
}

/// A pool and the leases that it has granted.
struct PoolFixture {
  explicit PoolFixture(PoolPolicy Policy = {})
      : Pool(makePool(entry("owner"), std::move(Policy))) {}

  /// Announces \p Count workers of which nothing bad is known.
  void addWorkers(int Count, std::uint32_t Slots = 8) {
    for (int I = 0; I < Count; ++I) {
      announce(*Pool, worker("w" + std::to_string(I), Slots), Clock.now());
      warmUp();
    }
  }

  /// Runs enough short tasks that no worker is in its slow start.
  void warmUp() {
    for (int Round = 0; Round < 6; ++Round) {
      std::string Id = "warm" + std::to_string(++Warm);
      acquire(*Pool, entry(), request(Id, 8), Clock.now());
      for (const Lease &Each : grants())
        done(Each, LeaseOutcome::Succeeded);
      cancel(*Pool, RequestId(Id));
    }
  }

  std::optional<Rejection> ask(const PoolRequest &Request,
                               const EntryRef &From = entry()) {
    return acquire(*Pool, From, Request, Clock.now());
  }

  /// All leases of one decide().
  std::vector<Lease> grants() {
    std::vector<Lease> All;
    Last = decide(*Pool, Clock.now());
    for (const Grant &Each : Last.Grants)
      All.insert(All.end(), Each.Leases.begin(), Each.Leases.end());
    return All;
  }

  void done(const Lease &Of, LeaseOutcome Outcome,
            Duration Ran = milliseconds(100)) {
    release(*Pool, Of.Id, Outcome, Ran, Clock.now());
  }

  ManualClock Clock;
  PoolHandle Pool;
  PoolActions Last;
  int Warm = 0;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_TESTS_POOLFIXTURE_H
