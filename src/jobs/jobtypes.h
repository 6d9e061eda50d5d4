//===- jobtypes.h - Jobs, steps and tasks -----------------------*- C++ -*-===//
//
// Plain types for jobs. A job has steps, a step has tasks of one kind, and a
// task runs on one worker at a time until it has succeeded or has failed too
// often. Jobs are stored durably unless they are transient.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_JOBTYPES_H
#define GERANIUMBAY_JOBS_JOBTYPES_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"
#include "jobs/evacuations.h"
#include "scheduling/suspicion.h"
#include "scheduling/usefulness.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumbay::jobs {

/// Ranks schedulers: workers refuse orders with a lower token than the highest
/// they have seen.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// The id of a job, chosen by the caller. Submitting a job again under the same
/// id has no further effect.
using JobId = StrongId<struct JobTag, std::string>;
/// The configured name of a queue.
using QueueName = StrongId<struct QueueTag, std::string>;
/// Counts the starts of one task; a worker refuses a number not above the last
/// one.
using RunNumber = StrongId<struct RunTag, std::uint64_t>;

/// Resources that a task occupies on its worker while it runs.
struct Resources {
  /// Thousandths of a core.
  std::uint32_t CpuMillis = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Gpus = 0;

  bool operator==(const Resources &) const = default;
};

/// Tasks of one kind.
struct StepSpec {
  std::uint32_t Count = 1;
  Resources Needs;
  /// Estimated run time given by the caller; zero if none was given.
  Duration Estimate{0};
  /// Earlier steps whose tasks must all have succeeded first.
  std::vector<std::uint32_t> DependsOn;
  /// A label that the worker must carry; empty for any worker.
  std::string RequiredLabel;
  /// The label of the rack that holds the data; empty for no preference.
  std::string PreferredRack;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker = 0;

  bool operator==(const StepSpec &) const = default;
};

/// What a caller submits.
struct JobSpec {
  /// Passed unchanged to the worker of each task.
  std::string Payload;
  /// Invariant: never empty; a step depends on earlier ones only.
  std::vector<StepSpec> Steps;
  /// The job is not stored: its caller waits for the result and submits it
  /// again if no answer arrives. It may then run again, but never twice at a
  /// time.
  bool Transient = false;

  bool operator==(const JobSpec &) const = default;
};

/// Where callers submit jobs: a host and a path prefix on it.
struct QueuePlace {
  std::string Host;
  std::string PathPrefix;

  bool operator==(const QueuePlace &) const = default;
};

/// The logged state of one task.
struct TaskRecord {
  bool Done = false;
  std::uint32_t Failures = 0;
  /// The highest run whose end is recorded; the end of a lower one is a
  /// duplicate.
  RunNumber LastEnded;
  /// Evidence that it crashes its workers.
  scheduling::Suspicion Suspicion;

  bool operator==(const TaskRecord &) const = default;
};

enum class JobState { Active, Completed, Failed, Cancelled };

/// Stable name of \p State for logs.
const char *jobStateName(JobState State);

/// A task that is suspected of crashing its workers.
struct SuspectTask {
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  scheduling::Suspicion Suspicion;

  bool operator==(const SuspectTask &) const = default;
};

/// Suspect tasks of a job, kept in case the job is submitted again.
struct RememberedSuspects {
  Time Since;
  std::vector<SuspectTask> Tasks;
};
using SuspectsByJob = std::unordered_map<JobId, RememberedSuspects>;
/// How long suspects are remembered: callers resubmit a job for a few seconds.
constexpr Duration SuspectRetention = std::chrono::seconds(60);

/// A job and its durable state.
struct Job {
  JobId Id;
  QueuePlace Place;
  QueueName Queue;
  ServiceId Service;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Number of failures of one task that fails the job.
  std::uint32_t MaxFailures = 1;
  /// For a transient job: the objective of its queue.
  scheduling::Objective Promised;
  /// Suspect tasks reported by earlier schedulers.
  std::vector<SuspectTask> Suspects;
  /// The token of the scheduler that accepted it.
  FencingToken AcceptedUnder;
  JobSpec Spec;
  JobState State = JobState::Active;
  /// By step and index. Invariant: sized as in Spec while the job is active,
  /// empty afterwards.
  std::vector<std::vector<TaskRecord>> Tasks;

  bool operator==(const Job &) const = default;
};

/// One task of one job.
struct TaskId {
  JobId Job;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  auto operator<=>(const TaskId &) const = default; // NOLINT
  bool operator==(const TaskId &) const = default;
};

/// The recorded end of one run of a task.
struct TaskEnd {
  TaskId Task;
  RunNumber Run;
  /// False counts as a failure.
  bool Succeeded = false;

  bool operator==(const TaskEnd &) const = default;
};

/// The loss of a worker that ran a task.
struct TaskLoss {
  TaskId Task;
  scheduling::WorkerLoss Cause = scheduling::WorkerLoss::Silent;
  /// No other task ran there.
  bool Alone = false;

  bool operator==(const TaskLoss &) const = default;
};

/// How workers are divided into pools, each scheduled by one entry.
enum class PoolPlan {
  One,    ///< One pool of all workers.
  ByRack, ///< A pool for each rack, or group of racks, of each data centre.
};

/// The group of each rack, by data centre. A rack without one, such as one
/// added after the division, forms a group of its own.
using RackGroups = std::map<DataCentreId, std::map<std::string, std::string>>;

/// A batch of changes, written as one log entry.
struct JobChanges {
  std::vector<Job> Accepted;
  std::vector<TaskEnd> Ended;
  std::vector<TaskLoss> Lost;
  std::vector<JobId> Cancelled;
  std::vector<JobId> Forgotten;
  std::vector<EvacuationOrder> Evacuations;
  /// Permanently divides the workers by rack, into these groups.
  bool SplitByRack = false;
  RackGroups Groups;

  bool empty() const {
    return Accepted.empty() && Ended.empty() && Lost.empty() &&
           Cancelled.empty() && Forgotten.empty() && Evacuations.empty() &&
           !SplitByRack;
  }
  bool operator==(const JobChanges &) const = default;
};

} // namespace geraniumbay::jobs

template <> struct std::hash<geraniumbay::jobs::TaskId> {
  std::size_t operator()(const geraniumbay::jobs::TaskId &Id) const noexcept {
    constexpr std::size_t Mix = 0x9E3779B97F4A7C15U;
    std::size_t Value = std::hash<geraniumbay::jobs::JobId>()(Id.Job);
    return (Value * Mix) ^ (Id.Step * Mix + Id.Index);
  }
};

#endif // GERANIUMBAY_JOBS_JOBTYPES_H
