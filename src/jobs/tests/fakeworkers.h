//===- fakeworkers.h - Simulated workers for tests --------------*- C++ -*-===//
//
// Simulated workers on a test clock that implement IWorkerCalls: they run tasks
// for a given time, kill all tasks when the lease expires, obey the highest
// fencing token, and keep their ends. They record every start, so that a test
// can check whether a task ever ran twice at a time.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_TESTS_FAKEWORKERS_H
#define GERANIUMBAY_JOBS_TESTS_FAKEWORKERS_H

#include "framework/clock/itimers.h"
#include "framework/random/random.h"
#include "jobs/workerdirectory.h"

#include <map>
#include <set>

namespace geraniumbay::jobs {

/// Faults injected between callers and workers.
struct WorkerFaults {
  /// Pairs of hosts that cannot reach each other.
  std::set<std::pair<std::string, std::string>> Cut;
  /// Percentage of orders that get no answer and are carried out late.
  std::uint64_t LatePercent = 0;

  bool isCut(const std::string &One, const std::string &Other) const {
    return Cut.count({One, Other}) != 0 || Cut.count({Other, One}) != 0;
  }
};

/// All workers of a test.
class FakeWorkers {
public:
  FakeWorkers(const IClock &Clock, ITimers &Timers, WorkerFaults &Faults)
      : Clock_(Clock), Timers_(Timers), Faults_(Faults) {}

  /// Adds a worker with \p CpuMillis and returns its announcement.
  WorkerInfo add(const std::string &Host, const std::string &DataCentre,
                 std::uint32_t CpuMillis);

  /// Run time of tasks, and the percentage that fails.
  Duration TaskTime = std::chrono::milliseconds(200);
  std::uint64_t FailPercent = 0;
  /// Jobs whose tasks crash every worker that starts them. The worker comes
  /// back after CrashDown, under another id unless KeepIds is set, and
  /// Restarted is called.
  std::set<JobId> CrashingJobs;
  Duration CrashDown = std::chrono::seconds(2);
  std::function<void(const WorkerInfo &Old, const WorkerInfo &New)> Restarted;
  /// Crashed workers come back under their own id, with a later start time;
  /// they also report their start times to owners.
  bool KeepIds = false;
  /// Workers on which every task fails at once.
  std::set<WorkerId> Broken;
  /// The most ends that a hold answer lists, lowest first. The platform's
  /// workers list this many.
  std::size_t EndsPerAnswer = 500;
  /// Hold answers are partial, as if a running task could not be read.
  bool PartialAnswers = false;
  Random Rng{1};

  // Observations.
  /// Tasks of which two runs existed at the same time.
  std::set<TaskId> Doubled;
  /// Tasks whose successful end was acknowledged to the worker, and those of
  /// them that started again after that end, before or after the
  /// acknowledgement. An end counts only if the lease had not expired between
  /// it and its acknowledgement.
  std::set<TaskId> Acknowledged;
  std::set<TaskId> RepeatedAfterEnd;
  std::uint64_t Starts = 0;
  std::map<DataCentreId, std::uint64_t> StartsIn;
  std::map<DataCentreId, Time> LastStartIn;
  std::map<WorkerId, std::uint64_t> StartsOn;
  std::uint64_t StartsOnBroken = 0;
  std::uint64_t RoomRefusals = 0;
  /// Number of starts, by task of a crashing job.
  std::map<TaskId, std::uint64_t> StartsOfCrashing;
  std::uint64_t Crashes = 0;

  std::size_t running() const;
  /// How many ends were not acknowledged yet.
  std::size_t unacknowledgedEnds() const;
  /// The most ends that a hold answer has listed.
  std::size_t LongestList = 0;
  std::uint64_t HoldsAnswered = 0;

  /// Ends the worker's process; it comes back after CrashDown.
  void crash(const WorkerId &Id) { crash(Workers_[Id]); }
  /// Makes the start time of \p Id known, as in its announcement \p Info.
  void reportStart(WorkerInfo &Info);

private:
  friend class FakeWorkerCalls;
  struct Running {
    RunNumber Number;
    std::uint64_t Serial;
  };
  struct Worker {
    WorkerInfo Info;
    FencingToken Token;
    std::map<TaskId, Running> Tasks;
    std::map<TaskId, RunNumber> Ended;
    std::vector<EndedTask> Ends;
    std::uint64_t LastEnd = 0;
    Time Lease;
    /// The lease has expired after all ends up to this one.
    std::uint64_t LastEndBeforeExpiry = 0;
    /// Answers the pending hold early; empty if there is none.
    std::function<void()> Waiting;
    /// The test clock's reading when the process started, in milliseconds.
    std::int64_t ClockBase = 0;
    /// Its process has ended, and another incarnation has replaced it.
    bool Down = false;
    bool Replaced = false;
  };

  StartAnswer start(Worker &Target, const StartOrder &Order);
  /// Returns whether the token was accepted.
  bool stop(Worker &Target, const StopOrder &Order);
  Outcome<HoldAnswer> look(Worker &Target, const HoldOrder &Order);
  void extend(Worker &Target, WorkerMillis Until);
  void end(Worker &Target, const TaskId &Task, EndKind Kind);
  void checkLease(Worker &Target);
  void crash(Worker &Target);
  void comeBack(const WorkerId &Id);
  /// Changes the capacity of the worker without announcing it.
public:
  void setCapacity(const WorkerId &Id, std::uint32_t CpuMillis) {
    Workers_[Id].Info.Capacity.CpuMillis = CpuMillis;
  }

private:
  bool runsElsewhere(const Worker &Here, const TaskId &Task);
  WorkerMillis clockNow(const Worker &At) const;

  const IClock &Clock_;
  ITimers &Timers_;
  WorkerFaults &Faults_;
  std::uint64_t LastSerial_ = 0;
  std::map<TaskId, RunNumber> HighestRuns_;
  std::map<WorkerId, Worker> Workers_;
};

/// The calls from one host to the workers; each way takes a millisecond.
class FakeWorkerCalls : public IWorkerCalls {
public:
  FakeWorkerCalls(FakeWorkers &Workers, std::string Host)
      : All_(Workers), Host_(std::move(Host)) {}

  void start(const WorkerTarget &To, const StartOrder &Order,
             std::function<void(StartAnswer)> Done) override;
  using IWorkerCalls::stop;
  void stop(const WorkerTarget &To, const StopOrder &Order,
            StopCallback Done) override;
  void hold(const WorkerTarget &To, const HoldOrder &Order,
            std::function<void(Outcome<HoldAnswer>)> Done) override;

  /// The host's process has ended: it sends nothing.
  bool Dead = false;
  /// What the host's link carries, one message after the other; 0: no limit. A
  /// message of a call that has timed out is not sent any more.
  std::uint64_t LinkBytesPerMilli = 0;

private:
  /// Calls \p Arrive on the worker once the link has carried \p Bytes and the
  /// one-way delay has passed; Answers is false for a late order, which must
  /// not be answered.
  void deliver(const WorkerTarget &To, std::size_t Bytes, Duration Timeout,
               std::function<void(FakeWorkers::Worker &, bool Answers)> Arrive);
  /// The time until the link has carried a message that is sent now; empty if
  /// it is not sent before \p Timeout.
  std::optional<Duration> transmissionTime(std::size_t Bytes, Duration Timeout);

  FakeWorkers &All_;
  const std::string Host_;
  Time LinkFreeAt_{};
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_TESTS_FAKEWORKERS_H
