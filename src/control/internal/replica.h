//===- replica.h - A member with its state machine --------------*- C++ -*-===//
//
// Joins the consensus core and the replicated state machine: takes proposals,
// applies what is committed, answers proposers and compacts the log. Still
// without sockets, files or clock; the contract of raft.h on the order of
// actions holds, and Replies are given last.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_REPLICA_H
#define GERANIUMBAY_CONTROL_INTERNAL_REPLICA_H

#include "control/internal/raft.h"
#include "control/ireplicatedstate.h"

#include <functional>

namespace geraniumbay::control {

/// Longer documents are refused.
constexpr std::size_t MaxDocumentBytes = std::size_t{2} << 20U;

/// The id under which a proposal's answer comes back, local to one member.
using ProposalId = StrongId<struct ProposalTag, std::uint64_t>;

/// Removes a control VM from the group.
struct RemoveVoter {
  VmId Vm;
};

/// From a control VM that is about to stop: it gives up its vote where the
/// group has more voters than it needs.
struct GiveUpVote {
  VmId Vm;
};

using ProposalBody = std::variant<ConfigChange, LedgerChange, RemoveVoter,
                                  GiveUpVote, ModuleBatch>;

struct Submit {
  ProposalId Id;
  ProposalBody Body;
};

using ProposalAnswer = std::variant<Done, ConfigAnswer, LedgerAnswer>;

/// The answer to a proposal. Errors: Unavailable if it was certainly not taken
/// (this member does not lead), Timeout if the outcome is unknown, and what
/// the validator said.
struct ProposalReply {
  ProposalId Id;
  Outcome<ProposalAnswer> Answer;
};

using ReplicaEvent = std::variant<Tick, Received, Submit, HandOver>;

struct ReplicaActions {
  Actions Raft;
  std::vector<ProposalReply> Replies;
};

/// Checks a document (\p New) against the one in force (\p Old).
using DocumentValidator =
    std::function<Ret(const std::string &Old, const std::string &New)>;

/// A proposal in the log that waits for its commit.
struct WaitingProposal {
  ProposalId Id;
  Term At;
};

struct Replica {
  RaftState Raft;
  DocumentValidator Validate;
  MachineState Machine;
  /// The module that shares the log; may be null. Outlives the replica.
  IReplicatedState *Module = nullptr;
  /// Machine and Module hold exactly the entries up to this one.
  LogIndex Applied;
  /// Invariant: only a leader has any, all of its own term.
  std::map<LogIndex, WaitingProposal> Waiting;
};

/// Returns the replica of a member that starts from \p Raft.
Replica startReplica(RaftState Raft, DocumentValidator Validate,
                     IReplicatedState *Module = nullptr);

/// Handles one event.
ReplicaActions step(Replica &State, const ReplicaEvent &What, Time Now);

/// Ends the leadership or candidacy of a member whose disk has failed. Returns
/// the answers to proposals whose outcome is now unknown.
std::vector<ProposalReply> stepDown(Replica &State, Time Now);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_REPLICA_H
