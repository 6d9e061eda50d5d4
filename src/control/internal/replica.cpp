//===- replica.cpp - A member with its state machine ----------------------===//
//
// Proposals on their way into the log and out of it.
//
//===----------------------------------------------------------------------===//

#include "control/internal/replica.h"

#include <cassert>

namespace geraniumbay::control {

namespace {

void reply(ReplicaActions &Out, ProposalId Id, Outcome<ProposalAnswer> Answer) {
  Out.Replies.push_back({Id, std::move(Answer)});
}

/// The leader that took the proposals is one no longer, or has become one
/// again in a later term: whether they will be committed is unknown.
void dropWaiting(Replica &State, ReplicaActions &Out) {
  bool Leads = State.Raft.Current == Role::Leader;
  for (auto It = State.Waiting.begin(); It != State.Waiting.end();) {
    if (Leads && It->second.At == State.Raft.Hard.Current) {
      ++It;
      continue;
    }
    reply(Out, It->second.Id,
          Error{ErrorCode::Timeout,
                "leadership was lost: outcome unknown, send again"});
    It = State.Waiting.erase(It);
  }
}

/// Takes the state of a snapshot. What the disk or the leader handed over has
/// been checked, so a module that cannot read it breaks an invariant.
void takeSnapshot(Replica &State) {
  State.Machine = State.Raft.Log.Base.Machine;
  State.Applied = State.Raft.Log.Base.Last;
  if (!State.Module)
    return;
  [[maybe_unused]] auto Read =
      attempt([&] { return State.Module->restore(State.Machine.ModuleState); });
  assert(Read.ok() && "the module's snapshot does not parse");
  State.Machine.ModuleState.clear();
}

ProposalAnswer applyEntry(MachineState &Machine, const Command &Body) {
  if (const auto *Change = std::get_if<ConfigChange>(&Body))
    return apply(Machine, *Change);
  if (const auto *Change = std::get_if<LedgerChange>(&Body))
    return apply(Machine, *Change);
  return Done{};
}

void applyCommitted(Replica &State, ReplicaActions &Out) {
  if (State.Applied < State.Raft.Log.Base.Last) {
    takeSnapshot(State);
  }
  while (State.Applied < State.Raft.Commit) {
    State.Applied = next(State.Applied);
    const LogEntry &Entry = entryAt(State.Raft.Log, State.Applied);
    const auto *Batch = std::get_if<ModuleBatch>(&Entry.Body);
    if (Batch && State.Module)
      State.Module->apply(Batch->Changes);
    ProposalAnswer Answer = applyEntry(State.Machine, Entry.Body);
    auto Waiting = State.Waiting.find(State.Applied);
    if (Waiting == State.Waiting.end())
      continue;
    reply(Out, Waiting->second.Id, std::move(Answer));
    State.Waiting.erase(Waiting);
  }
}

void compactIfLarge(Replica &State, ReplicaActions &Out) {
  if (!wantsCompaction(State.Raft) || State.Applied == State.Raft.Log.Base.Last)
    return;
  Snapshot Now;
  Now.Last = State.Applied;
  Now.LastTerm = entryAt(State.Raft.Log, State.Applied).At;
  Now.Members = membershipAt(State.Raft.Log, State.Applied).Members;
  Now.Machine = State.Machine;
  if (State.Module)
    Now.Machine.ModuleState = State.Module->snapshot();
  compact(State.Raft.Log, std::move(Now));
  Out.Raft.ToDisk.SnapshotChanged = true;
}

/// Whether the leader's applied state already settles \p Change.
std::optional<Outcome<ProposalAnswer>> settled(const Replica &State,
                                               const ConfigChange &Change) {
  if (auto First = rememberedAnswer(State.Machine, Change))
    return ProposalAnswer(*First);
  if (Change.Document.size() > MaxDocumentBytes)
    return Error{ErrorCode::InvalidArgument, "the document is too long"};
  if (Change.Base != State.Machine.Version)
    return std::nullopt;
  auto Valid = attempt(
      [&] { return State.Validate(State.Machine.Document, Change.Document); });
  if (!Valid)
    return Valid.error();
  return std::nullopt;
}

std::optional<Outcome<ProposalAnswer>> settled(const Replica &State,
                                               const LedgerChange &Change) {
  auto Found = State.Machine.Ledgers.find(Change.DataCentre);
  if (Found == State.Machine.Ledgers.end() ||
      Found->second.Number == Change.Base)
    return std::nullopt;
  return ProposalAnswer(LedgerAnswer{ErrorCode::Conflict, Found->second});
}

void append(Replica &State, ReplicaActions &Out, ProposalId Id, Command Body,
            Time Now) {
  LogIndex Index = next(lastIndex(State.Raft.Log));
  State.Waiting[Index] = {Id, State.Raft.Hard.Current};
  Out.Raft = step(State.Raft, Propose{std::move(Body)}, Now);
}

void submitRemoval(Replica &State, ReplicaActions &Out, ProposalId Id,
                   const RemoveVoter &Removal, Time Now) {
  auto Members = withoutVoter(State.Raft, Removal.Vm);
  if (!Members)
    return reply(Out, Id,
                 Error{ErrorCode::Refused,
                       "not a member, the leader or the last one, or another "
                       "change of members is under way"});
  append(State, Out, Id, *std::move(Members), Now);
}

/// Answers Done where there is nothing to give up.
void submitLeave(Replica &State, ReplicaActions &Out, ProposalId Id,
                 const GiveUpVote &Leaver, Time Now) {
  if (!maySpareVoter(State.Raft, Leaver.Vm))
    return reply(Out, Id, ProposalAnswer(Done{}));
  submitRemoval(State, Out, Id, RemoveVoter{Leaver.Vm}, Now);
}

void submit(Replica &State, ReplicaActions &Out, const Submit &What, Time Now) {
  if (!mayPropose(State.Raft))
    return reply(Out, What.Id, Error{ErrorCode::Unavailable, "not the leader"});
  if (const auto *Removal = std::get_if<RemoveVoter>(&What.Body))
    return submitRemoval(State, Out, What.Id, *Removal, Now);
  if (const auto *Leaver = std::get_if<GiveUpVote>(&What.Body))
    return submitLeave(State, Out, What.Id, *Leaver, Now);
  if (const auto *Change = std::get_if<ConfigChange>(&What.Body)) {
    if (auto Answer = settled(State, *Change))
      return reply(Out, What.Id, *std::move(Answer));
    return append(State, Out, What.Id, *Change, Now);
  }
  if (const auto *Batch = std::get_if<ModuleBatch>(&What.Body))
    return append(State, Out, What.Id, *Batch, Now);
  const auto &Change = std::get<LedgerChange>(What.Body);
  if (auto Answer = settled(State, Change))
    return reply(Out, What.Id, *std::move(Answer));
  append(State, Out, What.Id, Change, Now);
}

} // namespace

Replica startReplica(RaftState Raft, DocumentValidator Validate,
                     IReplicatedState *Module) {
  Replica State;
  State.Raft = std::move(Raft);
  State.Validate = std::move(Validate);
  State.Module = Module;
  takeSnapshot(State);
  return State;
}

std::vector<ProposalReply> stepDown(Replica &State, Time Now) {
  stepDown(State.Raft, Now);
  ReplicaActions Out;
  dropWaiting(State, Out);
  return std::move(Out.Replies);
}

ReplicaActions step(Replica &State, const ReplicaEvent &What, Time Now) {
  ReplicaActions Out;
  if (const auto *New = std::get_if<Submit>(&What))
    submit(State, Out, *New, Now);
  else if (const auto *From = std::get_if<Received>(&What))
    Out.Raft = step(State.Raft, Event(*From), Now);
  else if (std::holds_alternative<HandOver>(What))
    Out.Raft = step(State.Raft, Event(HandOver{}), Now);
  else
    Out.Raft = step(State.Raft, Event(Tick{}), Now);
  dropWaiting(State, Out);
  applyCommitted(State, Out);
  compactIfLarge(State, Out);
  return Out;
}

} // namespace geraniumbay::control
