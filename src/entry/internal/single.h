//===- single.h - The coordinator of a repeatable task ----------*- C++ -*-===//
//
// The decision core of a single task that may run more than once: it needs no
// claim, and is tried again or sent a second time (hedged) within the budget.
// The first answer counts; the other attempts are stopped.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_SINGLE_H
#define GERANIUMBAY_ENTRY_INTERNAL_SINGLE_H

#include "entry/internal/job.h"

#include <functional>

namespace geraniumbay::entry {

/// Takes one extra message from the entry's budget; false if there is none.
using TakeToken = std::function<bool()>;

/// Most attempts of one task, whatever the budget says. An owner that vanishes
/// with the request counts as an attempt too.
constexpr std::uint32_t MaxAttempts = 4;

/// One try of the task.
struct Attempt {
  /// Set while the attempt runs.
  std::optional<dispatch::Lease> Held;
};

/// One repeatable task on its way. Actions name an attempt by its number, in
/// place of the index of a job's task.
struct Single {
  Submission Request;
  std::vector<Attempt> Attempts;
  /// Slots asked for and not leased yet.
  std::uint32_t Acquiring = 0;
  /// Slots ever asked for. Invariant: at most MaxAttempts, and never less than
  /// the number of attempts.
  std::uint32_t Acquired = 0;
  /// Whether any attempt may have run.
  bool MaybeRan = false;
  bool Hedged = false;
  bool Over = false;
  /// The failure to tell if no further attempt is made.
  std::optional<Result> LastFailure;
};

JobActions startSingle(Single &State, Submission Request);
JobActions onLease(Single &State, const dispatch::Lease &Held);
JobActions onRejected(Single &State, const dispatch::Rejection &Event);
/// \p Event.Task is the number of the attempt.
JobActions onTaskEnd(Single &State, const TaskEvent &Event,
                     const TakeToken &Take);
/// The task runs longer than almost all of its kind: a second attempt may be
/// made.
JobActions onHedgeDue(Single &State, const TakeToken &Take);
JobActions onDeadline(Single &State);
/// The caller cancels, or does not wait any more.
JobActions onCancel(Single &State);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_SINGLE_H
