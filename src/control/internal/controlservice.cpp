//===- controlservice.cpp - One control VM on the network -----------------===//
//
// Start, the timer, consensus messages and proposals. Watching and status are
// in controlreports.cpp, what other parts of the process use in controllog.cpp,
// failures of the disk in controldisk.cpp.
//
//===----------------------------------------------------------------------===//

#include "control/internal/controlservice.h"

#include "control/internal/wire.h"
#include "framework/log/log.h"

#include <algorithm>

namespace geraniumbay::control {

namespace {

constexpr const char *Module = "control";
/// The timer of a member, unless its heartbeat is too short for it.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration MessageTimeout = std::chrono::seconds(1);
constexpr Duration SnapshotTimeout = std::chrono::seconds(10);
constexpr Duration ForwardTimeout = std::chrono::seconds(4);
/// The operation id of the first document.
constexpr const char *FirstOperation = "first";
/// A primary whose ledger process was heard this recently is not replaced.
constexpr Duration PrimarySilence = std::chrono::seconds(3);

RaftSettings raftSettings(const ControlOptions &Options) {
  RaftSettings Settings;
  for (const ControlPeer &Peer : Options.ControlVms)
    Settings.ControlVms.push_back(Peer.Vm);
  std::sort(Settings.ControlVms.begin(), Settings.ControlVms.end());
  Settings.MayFound = Options.MayFound;
  Settings.AdmitsUnlisted = Options.AdmitsUnlisted;
  Settings.LeastVoters = Options.LeastVoters;
  Settings.Heartbeat = Options.Heartbeat;
  Settings.ElectionTimeout = Options.ElectionTimeout;
  Settings.MaxLogEntries = Options.MaxLogEntries;
  Settings.MaxLogBytes = Options.MaxLogBytes;
  return Settings;
}

/// A number that this VM has certainly not drawn before; never 0.
Generation freshGeneration(Random &Source) {
  return Generation((Source.bits() >> 1U) + 1);
}

bool isAnswer(const MessageBody &Body) {
  return std::holds_alternative<VoteResponse>(Body) ||
         std::holds_alternative<AppendResponse>(Body) ||
         std::holds_alternative<FindGroupAnswer>(Body);
}

const char *methodFor(const MessageBody &Body) {
  if (std::holds_alternative<VoteRequest>(Body))
    return "control.vote";
  if (std::holds_alternative<AppendRequest>(Body))
    return "control.append";
  if (std::holds_alternative<SnapshotRequest>(Body))
    return "control.snapshot";
  if (std::holds_alternative<TakeOver>(Body))
    return "control.take_over";
  return "control.join";
}

Outcome<Json::Value> toJson(const Outcome<ProposalAnswer> &Answer) {
  if (!Answer)
    return Answer.error();
  if (const auto *Config = std::get_if<ConfigAnswer>(&*Answer))
    return wire::write(*Config);
  if (const auto *Ledger = std::get_if<LedgerAnswer>(&*Answer))
    return wire::write(*Ledger);
  return Json::Value(Json::objectValue);
}

Error noLeader() {
  return {ErrorCode::Unavailable, "the control group has no leader now"};
}

} // namespace

ControlService::ControlService(ControlOptions Options, IStorage &Storage,
                               const IClock &Clock, ITimers &Timers,
                               IRpcServer &Server, IRpcClient &Client,
                               Metrics &Measured)
    : Options_(std::move(Options)), Clock_(Clock), Timers_(Timers),
      Server_(Server), Client_(Client), Measured_(Measured),
      Rng_(Options_.Seed), Store_(Storage, freshGeneration(Rng_)),
      Started_(Clock.now()) {}

Ret ControlService::start() {
  BOOST_LEAF_AUTO(Found, Store_.recover());
  if (Found.Damage)
    logEvent(LogLevel::Error, Module, "folder_damaged",
             {{"reason", Found.Damage->Message}});
  logEvent(LogLevel::Info, Module, "started",
           {{"vm", Options_.Self},
            {"disk", Found.Disk},
            {"group", Found.Hard.Group},
            {"term", Found.Hard.Current},
            {"last", lastIndex(Found.Log)}});
  RaftState Raft =
      startMember(raftSettings(Options_), {Options_.Self, Found.Disk},
                  Found.Hard, std::move(Found.Log), Rng_.bits(), Clock_.now());
  MemberOutputs Out;
  Out.Send = [this](const Message &What) { send(What); };
  Out.Reply = [this](const ProposalReply &What) { replied(What); };
  Out.Handled = [this](const ReplicaEvent &What) { handled(What); };
  Out.Failed = [this](const Error &Why) { failed(Why); };
  Runner_ = std::make_unique<MemberRunner>(
      startReplica(std::move(Raft), Options_.Validate, Options_.Module), Store_,
      Clock_, std::move(Out));
  publish();
  offerMethods();
  tick();
  watchGroup();
  return {};
}

void ControlService::offerMethods() {
  auto Offer = [this](const char *Name, auto Member) {
    Server_.method(Name,
                   [this, Member](const Json::Value &Params, Reply Answer) {
                     (this->*Member)(Params, std::move(Answer));
                   });
  };
  for (const char *Name : {"control.vote", "control.append", "control.snapshot",
                           "control.join", "control.take_over"})
    Offer(Name, &ControlService::receive);
  Offer("control.propose", &ControlService::propose);
  Offer("control.ledger", &ControlService::changeLedger);
  Offer("control.remove", &ControlService::remove);
  Offer("control.give_up_vote", &ControlService::takeVote);
  Offer("control.watch", &ControlService::watch);
  Offer("control.status", &ControlService::status);
}

void ControlService::tick() {
  if (!Runner_->busy() && !Leaving_)
    Runner_->post(Tick{});
  proposeFirst();
  Timers_.after(std::min(TickInterval, Options_.Heartbeat / 4),
                [this] { tick(); });
}

void ControlService::receive(const Json::Value &Params, Reply Answer) {
  auto What = attempt([&] { return wire::readMessage(Params); });
  if (!What)
    return Answer(What.error());
  if (isAnswer(What->Body) || !addressOf(What->From.Vm))
    return Answer(Error{ErrorCode::Refused, "not for a control VM"});
  What->Call = ++LastCall_;
  Calls_[What->Call] = std::move(Answer);
  std::uint64_t Call = What->Call;
  if (Runner_->post(Received{std::move(*What)}))
    return;
  Calls_.extract(Call).mapped()(
      Error{ErrorCode::Unavailable, "the member is overloaded or has failed"});
}

void ControlService::send(const Message &What) {
  if (isAnswer(What.Body)) {
    if (auto Call = Calls_.extract(What.Call))
      Call.mapped()(wire::write(What));
    return;
  }
  auto To = addressOf(What.To.Vm);
  if (!To)
    return;
  bool Large = std::holds_alternative<SnapshotRequest>(What.Body);
  Client_.call(*To, methodFor(What.Body), wire::write(What),
               Large ? SnapshotTimeout : MessageTimeout,
               [this, Vm = What.To.Vm,
                Sent = Clock_.now()](const Outcome<Json::Value> &Result) {
                 if (!Result)
                   return;
                 auto Back =
                     attempt([&] { return wire::readMessage(*Result); });
                 if (!Back || !isAnswer(Back->Body) || Back->From.Vm != Vm)
                   return;
                 Back->RequestSent = Sent;
                 Runner_->post(Received{std::move(*Back)});
               });
}

void ControlService::logChanges() {
  const RaftState &Raft = Runner_->replica().Raft;
  if (Raft.Group.Members != LoggedMembers_) {
    LoggedMembers_ = Raft.Group.Members;
    logEvent(LogLevel::Info, Module, "members",
             {{"voters", namesOf(LoggedMembers_.Voters)},
              {"learners", namesOf(LoggedMembers_.Learners)},
              {"term", Raft.Hard.Current}});
  }
  if (Raft.Leader == LoggedLeader_)
    return;
  LoggedLeader_ = Raft.Leader;
  logEvent(LogLevel::Info, Module, "leader",
           {{"leader", LoggedLeader_ ? LoggedLeader_->Vm.value() : ""},
            {"term", Raft.Hard.Current},
            {"commit", Raft.Commit}});
}

void ControlService::handled(const ReplicaEvent &What) {
  publish();
  logChanges();
  notifySubscribers();
  const auto *From = std::get_if<Received>(&What);
  if (!From)
    return;
  if (auto Call = Calls_.extract(From->Body.Call))
    Call.mapped()(Error{ErrorCode::Unavailable, "the message has no answer"});
}

bool ControlService::leads() const {
  return !Runner_->failed() && mayPropose(Runner_->replica().Raft);
}

void ControlService::propose(const Json::Value &Params, const Reply &Answer) {
  auto Change = attempt([&] { return wire::readConfigChange(Params); });
  if (!Change)
    return Answer(Change.error());
  if (Change->Operation.value().empty() ||
      !json::isRepresentable(Change->Operation.value()) ||
      !json::isRepresentable(Change->Document))
    return Answer(Error{ErrorCode::InvalidArgument,
                        "the operation id is empty or a text is not UTF-8"});
  if (!leads())
    return forward("control.propose", Params, Answer);
  submit(std::move(*Change), Answer);
}

void ControlService::changeLedger(const Json::Value &Params,
                                  const Reply &Answer) {
  auto Change = attempt([&] { return wire::readLedgerChange(Params); });
  if (!Change)
    return Answer(Change.error());
  if (!leads())
    return forward("control.ledger", Params, Answer);
  if (Change->Action == LedgerAction::Promote)
    return promote(std::move(*Change), Answer);
  submit(std::move(*Change), Answer);
}

void ControlService::promote(LedgerChange Change, const Reply &Answer) {
  gatherStatus(
      [this, Change = std::move(Change), Answer](const ControlStatus &Seen) {
        auto Found = Published_.Ledgers.find(Change.DataCentre);
        if (Found == Published_.Ledgers.end() ||
            Found->second.Number != Change.Base)
          return submit(Change, Answer);
        const LedgerView &View = Found->second;
        bool Lost = std::any_of(
            View.Lost.begin(), View.Lost.end(),
            [&](const LedgerMember &Old) { return Old.Vm == View.Primary; });
        if (!Lost && ledgerSeen(Seen.Watchers, View.Primary, PrimarySilence))
          return Answer(wire::write(LedgerAnswer{ErrorCode::Refused, View}));
        submit(Change, Answer);
      });
}

void ControlService::proposeFirst() {
  if (ProposedFirst_ || Options_.FirstDocument.empty() || !leads() ||
      Published_.Version != ConfigVersion(0))
    return;
  ProposedFirst_ = true;
  ConfigChange First{OperationId(FirstOperation), ConfigVersion(0),
                     Options_.FirstDocument};
  submit(std::move(First), [](const Outcome<Json::Value> &Result) {
    if (!Result)
      logEvent(LogLevel::Error, Module, "first_document_refused",
               {{"reason", Result.error().Message}});
  });
}

void ControlService::remove(const Json::Value &Params, const Reply &Answer) {
  auto Vm = attempt([&] { return wire::readName<VmId>(Params, "vm"); });
  if (!Vm)
    return Answer(Vm.error());
  if (!leads())
    return forward("control.remove", Params, Answer);
  submit(RemoveVoter{std::move(*Vm)}, Answer);
}

void ControlService::takeVote(const Json::Value &Params, const Reply &Answer) {
  auto Vm = attempt([&] { return wire::readName<VmId>(Params, "vm"); });
  if (!Vm)
    return Answer(Vm.error());
  if (!leads())
    return Answer(noLeader());
  const RaftState &Raft = Runner_->replica().Raft;
  bool Spared = maySpareVoter(Raft, *Vm);
  logEvent(LogLevel::Info, Module, "vote_given_up",
           {{"vm", *Vm},
            {"voters", Raft.Group.Members.Voters.size()},
            {"least", Options_.LeastVoters},
            {"outcome", Spared ? "removed" : "kept"},
            {"term", Raft.Hard.Current}});
  submit(GiveUpVote{std::move(*Vm)}, Answer);
}

void ControlService::forward(const char *Method, Json::Value Params,
                             const Reply &Answer) {
  const auto &Leader = Runner_->replica().Raft.Leader;
  auto To = Leader ? addressOf(Leader->Vm) : std::nullopt;
  bool Again = wire::hasField(Params, "forwarded");
  if (!To || Again || Leader->Vm == Options_.Self || Runner_->failed())
    return Answer(noLeader());
  Params["forwarded"] = true;
  Client_.call(
      *To, Method, std::move(Params), ForwardTimeout,
      [Answer](Outcome<Json::Value> Result) { Answer(std::move(Result)); });
}

void ControlService::submit(ProposalBody Body, const Reply &Answer) {
  submitTyped(std::move(Body), [Answer](const Outcome<ProposalAnswer> &Result) {
    Answer(toJson(Result));
  });
}

void ControlService::submitTyped(ProposalBody Body, TypedReply Answer) {
  ProposalId Id(++LastProposal_);
  Proposals_[Id] = std::move(Answer);
  if (Runner_->post(Submit{Id, std::move(Body)}))
    return;
  Proposals_.extract(Id).mapped()(
      Error{ErrorCode::Unavailable, "the member is overloaded or has failed"});
}

void ControlService::replied(const ProposalReply &What) {
  if (auto Proposal = Proposals_.extract(What.Id))
    Proposal.mapped()(What.Answer);
}

} // namespace geraniumbay::control
