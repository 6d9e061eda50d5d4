//===- entryinfo.h - What is known of an entry ------------------*- C++ -*-===//
//
// The state of one configured entry in this process's view.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_ENTRYINFO_H
#define GERANIUMBAY_MEMBERSHIP_ENTRYINFO_H

#include "framework/clock/iclock.h"
#include "membership/peer.h"

namespace geraniumbay::membership {

/// How an entry is doing in this process's view.
enum class EntryState {
  Alive,    ///< Heard within the suspicion time.
  Suspect,  ///< Silent for a while; still an owner, but better avoided.
  Draining, ///< Heard, and stopping: finishes its work, owns no worker.
  Dead,     ///< Silent for too long; owns no worker.
};

/// Returns the stable lower-case name of \p State.
const char *entryStateName(EntryState State);

/// One entry as this process sees it.
struct EntryInfo {
  Peer Configured;
  EntryState State = EntryState::Dead;
  /// The newest incarnation heard of; 0 if none ever was.
  geraniumbay::Incarnation Incarnation;
  /// The configuration that the entry said is in force at it.
  ConfigVersion InForce;
  /// Time since the entry last said something.
  Duration Silence{0};
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_ENTRYINFO_H
