//===- names.cpp - Names of the membership's states -----------------------===//
//
// The stable names under which states appear in logs and answers.
//
//===----------------------------------------------------------------------===//

#include "membership/entryinfo.h"
#include "membership/iannouncementsink.h"

namespace geraniumbay::membership {

const char *entryStateName(EntryState State) {
  switch (State) {
  case EntryState::Alive:
    return "alive";
  case EntryState::Suspect:
    return "suspect";
  case EntryState::Draining:
    return "draining";
  case EntryState::Dead:
    return "dead";
  }
  return "dead";
}

const char *goneReasonName(GoneReason Reason) {
  switch (Reason) {
  case GoneReason::Left:
    return "left";
  case GoneReason::Silent:
    return "silent";
  case GoneReason::NotOwner:
    return "not_owner";
  }
  return "not_owner";
}

} // namespace geraniumbay::membership
