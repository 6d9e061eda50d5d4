//===- controllog.cpp - The log for other parts of the process ------------===//
//
// A control VM as the replicated log: leadership, appends, changes, and the
// vote that a VM gives up when it stops.
//
//===----------------------------------------------------------------------===//

#include "control/internal/controlservice.h"
#include "framework/log/log.h"

namespace geraniumbay::control {

namespace {

constexpr const char *Module = "control";
/// For how long a VM that stops asks to be spared as a voter, and how often.
/// Within the grace of a planned stop (6 s on the platform), and longer than an
/// election takes after the hand-over (0.5 to 1 s).
constexpr Duration LeaveTimeout = std::chrono::seconds(2);
constexpr Duration LeaveRetry = std::chrono::milliseconds(20);
constexpr Duration LeaveCallTimeout = std::chrono::seconds(1);

} // namespace

std::optional<Endpoint> ControlService::addressOf(const VmId &Vm) const {
  for (const ControlPeer &Peer : Options_.ControlVms)
    if (Peer.Vm == Vm)
      return Peer.At;
  if (!Options_.AdmitsUnlisted)
    return std::nullopt;
  auto Named = attempt([&] { return parseEndpoint(Vm.value()); });
  return Named ? std::optional<Endpoint>(*Named) : std::nullopt;
}

std::optional<LeaderTerm> ControlService::leadsIn() const {
  if (!leads())
    return std::nullopt;
  return LeaderTerm(Runner_->replica().Raft.Hard.Current.value());
}

bool ControlService::holdsLease() const {
  return !Runner_->failed() &&
         control::holdsLease(Runner_->replica().Raft, Clock_.now());
}

std::optional<Endpoint> ControlService::leaderAddress() const {
  const auto &Leader = Runner_->replica().Raft.Leader;
  return Leader ? addressOf(Leader->Vm) : std::nullopt;
}

std::vector<Endpoint> ControlService::memberAddresses() const {
  std::vector<Endpoint> Result;
  const Membership &Members = Runner_->replica().Raft.Group.Members;
  for (const auto *List : {&Members.Voters, &Members.Learners})
    for (const MemberId &Member : *List)
      if (auto At = addressOf(Member.Vm))
        Result.push_back(*At);
  return Result;
}

void ControlService::append(std::string Batch,
                            std::function<void(Outcome<Done>)> Done) {
  submitTyped(ModuleBatch{std::move(Batch)},
              [Done = std::move(Done)](const Outcome<ProposalAnswer> &Result) {
                if (Result)
                  return Done(geraniumbay::Done{});
                Done(Result.error());
              });
}

void ControlService::change(ConfigChange Change,
                            std::function<void(Outcome<ConfigAnswer>)> Answer) {
  submitTyped(std::move(Change), [Answer = std::move(Answer)](
                                     const Outcome<ProposalAnswer> &Result) {
    if (!Result)
      return Answer(Result.error());
    Answer(std::get<ConfigAnswer>(*Result));
  });
}

void ControlService::handOver() { Runner_->post(HandOver{}); }

void ControlService::giveUpVote(std::function<void()> Done) {
  askToLeave(Clock_.now() + LeaveTimeout, Done);
}

void ControlService::askToLeave(Time Until, const std::function<void()> &Done) {
  auto Leader = leaderAddress();
  bool Settled = Runner_->failed() || Clock_.now() >= Until;
  if (Settled) {
    logEvent(LogLevel::Warning, Module, "vote_not_given_up",
             {{"vm", Options_.Self},
              {"leader", Leader ? Leader->text() : ""},
              {"reason", Runner_->failed() ? "the disk has failed"
                                           : "no answer of a leader"}});
    Leaving_ = true;
    return Done();
  }
  auto Again = [this, Until, Done] {
    Timers_.after(LeaveRetry, [this, Until, Done] { askToLeave(Until, Done); });
  };
  if (!Leader || Runner_->replica().Raft.Current == Role::Leader)
    return Again();
  Json::Value Params(Json::objectValue);
  Params["vm"] = Options_.Self.value();
  Client_.call(*Leader, "control.give_up_vote", std::move(Params),
               LeaveCallTimeout,
               [this, Again, Done](const Outcome<Json::Value> &Result) {
                 if (!Result)
                   return Again();
                 Leaving_ = true;
                 Done();
               });
}

} // namespace geraniumbay::control
