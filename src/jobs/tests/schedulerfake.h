//===- schedulerfake.h - Schedulers with two workers ------------*- C++ -*-===//
//
// Successive owners of two workers that share one log, on a manual clock.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_TESTS_SCHEDULERFAKE_H
#define GERANIUMBAY_JOBS_TESTS_SCHEDULERFAKE_H

#include "jobs/internal/scheduler.h"
#include "jobs/tests/controlfake.h"

#include <gtest/gtest.h>

namespace geraniumbay::jobs {

class SchedulerSetup {
public:
  SchedulerSetup() {
    First = Workers.add("10.1.1.1", "a", 2000);
    Second = Workers.add("10.1.1.2", "a", 2000);
  }

  std::unique_ptr<Scheduler> owner(std::uint64_t Token, bool KnowsAllWorkers,
                                   const std::vector<WorkerInfo> &Known) {
    SchedulerDependencies Needs{poolOfAll(),
                                [] { return true; },
                                [](FencingToken /*Token*/) {
                                  // A test sees the token where it matters.
                                },
                                [KnowsAllWorkers] { return KnowsAllWorkers; },
                                &Log,
                                Log.Jobs.store(),
                                Evacuated,
                                Calls,
                                Clock,
                                Timers,
                                Measured};
    auto Result = std::make_unique<Scheduler>(
        std::move(Needs), FencingToken(Token), LeaseSettings());
    announceTo(*Result, Known);
    return Result;
  }

  void announceTo(Scheduler &Owner, const std::vector<WorkerInfo> &Known) {
    for (const WorkerInfo &Each : Known)
      announce(Directory, Each, Clock.now());
    Owner.applyWorkers(Directory);
  }

  void run(Duration For) {
    constexpr Duration Step = std::chrono::milliseconds(1);
    for (Time End = Clock.now() + For; Clock.now() < End;) {
      Clock.advance(Step);
      while (Timers.runDue() != 0) {
        // Callbacks that become due at once run in the same millisecond.
      }
    }
  }

  Job job(bool Transient) const {
    Job New;
    New.Id = JobId("job");
    New.Service = First.Service;
    New.MaxFailures = 3;
    New.Spec.Transient = Transient;
    StepSpec Step;
    Step.Count = 1;
    Step.Needs.CpuMillis = 1000;
    Step.Estimate = std::chrono::milliseconds(100);
    New.Spec.Steps = {Step};
    New.Tasks = {{TaskRecord()}};
    return New;
  }

  ManualClock Clock;
  TimerQueue Timers{Clock};
  WorkerFaults Faults;
  FakeWorkers Workers{Clock, Timers, Faults};
  FakeWorkerCalls Calls{Workers, "10.0.1.1"};
  Metrics Measured;
  FakeLog Log{Timers, {"10.0.9.1", 7000}};
  std::set<DataCentreId> Evacuated;
  WorkerDirectory Directory;
  WorkerInfo First;
  WorkerInfo Second;
};

/// The same as a fixture.
class SchedulerFake : public testing::Test, public SchedulerSetup {};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_TESTS_SCHEDULERFAKE_H
