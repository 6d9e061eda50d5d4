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
  while (!busy() && !Failed_ && !Queue_.empty())
    handleNext();
  Running_ = false;
}

void MemberRunner::handleNext() {
  ReplicaEvent What = std::move(Queue_.front());
  Queue_.pop_front();
  ReplicaActions Do = step(State_, What, Clock_.now());
  if (Do.Raft.ToDisk.empty())
    return finish(What, Do, Done{});
  BusySince_ = Clock_.now();
  Persist ToDisk = Do.Raft.ToDisk;
  Store_.persist(State_.Raft, ToDisk,
                 [this, What = std::move(What),
                  Do = std::move(Do)](const Outcome<Done> &Synced) {
                   BusySince_.reset();
                   finish(What, Do, Synced);
                   run();
                 });
}

void MemberRunner::finish(const ReplicaEvent &What, const ReplicaActions &Do,
                          const Outcome<Done> &Synced) {
  if (!Synced)
    return stopFor(Synced.error());
  for (const Message &Out : Do.Raft.Messages)
    Outputs_.Send(Out);
  for (const ProposalReply &Answer : Do.Replies)
    Outputs_.Reply(Answer);
  Outputs_.Handled(What);
}

void MemberRunner::stopFor(const Error &Why) {
  Failed_ = true;
  Queue_.clear();
  for (const ProposalReply &Answer : stepDown(State_, Clock_.now()))
    Outputs_.Reply(Answer);
  Outputs_.Failed(Why);
}

Ret MemberRunner::repair() {
  BOOST_LEAF_CHECK(Store_.rewrite(State_.Raft));
  Failed_ = false;
  // A campaign at once would only disturb a leader that is about to call.
  stepDown(State_.Raft, Clock_.now());
  return {};
}

} // namespace geraniumbay::control
