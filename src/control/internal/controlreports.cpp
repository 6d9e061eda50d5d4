//===- controlreports.cpp - Watching and status of a control VM -----------===//
//
// What a control VM tells processes that ask for the configuration, and
// operators who ask who has it.
//
//===----------------------------------------------------------------------===//

#include "control/internal/controlservice.h"
#include "control/internal/wire.h"
#include "framework/log/log.h"

#include <algorithm>
#include <tuple>

namespace geraniumbay::control {

namespace {

constexpr const char *Module = "control";
/// How often the state of the group is looked at for operators, which bounds
/// its log to a line a second.
constexpr Duration WatchInterval = std::chrono::seconds(1);
constexpr Duration StatusTimeout = std::chrono::milliseconds(500);

/// A request of control.watch.
struct WatchRequest {
  Watcher Who;
  Incarnation Start;
  ConfigVersion InForce;
  Revision Seen;
};

RetVal<WatchRequest> readWatch(const Json::Value &From) {
  WatchRequest Result;
  BOOST_LEAF_ASSIGN(Result.Who.Vm, wire::readName<VmId>(From, "vm"));
  BOOST_LEAF_ASSIGN(Result.Who.Process,
                    json::readStringOr(From, "process", ""));
  BOOST_LEAF_ASSIGN(Result.Start,
                    wire::readNumber<Incarnation>(From, "incarnation"));
  BOOST_LEAF_ASSIGN(Result.InForce,
                    wire::readNumber<ConfigVersion>(From, "in_force"));
  BOOST_LEAF_AUTO(Seen, json::readUintOr(From, "revision", 0));
  Result.Seen = Revision(Seen);
  return Result;
}

const char *roleName(Role Current) {
  switch (Current) {
  case Role::Joining:
    return "joining";
  case Role::Follower:
    return "follower";
  case Role::PreCandidate:
  case Role::Candidate:
    return "candidate";
  case Role::Leader:
    return "leader";
  }
  return "";
}

/// Takes the report of another control VM into the one of this VM.
void merge(ControlStatus &Into, const ControlStatus &Other) {
  mergeWatchers(Into.Watchers, Other.Watchers);
  for (const ControlVmStatus &Vm : Other.ControlVms)
    for (ControlVmStatus &Known : Into.ControlVms)
      if (Known.Vm == Vm.Vm)
        Known = Vm;
  // Only who leads or asks for votes can name silent voters.
  auto Weight = [](const VoterContact &Of) {
    return std::tuple(Of.Leads, Of.SeenTerm, Of.Silent.size());
  };
  if (Weight(Other.Contact) > Weight(Into.Contact))
    Into.Contact = Other.Contact;
  if (Other.Version <= Into.Version)
    return;
  Into.Version = Other.Version;
  Into.Voters = Other.Voters;
  Into.History = Other.History;
}

/// A report that is being put together.
struct Gathering {
  ControlStatus Report;
  std::size_t Awaited = 0;
};

} // namespace

void ControlService::watchGroup() {
  GroupReport Now = reportGroup(Runner_->replica().Raft, Clock_.now());
  auto Set = [this](const char *Name, const char *Help, auto Value) {
    Measured_.set(Name, Help, {}, static_cast<double>(Value));
  };
  Set("geraniumbay_control_voters", "Voters of the control group", Now.Voters);
  Set("geraniumbay_control_learners", "Members that do not vote yet",
      Now.Learners);
  Set("geraniumbay_control_voters_missing", "Voters that do not answer this VM",
      Now.Missing.size());
  Set("geraniumbay_control_voters_spare",
      "Voters that may still be lost; below 0 there is no majority", Now.Spare);
  Set("geraniumbay_control_in_touch", "Whether this VM leads or hears a leader",
      Now.InTouch);
  watchDisk();
  bool Changed = Now != LoggedGroup_;
  LoggedGroup_ = Now;
  if (Changed)
    logEvent(Now.Spare < 0 ? LogLevel::Warning : LogLevel::Info, Module,
             "group",
             {{"voters", Now.Voters},
              {"learners", Now.Learners},
              {"missing", namesOf(Now.Missing)},
              {"spare", Now.Spare},
              {"in_touch", Now.InTouch},
              {"waits_for", nameOf(Now.WaitsFor)},
              {"term", Runner_->replica().Raft.Hard.Current}});
  Timers_.after(WatchInterval, [this] { watchGroup(); });
}

void ControlService::watch(const Json::Value &Params, const Reply &Answer) {
  auto Request = attempt([&] { return readWatch(Params); });
  if (!Request)
    return Answer(Request.error());
  if (!noteWatch(Watchers_, Request->Who, Request->Start, Request->InForce,
                 Clock_.now()))
    return Answer(Error{ErrorCode::Refused, "a later start has been heard"});
  Json::Value Result(Json::objectValue);
  Result["version"] = Json::UInt64(Published_.Version.value());
  Result["revision"] = Json::UInt64(Published_.Seen.value());
  Result["confirmed"] = isInTouch(Runner_->replica().Raft, Clock_.now());
  if (Published_.Version > Request->InForce)
    Result["document"] = Published_.Document;
  if (Published_.Seen > Request->Seen)
    Result["ledgers"] = wire::write(Published_.Ledgers);
  Answer(std::move(Result));
}

void ControlService::status(const Json::Value &Params, const Reply &Answer) {
  auto Local =
      attempt([&] { return json::readBoolOr(Params, "local", false); });
  if (!Local)
    return Answer(Local.error());
  if (*Local)
    return Answer(wire::write(localStatus()));
  gatherStatus([this, Answer](ControlStatus Report) {
    if (Options_.ExpectedVms)
      addNeverSeen(Report.Watchers, Options_.ExpectedVms(Published_.Document),
                   Clock_.now() - Started_);
    Answer(wire::write(Report));
  });
}

ControlStatus ControlService::localStatus() const {
  const Replica &State = Runner_->replica();
  ControlStatus Report;
  Report.Version = Published_.Version;
  for (const MemberId &Voter : State.Raft.Group.Members.Voters)
    Report.Voters.push_back(Voter.Vm);
  Report.Contact.Leads = State.Raft.Current == Role::Leader;
  Report.Contact.SeenTerm = State.Raft.Hard.Current;
  for (const MemberId &Silent : reportGroup(State.Raft, Clock_.now()).Missing)
    Report.Contact.Silent.push_back(Silent.Vm);
  Report.Watchers = report(Watchers_, Clock_.now());
  Report.History.assign(State.Machine.History.begin(),
                        State.Machine.History.end());
  Report.ControlVms.push_back({Options_.Self, /*Reachable=*/true, writes(),
                               roleName(State.Raft.Current), Published_.Version,
                               Clock_.now() - Started_});
  return Report;
}

void ControlService::gatherStatus(StatusCallback Done) {
  auto Work = std::make_shared<Gathering>();
  Work->Report = localStatus();
  for (const ControlPeer &Peer : Options_.ControlVms)
    if (Peer.Vm != Options_.Self)
      Work->Report.ControlVms.push_back({Peer.Vm, false, false, "", {}, {}});
  Work->Awaited = Options_.ControlVms.size() - 1;
  if (Work->Awaited == 0)
    return Done(std::move(Work->Report));
  Json::Value Params(Json::objectValue);
  Params["local"] = true;
  auto Take = [Work,
               Done = std::move(Done)](const Outcome<Json::Value> &Result) {
    if (Result) {
      auto Other = attempt([&] { return wire::readStatus(*Result); });
      if (Other)
        merge(Work->Report, *Other);
    }
    if (--Work->Awaited == 0)
      Done(std::move(Work->Report));
  };
  for (const ControlPeer &Peer : Options_.ControlVms)
    if (Peer.Vm != Options_.Self)
      Client_.call(Peer.At, "control.status", Params, StatusTimeout, Take);
}

void ControlService::publish() {
  const MachineState &Machine = Runner_->replica().Machine;
  if (Machine.Seen > Published_.Seen)
    Published_ = viewOf(Machine);
}

} // namespace geraniumbay::control
