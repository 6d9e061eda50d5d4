//===- entrymetrics.h - What the entry counts -------------------*- C++ -*-===//
//
// The two measures of the users, response time and wasted messages, and the
// answers by reason. Names and units are part of the operators' interface.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_ENTRYMETRICS_H
#define GERANIUMBAY_ENTRY_INTERNAL_ENTRYMETRICS_H

#include "entry/internal/job.h"
#include "framework/metrics/metrics.h"

namespace geraniumbay::entry {

/// Counts an answer that a caller got after \p Took. \p Kind is "job" or
/// "task".
void noteAnswer(Metrics &All, const char *Kind, const Result &Answer,
                Duration Took);

/// Counts the end of a task that was sent to a worker.
void noteTaskEnd(Metrics &All, TaskEnd End);

/// Counts a message that was wasted, by its cause.
void noteWasted(Metrics &All, const char *Cause);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_ENTRYMETRICS_H
