//===- jobtypes.h - Jobs, steps and tasks -----------------------*- C++ -*-===//
//
// The plain types of jobs that are accepted durably and asked for later. A job
// has steps; a step has tasks of one kind; a task runs on one worker at a time
// until it has ended well or has failed too often.
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

/// Orders who schedules: workers refuse orders with a lower token than they
/// have seen.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// The id of a job, chosen by the caller. Submitting it again is harmless.
using JobId = StrongId<struct JobTag, std::string>;
/// The configured name of a queue.
using QueueName = StrongId<struct QueueTag, std::string>;
/// Counts the starts of one task; a worker refuses a lower one.
using RunNumber = StrongId<struct RunTag, std::uint64_t>;

/// What a task takes from its worker while it runs.
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
  /// A rough guess of the caller; zero if it made none.
  Duration Estimate{0};
  /// Earlier steps whose tasks must all have ended well before.
  std::vector<std::uint32_t> DependsOn;
  /// A label that the worker must carry; empty for any worker.
  std::string RequiredLabel;
  /// The label of the rack that holds the data; empty if it does not matter.
  std::string PreferredRack;
  /// Most tasks of the step on one worker; 0 for any number.
  std::uint32_t MaxPerWorker = 0;

  bool operator==(const StepSpec &) const = default;
};

/// What a caller submits.
struct JobSpec {
  /// Handed to each task's worker as it is.
  std::string Payload;
  /// Invariant: never empty; a step depends on earlier ones only.
  std::vector<StepSpec> Steps;
  /// The job is not stored: its caller waits for the end, and sends it again if
  /// no answer comes. Then it may run again, though never twice at a time.
  bool Transient = false;

  bool operator==(const JobSpec &) const = default;
};

/// Where a caller submits a job: a host and a path in its name space.
struct QueuePlace {
  std::string Host;
  std::string PathPrefix;

  bool operator==(const QueuePlace &) const = default;
};

/// What the log knows of one task.
struct TaskRecord {
  bool Done = false;
  std::uint32_t Failures = 0;
  /// The highest run whose end is recorded; a lower one is a repetition.
  RunNumber LastEnded;
  /// Whether it may crash its workers.
  scheduling::Suspicion Suspicion;

  bool operator==(const TaskRecord &) const = default;
};

enum class JobState { Active, Completed, Failed, Cancelled };

/// Stable name of \p State for logs.
const char *jobStateName(JobState State);

/// One task of a job that may crash its workers.
struct SuspectTask {
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  scheduling::Suspicion Suspicion;

  bool operator==(const SuspectTask &) const = default;
};

/// What was seen of a job's tasks, kept for when the job is sent again.
struct RememberedSuspects {
  Time Since;
  std::vector<SuspectTask> Tasks;
};
using SuspectsByJob = std::unordered_map<JobId, RememberedSuspects>;
/// How long it is kept: callers send a job again for some seconds.
constexpr Duration SuspectRetention = std::chrono::seconds(60);

/// A job with all that is durable about it.
struct Job {
  JobId Id;
  QueuePlace Place;
  QueueName Queue;
  ServiceId Service;
  /// 0 goes first.
  std::uint32_t Priority = 0;
  /// A task that has failed this often fails the job.
  std::uint32_t MaxFailures = 1;
  /// Of a transient job: what its queue promises.
  scheduling::Objective Promised;
  /// What schedulers before have seen of its tasks.
  std::vector<SuspectTask> Suspects;
  /// The token of the scheduler that accepted it.
  FencingToken AcceptedUnder;
  JobSpec Spec;
  JobState State = JobState::Active;
  /// By step and index. Invariant: as the counts of Spec; empty once the job
  /// is not active.
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
  /// Whether the task ended well; else it counts as a failure.
  bool Succeeded = false;

  bool operator==(const TaskEnd &) const = default;
};

/// A worker that was lost under a task.
struct TaskLoss {
  TaskId Task;
  scheduling::WorkerLoss Cause = scheduling::WorkerLoss::Silent;
  /// Nothing else ran there.
  bool Alone = false;

  bool operator==(const TaskLoss &) const = default;
};

/// How the workers are divided among the entries that schedule.
enum class PoolPlan {
  One,    ///< One pool of all workers.
  ByRack, ///< A pool for each rack, or group of racks, of each data centre.
};

/// The group of each rack, by data centre. A rack without one, as one that has
/// come since the workers were divided, is a group of its own.
using RackGroups = std::map<DataCentreId, std::map<std::string, std::string>>;

/// A batch of changes, as one entry of the log.
struct JobChanges {
  std::vector<Job> Accepted;
  std::vector<TaskEnd> Ended;
  std::vector<TaskLoss> Lost;
  std::vector<JobId> Cancelled;
  std::vector<JobId> Forgotten;
  std::vector<EvacuationOrder> Evacuations;
  /// From now on the workers are divided by racks, for good, into these groups.
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
