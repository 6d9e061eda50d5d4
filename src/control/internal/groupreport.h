//===- groupreport.h - What a member sees of its group ----------*- C++ -*-===//
//
// For operators: how many voters may still be lost, which do not answer, and
// what the next change of members waits for. A group that has lost a majority
// for good shows here, long before its last confirmed change is asked for.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_GROUPREPORT_H
#define GERANIUMBAY_CONTROL_INTERNAL_GROUPREPORT_H

#include "control/internal/raft.h"

namespace geraniumbay::control {

/// What keeps a leader from the next change of members.
enum class MembershipWait {
  Nothing,       ///< No change is wanted.
  OwnTerm,       ///< No entry of the leader's own term is committed yet.
  LastChange,    ///< The change before is not committed yet.
  LearnerBehind, ///< The learner lacks entries or does not answer.
  VoterSilence,  ///< A voter has not been silent for long enough.
  NoReplacement, ///< A voter is silent, and nobody could take its place.
};

const char *nameOf(MembershipWait Why);

struct GroupReport {
  std::size_t Voters = 0;
  std::size_t Learners = 0;
  /// See isInTouch().
  bool InTouch = false;
  /// The voters that do not answer this member: a leader misses heartbeats, a
  /// candidate their word. A follower cannot tell.
  std::vector<MemberId> Missing;
  /// How many more voters may be lost; below 0 there is no majority.
  std::ptrdiff_t Spare = 0;
  /// Of a leader.
  MembershipWait WaitsFor = MembershipWait::Nothing;

  bool operator==(const GroupReport &) const = default;
};

/// Whether the member leads, or has heard a leader lately. A leader that hears
/// no majority steps down, so either means that a majority is in touch.
bool isInTouch(const RaftState &State, Time Now);

/// The VMs of \p Members, with commas between.
std::string namesOf(const std::vector<MemberId> &Members);

GroupReport reportGroup(const RaftState &State, Time Now);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_GROUPREPORT_H
