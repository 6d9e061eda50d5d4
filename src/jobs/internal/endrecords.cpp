//===- endrecords.cpp - Ends of runs, recorded ----------------------------===//
//
// What a run's end tells of its task and its worker. The end of a durable task
// is in the log before the worker may forget it.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

} // namespace

void Scheduler::recordEnds(WorkerSession &On, const HoldFindings &Findings) {
  JobChanges Durable;
  JobChanges Passing;
  for (const EndedTask &End : Findings.Ended) {
    const TaskRecord *Record = taskOf(End.Task);
    if (End.Kind != EndKind::Done && Record)
      logEvent(LogLevel::Warning, Module, "task_not_done",
               {{"job", End.Task.Job},
                {"step", End.Task.Step},
                {"index", End.Task.Index},
                {"run", End.Run.value()},
                {"worker", On.Info.Worker},
                {"counts", End.Kind == EndKind::Failed},
                {"failures", Record->Failures}});
    if (End.Kind == EndKind::Other || !Record || Record->Done)
      continue;
    bool Succeeded = End.Kind == EndKind::Done;
    noteEnd(On, Succeeded, Record->Failures == 0, Needs_.Clock.now());
    auto Took = Findings.RunTimings.find(End.Task);
    if (Succeeded && Took != Findings.RunTimings.end())
      noteRan(On, End.Task, Took->second);
    if (Succeeded)
      FailedAt_.erase(End.Task);
    else
      FailedAt_[End.Task] = On.Info.Worker;
    if (On.ConsecutiveFailures == DistrustThreshold && !Succeeded)
      logEvent(LogLevel::Warning, Module, "worker_distrusted",
               {{"worker", On.Info.Worker},
                {"failed_in_row", On.ConsecutiveFailures},
                {"runs", On.Runs.size()}});
    JobChanges &Into = isTransient(End.Task.Job) ? Passing : Durable;
    Into.Ended.push_back({End.Task, End.Run, End.Kind == EndKind::Done});
  }
  WorkerId Worker = On.Info.Worker;
  std::uint64_t Upto = On.LastBatchedEnd;
  if (Durable.empty())
    On.LastRecordedEnd = Upto;
  else
    recordDurably(Worker, Upto, std::move(Durable));
  apply(Transient_, Passing);
  committed(Passing);
}

void Scheduler::recordDurably(const WorkerId &Worker, std::uint64_t Upto,
                              JobChanges Changes) {
  JobChanges Copy = Changes;
  for (const TaskEnd &End : Changes.Ended)
    Ending_.insert(End.Task);
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Worker, Upto,
                 Ends = std::move(Copy)](const Outcome<Done> &Was) {
                  // Without an answer from the log this leader is none any
                  // more; the next one finds the ends at the worker.
                  if (!*Alive || !Was)
                    return;
                  for (const TaskEnd &End : Ends.Ended)
                    Ending_.erase(End.Task);
                  committed(Ends);
                  for (const TaskEnd &End : Ends.Ended)
                    runRecorded(End.Task.Job);
                  if (!*Alive)
                    return;
                  WorkerSession *With = session(Worker);
                  if (!With)
                    return;
                  With->LastRecordedEnd = std::max(With->LastRecordedEnd, Upto);
                  if (With->LastRecordedEnd == With->LastBatchedEnd)
                    sendHold(*With);
                });
}

} // namespace geraniumbay::jobs
