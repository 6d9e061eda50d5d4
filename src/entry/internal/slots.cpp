//===- slots.cpp - Words of the pool in words of the entry ----------------===//
//
// The mappings between the pool's words and the entry's.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/slots.h"

namespace geraniumbay::entry {

namespace {

FailureReason reasonOf(dispatch::RejectReason Reason) {
  switch (Reason) {
  case dispatch::RejectReason::Overloaded:
  case dispatch::RejectReason::Lost:
    return FailureReason::Overloaded;
  case dispatch::RejectReason::DeadlineUnmet:
    return FailureReason::DeadlineExceeded;
  case dispatch::RejectReason::NeverFits:
    return FailureReason::NeverFits;
  case dispatch::RejectReason::NoWorkers:
    return FailureReason::NoWorkers;
  case dispatch::RejectReason::Draining:
    return FailureReason::Draining;
  }
  return FailureReason::Overloaded;
}

} // namespace

Result rejectedResult(const dispatch::Rejection &Event) {
  return notRun(reasonOf(Event.Reason),
                std::string("no slot: ") +
                    dispatch::rejectReasonName(Event.Reason),
                Event.RetryAfter);
}

bool ownerGone(const dispatch::Rejection &Event) {
  return Event.Reason == dispatch::RejectReason::Lost ||
         Event.Reason == dispatch::RejectReason::Draining;
}

dispatch::LeaseOutcome leaseOutcomeOf(TaskEnd End) {
  switch (End) {
  case TaskEnd::Succeeded:
    return dispatch::LeaseOutcome::Succeeded;
  case TaskEnd::NotStarted:
    // The task was to be sent, and the worker could not be reached.
    return dispatch::LeaseOutcome::Unreachable;
  case TaskEnd::Refused:
    return dispatch::LeaseOutcome::Refused;
  case TaskEnd::Failed:
  case TaskEnd::Unknown:
    return dispatch::LeaseOutcome::Failed;
  }
  return dispatch::LeaseOutcome::Failed;
}

} // namespace geraniumbay::entry
