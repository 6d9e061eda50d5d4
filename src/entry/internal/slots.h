//===- slots.h - Words of the pool in words of the entry --------*- C++ -*-===//
//
// Maps a pool's rejections to the reasons that callers see, and the end of a
// task to what the pool learns from it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_SLOTS_H
#define GERANIUMBAY_ENTRY_INTERNAL_SLOTS_H

#include "dispatch/types.h"
#include "entry/internal/job.h"

namespace geraniumbay::entry {

/// The result of a submission that got no slot and of which nothing ran.
Result rejectedResult(const dispatch::Rejection &Event);

/// Whether another pool may still take the request: its owner went away.
bool ownerGone(const dispatch::Rejection &Event);

/// What the pool is told about a task that ended with \p End.
dispatch::LeaseOutcome leaseOutcomeOf(TaskEnd End);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_SLOTS_H
