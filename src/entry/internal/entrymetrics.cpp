//===- entrymetrics.cpp - What the entry counts ---------------------------===//
//
// Names, help texts and labels of the entry's metrics.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/entrymetrics.h"

namespace geraniumbay::entry {

namespace {

const char *taskEndName(TaskEnd End) {
  switch (End) {
  case TaskEnd::Succeeded:
    return "succeeded";
  case TaskEnd::Failed:
    return "failed";
  case TaskEnd::NotStarted:
    return "not_started";
  case TaskEnd::Refused:
    return "refused";
  case TaskEnd::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace

void noteAnswer(Metrics &All, const char *Kind, const Result &Answer,
                Duration Took) {
  All.count("geraniumbay_answers_total",
            "Answers to callers by kind and reason; reason none is complete.",
            {{"kind", Kind}, {"reason", failureReasonName(Answer.Reason)}});
  All.observe("geraniumbay_response_seconds",
              "Time from a caller's request to its answer.", {{"kind", Kind}},
              Took);
}

void noteTaskEnd(Metrics &All, TaskEnd End) {
  All.count("geraniumbay_tasks_total",
            "Tasks that were sent to workers, by how they ended.",
            {{"end", taskEndName(End)}});
  if (End == TaskEnd::Refused)
    noteWasted(All, "guard_refusal");
  if (End == TaskEnd::NotStarted)
    noteWasted(All, "not_sent");
}

void noteWasted(Metrics &All, const char *Cause) {
  All.count("geraniumbay_wasted_messages_total",
            "Messages to workers that brought no answer of use, by cause.",
            {{"cause", Cause}});
}

} // namespace geraniumbay::entry
