//===- endrecords.cpp - Recording the ends of runs ------------------------===//
//
// Updates what is known of tasks and workers when runs end. A worker may forget
// the end of a durable task only once it is in the log.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

/// Logs what became of a batch with \p Ends of tasks at \p Worker. If the
/// leadership was lost, the batch may be in the log all the same.
void logRecording(const WorkerId &Worker, const std::vector<TaskEnd> &Ends,
                  const Outcome<Done> &Result) {
  for (const TaskEnd &End : Ends)
    logEvent(Result ? LogLevel::Info : LogLevel::Warning, Module,
             Result ? "end_recorded" : "end_unconfirmed",
             {{"job", End.Task.Job},
              {"step", End.Task.Step},
              {"index", End.Task.Index},
              {"run", End.Run.value()},
              {"worker", Worker},
              {"succeeded", End.Succeeded},
              {"reason", Result ? "" : Result.error().Message.c_str()}});
}

} // namespace

void Scheduler::recordEnds(WorkerSession &Session,
                           const HoldFindings &Findings) {
  JobChanges Durable;
  JobChanges TransientEnds;
  std::optional<std::uint64_t> LowestDurable;
  for (const EndedTask &End : Findings.Ended) {
    const TaskRecord *Record = taskOf(End.Task);
    if (End.Kind != EndKind::Done && Record)
      logEvent(LogLevel::Warning, Module, "task_not_done",
               {{"job", End.Task.Job},
                {"step", End.Task.Step},
                {"index", End.Task.Index},
                {"run", End.Run.value()},
                {"worker", Session.Info.Worker},
                {"counts", End.Kind == EndKind::Failed},
                {"failures", Record->Failures}});
    if (End.Kind == EndKind::Other || !Record || Record->Done)
      continue;
    bool Succeeded = End.Kind == EndKind::Done;
    noteEnd(Session, Succeeded, Record->Failures == 0, Deps_.Clock.now());
    auto RunTime = Findings.RunTimings.find(End.Task);
    if (Succeeded && RunTime != Findings.RunTimings.end())
      noteRunTime(Session, End.Task, RunTime->second);
    if (Succeeded)
      FailedAt_.erase(End.Task);
    else
      FailedAt_[End.Task] = Session.Info.Worker;
    if (Session.ConsecutiveFailures == DistrustThreshold && !Succeeded)
      logEvent(LogLevel::Warning, Module, "worker_distrusted",
               {{"worker", Session.Info.Worker},
                {"consecutive_failures", Session.ConsecutiveFailures},
                {"runs", Session.Runs.size()}});
    bool Transient = isTransient(End.Task.Job);
    if (!Transient)
      LowestDurable = std::min(LowestDurable.value_or(End.Number), End.Number);
    JobChanges &Into = Transient ? TransientEnds : Durable;
    Into.Ended.push_back({End.Task, End.Run, Succeeded});
  }
  if (LowestDurable)
    recordDurably(Session, *LowestDurable, std::move(Durable));
  apply(Transient_, TransientEnds);
  onCommitted(TransientEnds);
}

void Scheduler::recordDurably(WorkerSession &Session, std::uint64_t LowestEnd,
                              JobChanges Changes) {
  EndBatchId Batch(++LastEndBatch_);
  Session.UnrecordedBatches.emplace(Batch, LowestEnd);
  JobChanges Copy = Changes;
  for (const TaskEnd &End : Changes.Ended)
    Ending_.insert(End.Task);
  Batches_->add(std::move(Changes),
                [this, Alive = Alive_, Batch, Worker = Session.Info.Worker,
                 Ends = std::move(Copy)](const Outcome<Done> &Result) {
                  logRecording(Worker, Ends.Ended, Result);
                  // A failed append means that the leadership was lost; the
                  // next leader gets the ends from the worker.
                  if (!*Alive || !Result)
                    return;
                  for (const TaskEnd &End : Ends.Ended)
                    Ending_.extract(End.Task);
                  onCommitted(Ends);
                  for (const TaskEnd &End : Ends.Ended)
                    runRecordingCallbacks(End.Task.Job);
                  if (!*Alive)
                    return;
                  WorkerSession *Current = session(Worker);
                  // A session that began after the batch does not contain it:
                  // its worker may have numbered its ends anew, or listed more
                  // of them.
                  if (!Current || Current->UnrecordedBatches.erase(Batch) == 0)
                    return;
                  if (!isRecordingEnds(*Current))
                    sendHold(*Current);
                });
}

} // namespace geraniumbay::jobs
