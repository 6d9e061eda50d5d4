//===- batcher.cpp - Batched appends to the log ---------------------------===//
//
// At most one flush per iteration of the event loop, and a bounded number of
// batches in progress.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/batcher.h"

#include "jobs/internal/jobwire.h"

#include <iterator>

namespace geraniumbay::jobs {

namespace {

/// Batches in progress: one being written to the leader's disk and one being
/// replicated to the followers. More would wait for the same disks.
constexpr std::size_t MaxBatchesInProgress = 2;

template <typename T> void moveInto(std::vector<T> &Into, std::vector<T> From) {
  Into.insert(Into.end(), std::make_move_iterator(From.begin()),
              std::make_move_iterator(From.end()));
}

} // namespace

Batcher::Batcher(control::IReplicatedLog &Log, ITimers &Timers)
    : Log_(Log), Timers_(Timers) {}

Batcher::~Batcher() {
  *Alive_ = false;
  for (const Callback &Run : Waiting_)
    Run(Error{ErrorCode::Unavailable, "leadership was lost before the append"});
}

void Batcher::add(JobChanges Changes, Callback Committed) {
  moveInto(Next_.Accepted, std::move(Changes.Accepted));
  moveInto(Next_.Ended, std::move(Changes.Ended));
  moveInto(Next_.Lost, std::move(Changes.Lost));
  moveInto(Next_.Cancelled, std::move(Changes.Cancelled));
  moveInto(Next_.Forgotten, std::move(Changes.Forgotten));
  moveInto(Next_.Evacuations, std::move(Changes.Evacuations));
  Waiting_.push_back(std::move(Committed));
  if (FlushDue_)
    return;
  FlushDue_ = true;
  Timers_.after(Duration::zero(), [this, Alive = Alive_] {
    if (!*Alive)
      return;
    FlushDue_ = false;
    flush();
  });
}

void Batcher::flush() {
  if (Waiting_.empty() || InProgress_ >= MaxBatchesInProgress)
    return;
  ++InProgress_;
  std::string Batch = wire::writeChanges(std::exchange(Next_, JobChanges()));
  Log_.append(std::move(Batch),
              [this, Alive = Alive_, Callbacks = std::exchange(Waiting_, {})](
                  const Outcome<Done> &Result) {
                for (const Callback &Run : Callbacks)
                  Run(Result);
                if (!*Alive)
                  return;
                --InProgress_;
                flush();
              });
}

} // namespace geraniumbay::jobs
