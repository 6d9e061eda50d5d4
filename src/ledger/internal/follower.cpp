//===- follower.cpp - The members' side of replication --------------------===//
//
// Checks who sends, appends, and asks control for a part in the view.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/follower.h"

namespace geraniumbay::ledger {

Follower::Follower(const LedgerConfig &Config, const IClock &Clock,
                   IRpcClient &Rpc, Replica &Copy, ProposeView Propose)
    : Config_(Config), Clock_(Clock), Rpc_(Rpc), Replica_(Copy),
      Propose_(std::move(Propose)), PrimaryHeard_(Clock.now()) {}

void Follower::replicate(const ReplicateRequest &Request, Reply Answer) {
  PeerState State = judge(Request.Header);
  if (State == PeerState::Accepted) {
    heard(Request.Header);
    if (Request.Previous != Replica_.past().Last)
      State = PeerState::Misplaced;
  }
  if (State == PeerState::Accepted &&
      !attempt([&] { return Replica_.appendCopied(Request.Records); }))
    State = PeerState::Failed;
  if (State != PeerState::Accepted) {
    Answer(reply(State));
    return;
  }
  Parked_.push_back({Replica_.past().Last.Index, std::move(Answer)});
  onSynced();
}

void Follower::copy(const CopyRequest &Request, const Reply &Answer) {
  PeerState State = judge(Request.Header);
  if (State == PeerState::Accepted) {
    heard(Request.Header);
    State = takePart(Request);
  }
  Answer(reply(State));
}

void Follower::onSynced() {
  bool Failed = Replica_.failed();
  std::vector<Parked> Ready;
  std::erase_if(Parked_, [&](Parked &Next) {
    if (!Failed && Next.Index > Replica_.durableIndex())
      return false;
    Ready.push_back(std::move(Next));
    return true;
  });
  for (const Parked &Next : Ready)
    Next.Answer(reply(Failed ? PeerState::Failed : PeerState::Accepted));
}

void Follower::viewChanged() {
  PrimaryHeard_ = Clock_.now();
  RunHeard_ = 0;
  Copy_ = 0;
  for (const Parked &Next : std::exchange(Parked_, {}))
    Next.Answer(reply(PeerState::StaleView));
}

void Follower::tick() {
  if (Replica_.failed() || Clock_.now() - LastProposal_ < Config_.ProposeEvery)
    return;
  if (!Replica_.view()) {
    propose(ViewAction::Open);
    return;
  }
  Role Part = Replica_.role();
  if (Part == Role::Outsider) {
    if (Replica_.view()->memberOn(Replica_.self().Vm))
      propose(ViewAction::ReportLost);
    join();
  }
  // Every member has all that is committed, so each may take over.
  if (Part == Role::Member &&
      Clock_.now() - PrimaryHeard_ > Config_.PromoteAfter)
    propose(ViewAction::Promote);
}

void Follower::forgiveSilence() { PrimaryHeard_ = Clock_.now(); }

void Follower::heard(const PeerHeader &Header) {
  PrimaryHeard_ = Clock_.now();
  RunHeard_ = Header.Run;
}

PeerState Follower::judge(const PeerHeader &Header) const {
  if (Replica_.failed())
    return PeerState::Failed;
  const auto &View = Replica_.view();
  if (!View || Header.View > View->Number)
    return PeerState::UnknownView;
  if (Header.View < View->Number || Header.From != View->Primary ||
      Header.Run < RunHeard_ || Replica_.role() == Role::Primary)
    return PeerState::StaleView;
  if (Header.To != Replica_.self().Disk)
    return PeerState::OtherDisk;
  return PeerState::Accepted;
}

PeerReply Follower::reply(PeerState State) const {
  return {State, Replica_.past().Last, Replica_.durableIndex()};
}

PeerState Follower::takePart(const CopyRequest &Request) {
  bool Begins = Request.Part == 0;
  // A copy that comes late must not undo what this primary has sent since.
  const Position &Last = Replica_.past().Last;
  Position Sender{0, Request.Header.View, Request.Header.Run};
  if (Last.sameWriter(Sender) && Request.Head.At.Index <= Last.Index)
    return PeerState::Misplaced;
  if (!Begins && (Request.Copy != Copy_ || Request.Part != NextPart_))
    return PeerState::Misplaced;
  auto Taken = attempt([&]() -> Ret {
    if (Begins)
      BOOST_LEAF_CHECK(Replica_.beginCopy(Request.Head));
    BOOST_LEAF_CHECK(Replica_.addToCopy(Request.Entries));
    if (Request.IsLast)
      BOOST_LEAF_CHECK(Replica_.finishCopy());
    return {};
  });
  Copy_ = Taken && !Request.IsLast ? Request.Copy : 0;
  NextPart_ = Request.Part + 1;
  return Taken ? PeerState::Accepted : PeerState::Failed;
}

void Follower::join() {
  const LedgerView &View = *Replica_.view();
  LastProposal_ = Clock_.now();
  const Endpoint *At = View.endpointOf(View.Primary);
  if (At && View.Primary != Replica_.self().Vm)
    Rpc_.call(
        *At, method::Join,
        toJson(JoinRequest{View.DataCentre, View.Number, Replica_.self()}),
        Config_.RpcTimeout, [](const Outcome<Json::Value> &) {});
}

void Follower::propose(ViewAction Action) {
  LastProposal_ = Clock_.now();
  ViewProposal Wish;
  Wish.DataCentre = Config_.DataCentre;
  Wish.Action = Action;
  Wish.By = Wish.Subject = Replica_.self();
  if (Replica_.view())
    Wish.Base = Replica_.view()->Number;
  Wish.RefuseKeysUntil =
      Clock_.wallNow() +
      std::chrono::duration_cast<std::chrono::milliseconds>(Config_.Retention)
          .count();
  Propose_(Wish);
}

} // namespace geraniumbay::ledger
