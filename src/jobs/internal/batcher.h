//===- batcher.h - Changes on their way into the log ------------*- C++ -*-===//
//
// Collects the changes of a leader and puts them into the log in batches: what
// comes while the log is busy goes into the next batch, so the number of syncs
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
  /// Called once with the outcome of the batch that holds a change, perhaps
  /// after the batcher has gone. Unavailable: the change was never appended.
  using Callback = std::function<void(const Outcome<Done> &)>;

  /// Both outlive the batcher.
  Batcher(control::IReplicatedLog &Log, ITimers &Timers);
  ~Batcher();
  Batcher(const Batcher &) = delete;
  Batcher &operator=(const Batcher &) = delete;

  /// Adds \p Changes to the next batch.
  void add(JobChanges Changes, Callback Committed);
  /// Whether nothing is under way.
  bool idle() const { return UnderWay_ == 0 && Waiting_.empty(); }

private:
  void flush();

  control::IReplicatedLog &Log_;
  ITimers &Timers_;
  JobChanges Next_;
  std::vector<Callback> Waiting_;
  std::size_t UnderWay_ = 0;
  /// A flush at the end of this turn of the loop is due.
  bool Due_ = false;
  /// Outlived by callbacks that must not reach a batcher that is gone.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_BATCHER_H
