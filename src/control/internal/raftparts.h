//===- raftparts.h - Parts of the consensus core ----------------*- C++ -*-===//
//
// Functions that the parts of the core (election, replication, membership)
// offer each other. Only they include this header.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_RAFTPARTS_H
#define GERANIUMBAY_CONTROL_INTERNAL_RAFTPARTS_H

#include "control/internal/raft.h"

namespace geraniumbay::control::raft {

// Shared by all parts (raft.cpp).
void send(const RaftState &State, Actions &Out, const MemberId &To,
          MessageBody Body);
void answer(const RaftState &State, Actions &Out, const Message &Request,
            MessageBody Body);
bool isVoter(const Membership &Members, const MemberId &Member);
bool isLearner(const Membership &Members, const MemberId &Member);
bool isMajority(const Membership &Members, std::size_t Count);
/// Marks the log as changed from \p Index on and refreshes the membership.
void logChanged(RaftState &State, Actions &Out, LogIndex Index);
void becomeFollower(RaftState &State, Actions &Out, Term At, Time Now);
void resetElectionTimer(RaftState &State, Time Now);
/// Sets the timer to a part of a heartbeat from now.
void retryElectionSoon(RaftState &State, Time Now);

// Election (election.cpp).
void tickElection(RaftState &State, Actions &Out, Time Now);
void onVoteRequest(RaftState &State, Actions &Out, const Message &From,
                   const VoteRequest &Body, Time Now);
void onVoteResponse(RaftState &State, Actions &Out, const Message &From,
                    const VoteResponse &Body, Time Now);
void onTakeOver(RaftState &State, Actions &Out, const Message &From, Time Now);

// Replication (replication.cpp).
void tickLeader(RaftState &State, Actions &Out, Time Now);
void startReplication(RaftState &State, Actions &Out, Time Now);
void onAppend(RaftState &State, Actions &Out, const Message &From,
              const AppendRequest &Body, Time Now);
void onSnapshot(RaftState &State, Actions &Out, const Message &From,
                const SnapshotRequest &Body, Time Now);
void onAppendResponse(RaftState &State, Actions &Out, const Message &From,
                      const AppendResponse &Body, Time Now);
/// Whether a majority has answered a request sent within \p Within.
bool hearsMajority(const RaftState &State, Duration Within, Time Now);
void handOver(RaftState &State, Actions &Out, Time Now);
/// Appends \p Body to the leader's log and sends it.
void appendAsLeader(RaftState &State, Actions &Out, Command Body, Time Now);

// Groups and their members (group.cpp).
void tickJoining(RaftState &State, Actions &Out, Time Now);
/// Of a member that hears no leader: asks for the group, which may have
/// replaced it.
void findGroupAgain(RaftState &State, Actions &Out, Time Now);
/// Whether a member has answered lately and has all that is committed.
bool hasCaughtUp(const RaftState &State, const Progress &Peer, Time Now);
/// Of a leader: for how long it has not heard \p Voter.
Duration silenceOf(const RaftState &State, const MemberId &Voter, Time Now);
/// Of a leader: whether \p Voter is about to be silent.
bool missesHeartbeats(const RaftState &State, const MemberId &Voter, Time Now);
void tickMembership(RaftState &State, Actions &Out, Time Now);
void onFindGroup(RaftState &State, Actions &Out, const Message &From, Time Now);
void onFindGroupAnswer(RaftState &State, Actions &Out, const Message &From,
                       const FindGroupAnswer &Body, Time Now);
void onFoundGroup(RaftState &State, Actions &Out, const Message &From,
                  const FoundGroup &Body, Time Now);
/// Makes a joining member one of the sender's group.
void adoptGroup(RaftState &State, Actions &Out, GroupId Group, Time Now);

} // namespace geraniumbay::control::raft

#endif // GERANIUMBAY_CONTROL_INTERNAL_RAFTPARTS_H
