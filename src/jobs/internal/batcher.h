//===- batcher.h - Batched appends to the log -------------------*- C++ -*-===//
//
// Appends the changes of a leader to the log in batches. Changes that arrive
// while the log is busy go into the next batch, so the number of disk syncs
// does not grow with the load.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_BATCHER_H
#define GERANIUMBAY_JOBS_INTERNAL_BATCHER_H

#include "control/ireplicatedlog.h"
#include "framework/clock/itimers.h"
#include "jobs/jobtypes.h"

#include <memory>

namespace geraniumbay::jobs {

/// The batches of one leader's term.
class Batcher {
public:
  /// Called once with the outcome of the batch that contains the change,
  /// possibly after the batcher is destroyed. Unavailable: the change was never
  /// appended.
  using Callback = std::function<void(const Outcome<Done> &)>;

  /// Both outlive the batcher.
  Batcher(control::IReplicatedLog &Log, ITimers &Timers);
  ~Batcher();
  Batcher(const Batcher &) = delete;
  Batcher &operator=(const Batcher &) = delete;

  /// Adds \p Changes to the next batch.
  void add(JobChanges Changes, Callback Committed);
  /// Whether no change is waiting or being appended.
  bool idle() const { return InProgress_ == 0 && Waiting_.empty(); }

private:
  void flush();

  control::IReplicatedLog &Log_;
  ITimers &Timers_;
  JobChanges Next_;
  std::vector<Callback> Waiting_;
  std::size_t InProgress_ = 0;
  /// A flush is scheduled for the end of this iteration of the event loop.
  bool FlushDue_ = false;
  /// Shared with callbacks, which check it before they access the batcher;
  /// false once it is destroyed.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_BATCHER_H
