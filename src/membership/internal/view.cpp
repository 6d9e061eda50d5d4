//===- view.cpp - The view of the entries ---------------------------------===//
//
// Takes in heartbeats and judges silence.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/view.h"
#include "membership/internal/ages.h"

#include <algorithm>
#include <optional>

namespace geraniumbay::membership {

namespace {

/// Returns when this entry sent the message that \p Echo names, if it is
/// remembered and of this incarnation.
std::optional<Time> sentTime(const View &State, const Revision &Echo) {
  const SentTimes &Sent = State.Sent;
  if (Echo.Incarnation != State.Own.Incarnation || Echo.Sequence < Sent.First)
    return std::nullopt;
  std::uint64_t Index = Echo.Sequence - Sent.First;
  if (Index >= Sent.Times.size())
    return std::nullopt;
  return Sent.Times[Index];
}

bool heardSinceDistrust(const View &State, const EntryRecord &Other) {
  return Other.HeardAt >= State.DistrustedSince;
}

/// How many times the times of MembershipSettings count for \p Other.
int patienceWith(const View &State, const EntryRecord &Other,
                 const MembershipSettings &Settings) {
  if (!isLarge(State, Settings))
    return 1;
  bool Local = Other.Configured.DataCentre == State.Self.DataCentre;
  return Local ? Settings.LocalPatience : Settings.RemotePatience;
}

EntryState judge(const View &State, const EntryRecord &Other,
                 const MembershipSettings &Settings, Time Now) {
  int Patience = patienceWith(State, Other, Settings);
  Duration Silence = silenceOf(State, Other, Now);
  // A trusted view has waited for its peers, but not for one that was
  // configured since.
  bool IsNewcomer = State.Trusted && Other.HeardAt == Time::min() &&
                    isAwaited(State, Other, Settings);
  if (IsNewcomer || Silence > Settings.DeadAfter * Patience)
    return EntryState::Dead;
  if (Other.Draining)
    return EntryState::Draining;
  if (Silence > Settings.SuspectAfter * Patience ||
      !heardSinceDistrust(State, Other))
    return EntryState::Suspect;
  return EntryState::Alive;
}

/// Whether every peer that counts was heard since the distrust, or is dead.
bool mayTrust(const View &State, const MembershipSettings &Settings) {
  if (State.Fenced || !State.Configured)
    return false;
  return std::all_of(State.Others.begin(), State.Others.end(),
                     [&](const auto &Item) {
                       const EntryRecord &Other = Item.second;
                       return !isAwaited(State, Other, Settings) ||
                              heardSinceDistrust(State, Other) ||
                              Other.State == EntryState::Dead;
                     });
}

void setTrusted(View &State, bool Trusted, Changes &Noted) {
  if (State.Trusted == Trusted)
    return;
  State.Trusted = Trusted;
  State.WasTrusted = State.WasTrusted || Trusted;
  Noted.push_back({ChangeKind::TrustChanged, State.Self.Vm});
}

/// Judges every entry anew and notes what changed.
void refresh(View &State, const MembershipSettings &Settings, Time Now,
             Changes &Noted) {
  for (auto &[Vm, Other] : State.Others) {
    EntryState Next = judge(State, Other, Settings, Now);
    if (Next == Other.State)
      continue;
    Other.State = Next;
    Noted.push_back({ChangeKind::StateChanged, Vm});
  }
  if (State.Fenced || (!State.Trusted && mayTrust(State, Settings)))
    setTrusted(State, !State.Fenced, Noted);
}

/// A higher incarnation of this entry's own id was seen. Before this process
/// was ever trusted, its own was drawn too low (the wall clock jumped back),
/// so it takes a higher one; later, this process is the one that was replaced.
void meetNewerSelf(View &State, Incarnation Newer) {
  if (Newer <= State.Own.Incarnation)
    return;
  if (State.WasTrusted) {
    State.Fenced = true;
    return;
  }
  State.Own = {Incarnation(Newer.value() + 1), 0};
  State.Sent = {};
}

/// Takes in a report of \p Other and returns whether it was not of an older
/// incarnation.
bool takeReport(EntryRecord &Other, const EntryReport &Report, Time Now,
                Changes &Noted) {
  Incarnation Known = Other.Newest.Incarnation;
  if (Report.Version.Incarnation < Known)
    return false;
  if (Report.Version <= Other.Newest)
    return true;
  if (Known < Report.Version.Incarnation)
    Other.Direct = {};
  bool IsRestart = Known.value() != 0 && Known < Report.Version.Incarnation;
  if (IsRestart)
    Noted.push_back({ChangeKind::Restarted, Report.Vm});
  if (IsRestart || Other.Draining != Report.Draining)
    Other.ChangedAt = Now;
  Other.Newest = Report.Version;
  Other.Draining = Report.Draining;
  Other.InForce = Report.InForce;
  Other.Pools = Report.Pools;
  return true;
}

void takeRelayed(View &State, const std::vector<EntryReport> &Relayed, Time Now,
                 Changes &Noted) {
  for (const EntryReport &Report : Relayed) {
    if (Report.Vm == State.Self.Vm) {
      meetNewerSelf(State, Report.Version.Incarnation);
      continue;
    }
    auto Found = State.Others.find(Report.Vm);
    if (Found != State.Others.end())
      takeReport(Found->second, Report, Now, Noted);
  }
}

} // namespace

View makeView(const Peer &Self, Incarnation Own, Time Now) {
  View State;
  State.Self = Self;
  State.Own = {Own, 0};
  State.LastEvent = Now;
  State.DistrustedSince = Now;
  // Each entry begins its rounds at its own place, so that not all of them try
  // the same one at a time.
  State.RelayCursor = State.LocalCursor = State.RemoteCursor = Self.Vm;
  return State;
}

Changes replacePeers(View &State, const std::vector<Peer> &Peers,
                     ConfigVersion InForce, const MembershipSettings &Settings,
                     Time Now) {
  Changes Noted;
  std::map<VmId, EntryRecord> Next;
  for (const Peer &Configured : Peers) {
    if (Configured.Vm == State.Self.Vm) {
      State.Self = Configured;
      continue;
    }
    auto Known = State.Others.find(Configured.Vm);
    EntryRecord &Record = Next[Configured.Vm];
    if (Known != State.Others.end())
      Record = std::move(Known->second);
    Record.Configured = Configured;
  }
  State.Others = std::move(Next);
  State.InForce = InForce;
  State.Configured = true;
  noteList(State);
  Noted.push_back({ChangeKind::PeersChanged, State.Self.Vm});
  refresh(State, Settings, Now, Noted);
  return Noted;
}

Changes observe(View &State, const MembershipSettings &Settings, Time Now) {
  Changes Noted;
  if (Now - State.LastEvent > Settings.SuspectAfter) {
    State.DistrustedSince = Now;
    setTrusted(State, false, Noted);
  }
  State.LastEvent = Now;
  refresh(State, Settings, Now, Noted);
  return Noted;
}

Reception receive(View &State, const MembershipSettings &Settings,
                  const Heartbeat &Message, Time Now, Changes &Noted) {
  auto Found = State.Others.find(Message.Sender.Vm);
  if (Found == State.Others.end())
    return Reception::Unconfigured;
  EntryRecord &Sender = Found->second;
  if (!takeReport(Sender, Message.Sender, Now, Noted))
    return Reception::Stale;
  Sender.Direct = std::max(Sender.Direct, Message.Sender.Version);
  std::optional<Time> RanAt = sentTime(State, Message.Echo);
  if (RanAt) {
    Sender.HeardAt = std::max(Sender.HeardAt, *RanAt);
    takeAges(State, Message, *RanAt);
  }
  meetNewerSelf(State, Message.NewerOfReceiver);
  takeRelayed(State, Message.Relayed, Now, Noted);
  refresh(State, Settings, Now, Noted);
  return Reception::Taken;
}

EntryReport nextReport(View &State, const MembershipSettings &Settings,
                       std::vector<PoolSummary> Pools, Time Now) {
  SentTimes &Sent = State.Sent;
  Sent.Times.push_back(Now);
  while (Now - Sent.Times.front() > Settings.DeadAfter) {
    Sent.Times.pop_front();
    ++Sent.First;
  }
  ++State.Own.Sequence;
  return {State.Self.Vm, State.Own, State.Draining, State.InForce,
          std::move(Pools)};
}

Changes setViewDraining(View &State, bool Draining) {
  if (State.Draining == Draining)
    return {};
  State.Draining = Draining;
  return {{ChangeKind::StateChanged, State.Self.Vm}};
}

bool isAwaited(const View &State, const EntryRecord &Other,
               const MembershipSettings &Settings) {
  return !isLarge(State, Settings) ||
         Other.Configured.DataCentre == State.Self.DataCentre;
}

Duration silenceOf(const View &State, const EntryRecord &Other, Time Now) {
  return Now - std::max(Other.HeardAt, State.DistrustedSince);
}

std::vector<EntryInfo> viewEntries(const View &State, Time Now) {
  std::vector<EntryInfo> Entries;
  for (const auto &[Vm, Other] : State.Others)
    Entries.push_back({Other.Configured, Other.State, Other.Newest.Incarnation,
                       Other.InForce, silenceOf(State, Other, Now)});
  EntryInfo Self{State.Self,
                 State.Draining ? EntryState::Draining : EntryState::Alive,
                 State.Own.Incarnation, State.InForce, Duration(0)};
  auto Place = std::lower_bound(Entries.begin(), Entries.end(), Self,
                                [](const EntryInfo &A, const EntryInfo &B) {
                                  return A.Configured.Vm < B.Configured.Vm;
                                });
  Entries.insert(Place, std::move(Self));
  return Entries;
}

} // namespace geraniumbay::membership
