//===- memberrunner.h - Carries out a member's actions ----------*- C++ -*-===//
//
// Feeds events to a replica one at a time and keeps the contract of raft.h:
// what a step changed is durable before its messages, answers and effects can
// be seen, and before the next event is looked at.
//
// After a failed write or sync nothing is known of the disk. The member then
// takes no part in the group: it drops the effects of the step as a network
// would, gives up its leadership, and takes no events until repair() has
// written its whole state anew. Its state in memory stays, and with it what it
// has promised; to the others it was silent for a while.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_MEMBERRUNNER_H
#define GERANIUMBAY_CONTROL_INTERNAL_MEMBERRUNNER_H

#include "control/internal/memberstore.h"
#include "control/internal/replica.h"

#include <deque>
#include <memory>

namespace geraniumbay::control {

/// Where a runner's effects go. No function may destroy the runner.
struct MemberOutputs {
  std::function<void(const Message &)> Send;
  std::function<void(const ProposalReply &)> Reply;
  /// An event has been handled and its effects are out.
  std::function<void(const ReplicaEvent &)> Handled;
  /// The disk failed; the member does nothing until repair() succeeds.
  std::function<void(const Error &)> Failed;
};

/// Runs one replica on its store.
class MemberRunner {
public:
  /// \p Store has recovered the state that \p State was started from.
  MemberRunner(Replica State, MemberStore &Store, const IClock &Clock,
               MemberOutputs Outputs);

  /// Queues \p What. Returns false, and drops it, if the queue is full or the
  /// member has failed.
  bool post(ReplicaEvent What);

  /// The replica; between steps, all of it is durable except that the effects
  /// of a step under way are not yet (see busy()).
  const Replica &replica() const { return State_; }
  /// Whether a step waits for the disk.
  bool busy() const { return BusySince_.has_value(); }
  /// Whether a write has failed since the last that succeeded.
  bool failed() const { return Failed_; }
  /// When the write under way began; nothing if none is.
  std::optional<Time> busySince() const { return BusySince_; }

  /// Of a member that has failed: writes its whole state anew, after which it
  /// takes part again. Blocks. May be called again after it has failed.
  Ret repair();

private:
  void run();
  void handleNext();
  void finish(const ReplicaEvent &What, const ReplicaActions &Do,
              const Outcome<Done> &Synced);
  void stopFor(const Error &Why);

  Replica State_;
  MemberStore &Store_;
  const IClock &Clock_;
  MemberOutputs Outputs_;
  std::deque<ReplicaEvent> Queue_;
  std::optional<Time> BusySince_;
  /// run() is on the stack, so a callback must not start another.
  bool Running_ = false;
  bool Failed_ = false;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_MEMBERRUNNER_H
