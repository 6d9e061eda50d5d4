//===- replicator.cpp - The primary's side of replication -----------------===//
//
// Streaming, copies, commits and proposals.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/replicator.h"

#include <limits>

namespace geraniumbay::ledger {

namespace {

/// Records or entries in one message.
constexpr std::size_t MaxPerMessage = 500;
/// A new member this close behind is waited for, to be added.
constexpr std::uint64_t NearlyCaughtUp = 2'000;

} // namespace

Replicator::Replicator(const LedgerConfig &Config, const IClock &Clock,
                       IRpcClient &Rpc, Replica &Copy, ProposeView Propose,
                       Progress OnProgress)
    : Config_(Config), Clock_(Clock), Rpc_(Rpc), Replica_(Copy),
      Propose_(std::move(Propose)), OnProgress_(std::move(OnProgress)) {}

void Replicator::viewChanged() {
  ++Round_;
  Targets_.clear();
  Holding_.reset();
  Committed_ = 0;
  RoundBegan_ = Replica_.past().Last.Index;
  if (Replica_.role() != Role::Primary)
    return;
  std::vector<LedgerMember> Wanted = Replica_.view()->Members;
  if (Replica_.joining())
    Wanted.push_back(*Replica_.joining());
  for (const LedgerMember &Who : Wanted) {
    if (Who == Replica_.self())
      continue;
    Target Next;
    Next.Who = Who;
    Next.LastHeard = Clock_.now();
    Targets_.push_back(std::move(Next));
  }
  push();
}

void Replicator::push() {
  for (Target &To : Targets_)
    push(To);
}

void Replicator::tick() {
  if (Replica_.role() != Role::Primary)
    return;
  Time Now = Clock_.now();
  std::erase_if(Targets_, [&](const Target &To) {
    return !isRequired(To.Who) && Now - To.LastHeard > 2 * Config_.RemoveAfter;
  });
  // While a copy is under way, the records behind it must be kept.
  bool LongTail =
      std::any_of(Targets_.begin(), Targets_.end(), [&](const Target &To) {
        return Now - To.LastHeard < Config_.RemoveAfter &&
               (To.Copy || !To.Matched);
      });
  Replica_.past().MaxTail =
      LongTail ? std::numeric_limits<std::size_t>::max() : DefaultMaxTail;
  push();
  if (Now - LastProposal_ < Config_.ProposeEvery)
    return;
  considerRemoving();
  considerAdding();
}

void Replicator::join(const JoinRequest &Request) {
  if (Replica_.role() != Role::Primary ||
      Request.View != Replica_.view()->Number || find(Request.By))
    return;
  const LedgerMember *Old = Replica_.view()->memberOn(Request.By.Vm);
  if (Old) {
    // Its disk is lost; it can come in anew when the old one is out.
    propose(ViewAction::Remove, *Old);
    return;
  }
  Target Next;
  Next.Who = Request.By;
  Next.LastHeard = Clock_.now();
  Targets_.push_back(std::move(Next));
  push(Targets_.back());
}

void Replicator::forgiveSilence() {
  for (Target &To : Targets_)
    To.LastHeard = Clock_.now();
}

std::uint64_t Replicator::committed() {
  std::uint64_t Lowest = Replica_.durableIndex();
  for (const Target &To : Targets_)
    if (isRequired(To.Who) || To.Who == Holding_)
      Lowest = std::min(Lowest, To.Durable);
  if (Replica_.role() == Role::Primary)
    Committed_ = std::max(Committed_, Lowest);
  return Committed_;
}

bool Replicator::stalled() const {
  return std::any_of(Targets_.begin(), Targets_.end(), [&](const Target &To) {
    return isRequired(To.Who) &&
           Clock_.now() - To.LastHeard > Config_.StallAfter;
  });
}

bool Replicator::isRequired(const LedgerMember &Who) const {
  return Replica_.view()->hasMember(Who) || Replica_.joining() == Who;
}

void Replicator::push(Target &To) {
  if (To.InFlight || Replica_.failed())
    return;
  if (To.Copy) {
    sendCopyPart(To);
    return;
  }
  std::uint64_t End = Replica_.past().Last.Index;
  bool Due = Clock_.now() - To.LastSent >= Config_.Heartbeat;
  if (!To.Matched || To.Last.Index < End || Due)
    sendRecords(To);
}

void Replicator::sendRecords(Target &To) {
  const History &Past = Replica_.past();
  ReplicateRequest Request;
  Request.Header = headerFor(To);
  // Until the member's place is known, the message only asks for it.
  Request.Previous = To.Matched ? To.Last : Past.Last;
  if (To.Matched && !keepsAfter(Past, To.Last.Index)) {
    startCopy(To);
    sendCopyPart(To);
    return;
  }
  if (To.Matched)
    Request.Records = recordsAfter(Past, To.Last.Index, MaxPerMessage);
  send(To, method::Replicate, toJson(Request));
}

void Replicator::startCopy(Target &To) {
  CopyOut Out;
  Out.Id = ++LastCopyId_;
  Out.Head = Replica_.head();
  const Book &Claims = Replica_.claims();
  Out.Entries.reserve(Claims.Entries.size());
  for (const auto &[Submission, Known] : Claims.Entries)
    Out.Entries.push_back(restate(Submission, Known));
  To.Copy = std::move(Out);
  To.Matched = false;
  To.Durable = 0;
}

void Replicator::sendCopyPart(Target &To) {
  const CopyOut &Out = *To.Copy;
  CopyRequest Request;
  Request.Header = headerFor(To);
  Request.Copy = Out.Id;
  Request.Part = Out.Part;
  Request.Head = Out.Head;
  std::size_t First = Out.Part * MaxPerMessage;
  std::size_t End = std::min(First + MaxPerMessage, Out.Entries.size());
  Request.IsLast = End == Out.Entries.size();
  Request.Entries.assign(
      Out.Entries.begin() + static_cast<std::ptrdiff_t>(First),
      Out.Entries.begin() + static_cast<std::ptrdiff_t>(End));
  send(To, method::Copy, toJson(Request));
}

void Replicator::send(Target &To, const char *Method, Json::Value Params) {
  const Endpoint *At = Replica_.view()->endpointOf(To.Who.Vm);
  if (!At)
    return;
  To.InFlight = true;
  To.LastSent = Clock_.now();
  Rpc_.call(*At, Method, std::move(Params), Config_.RpcTimeout,
            [this, Alive = Alive_, Round = Round_,
             Who = To.Who](const Outcome<Json::Value> &Result) {
              if (*Alive && Round == Round_)
                onReply(Who, Result);
            });
}

void Replicator::onReply(const LedgerMember &From,
                         const Outcome<Json::Value> &Result) {
  Target *Sender = find(From);
  if (!Sender)
    return;
  Sender->InFlight = false;
  if (!Result)
    return;
  auto Reply = attempt([&] { return replyFromJson(*Result); });
  if (!Reply)
    return;
  if (Reply->State != PeerState::Accepted &&
      Reply->State != PeerState::Misplaced)
    return;
  Sender->LastHeard = Clock_.now();
  take(*Sender, *Reply);
  OnProgress_();
  // What OnProgress_ did may have moved the targets.
  Sender = find(From);
  if (Sender &&
      (Sender->Copy || Sender->Last.Index < Replica_.past().Last.Index))
    push(*Sender);
}

void Replicator::take(Target &From, const PeerReply &Reply) {
  if (!From.Copy) {
    place(From, Reply);
    return;
  }
  if (Reply.State == PeerState::Misplaced) {
    // It restarted meanwhile, or has the copy already.
    From.Copy.reset();
    place(From, Reply);
    return;
  }
  ++From.Copy->Part;
  if (From.Copy->Part * MaxPerMessage >= From.Copy->Entries.size()) {
    From.Copy.reset();
    place(From, Reply);
  }
}

void Replicator::place(Target &From, const PeerReply &Reply) {
  From.Matched = contains(Replica_.past(), Reply.Last);
  From.Last = Reply.Last;
  From.Durable = 0;
  if (From.Matched)
    From.Durable = std::min(Reply.Durable, Reply.Last.Index);
  else
    startCopy(From);
}

void Replicator::considerAdding() {
  if (Holding_ && Clock_.now() - HoldingSince_ > Config_.StallAfter)
    Holding_.reset();
  if (Replica_.joining()) {
    propose(ViewAction::Add, *Replica_.joining());
    return;
  }
  for (const Target &To : Targets_) {
    if (isRequired(To.Who) || !To.Matched)
      continue;
    if (To.Durable + NearlyCaughtUp < Replica_.past().Last.Index)
      continue;
    if (To.Durable < std::max(RoundBegan_, committed())) {
      if (!Holding_)
        HoldingSince_ = Clock_.now();
      Holding_ = To.Who;
      return;
    }
    // It has all that is committed, and from here on nothing is without it.
    Holding_.reset();
    LedgerMember Who = To.Who;
    if (attempt([&] { return Replica_.setJoining(Who); }).ok())
      propose(ViewAction::Add, Who);
    return;
  }
}

void Replicator::considerRemoving() {
  for (const Target &To : Targets_)
    if (Replica_.view()->hasMember(To.Who) &&
        Clock_.now() - To.LastHeard > Config_.RemoveAfter)
      propose(ViewAction::Remove, To.Who);
}

void Replicator::propose(ViewAction Action, const LedgerMember &Subject) {
  LastProposal_ = Clock_.now();
  const LedgerView &View = *Replica_.view();
  Propose_({View.DataCentre, View.Number, Action, Replica_.self(), Subject, 0});
}

PeerHeader Replicator::headerFor(const Target &To) const {
  const LedgerView &View = *Replica_.view();
  return {View.DataCentre, View.Number, Replica_.run(), Replica_.self().Vm,
          To.Who.Disk};
}

Replicator::Target *Replicator::find(const LedgerMember &Who) {
  auto Found = std::find_if(Targets_.begin(), Targets_.end(),
                            [&](const Target &To) { return To.Who == Who; });
  return Found == Targets_.end() ? nullptr : &*Found;
}

} // namespace geraniumbay::ledger
