//===- modelworker.h - A small stand-in for a worker ------------*- C++ -*-===//
//
// A worker with slots and a guard that refuses what is too much, and the
// faults of the scenes.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_MODELWORKER_H
#define GERANIUMBAY_MODEL_INTERNAL_MODELWORKER_H

#include "dispatch/types.h"
#include "model/internal/world.h"

#include <functional>
#include <map>

namespace geraniumbay::model {

class ModelWorker {
public:
  /// Called when the task ends at the worker, with its run time there.
  using Ended = std::function<void(dispatch::LeaseOutcome, Duration Ran)>;

  ModelWorker(World &Shared, std::size_t Index);

  /// Takes a task that runs for \p Run on a healthy worker. Returns the id for
  /// cancel().
  std::uint64_t start(Duration Run, Ended OnEnd);
  /// Stops a task, which then does not call back; false if it had ended.
  bool cancel(std::uint64_t Task);

  /// What the worker announces now; nothing if it is dead.
  std::optional<dispatch::WorkerAnnouncement> announcement() const;

  bool isFaulty() const;
  WorkerFault fault() const;
  std::size_t index() const { return Index_; }
  std::size_t centre() const;
  std::uint32_t busy() const {
    return static_cast<std::uint32_t>(Running_.size());
  }
  std::uint32_t slots() const;
  /// Tasks that came after it began to fail, before the first probe.
  std::uint64_t startsWhileFailing() const { return StartsWhileFailing_; }

  /// Called whenever a slot becomes free.
  std::function<void()> OnFree;

private:
  struct Task {
    TimerId Timer;
    Ended OnEnd;
  };

  void end(std::uint64_t Id, dispatch::LeaseOutcome Outcome, Duration Ran);
  void die();

  World &Shared_;
  std::size_t Index_;
  std::map<std::uint64_t, Task> Running_;
  std::uint64_t LastTask_ = 0;
  std::uint64_t StartsWhileFailing_ = 0;
};

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_MODELWORKER_H
