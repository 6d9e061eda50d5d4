//===- memberrunner.cpp - Carries out a member's actions ------------------===//
//
// The queue of events and the wait for the disk between step and effects.
//
//===----------------------------------------------------------------------===//

#include "control/internal/memberrunner.h"

namespace geraniumbay::control {

namespace {

/// Peers send again what is dropped; proposers are told.
constexpr std::size_t MaxQueuedEvents = 1024;

} // namespace

MemberRunner::MemberRunner(Replica State, MemberStore &Store,
                           const IClock &Clock, MemberOutputs Outputs)
    : State_(std::move(State)), Store_(Store), Clock_(Clock),
      Outputs_(std::move(Outputs)) {}

bool MemberRunner::post(ReplicaEvent What) {
  if (Failed_ || Queue_.size() >= MaxQueuedEvents)
    return false;
  Queue_.push_back(std::move(What));
  run();
  return true;
}

void MemberRunner::run() {
  if (Running_)
    return;
  Running_ = true;
  while (!Busy_ && !Failed_ && !Queue_.empty())
    handleNext();
  Running_ = false;
}

void MemberRunner::handleNext() {
  ReplicaEvent What = std::move(Queue_.front());
  Queue_.pop_front();
  ReplicaActions Do = step(State_, What, Clock_.now());
  if (Do.Raft.ToDisk.empty())
    return finish(What, Do, Done{});
  Busy_ = true;
  Persist ToDisk = Do.Raft.ToDisk;
  Store_.persist(State_.Raft, ToDisk,
                 [this, What = std::move(What),
                  Do = std::move(Do)](const Outcome<Done> &Synced) {
                   Busy_ = false;
                   finish(What, Do, Synced);
                   run();
                 });
}

void MemberRunner::finish(const ReplicaEvent &What, const ReplicaActions &Do,
                          const Outcome<Done> &Synced) {
  if (!Synced) {
    Failed_ = true;
    Queue_.clear();
    Outputs_.Failed(Synced.error());
    return;
  }
  for (const Message &Out : Do.Raft.Messages)
    Outputs_.Send(Out);
  for (const ProposalReply &Answer : Do.Replies)
    Outputs_.Reply(Answer);
  Outputs_.Handled(What);
}

} // namespace geraniumbay::control
