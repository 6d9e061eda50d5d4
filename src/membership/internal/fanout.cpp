//===- fanout.cpp - Whom to send a heartbeat, and what to relay -----------===//
//
// Choice of the targets and of the relayed reports.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/fanout.h"
#include "membership/internal/ages.h"
#include "membership/internal/owner.h"

#include <algorithm>
#include <functional>

namespace geraniumbay::membership {

namespace {

/// For so long, a restart or a drain goes before all else that is relayed.
constexpr Duration NewsLife = std::chrono::seconds(5);

/// Adds up to \p Wanted of State.Others that \p Matches says; those after
/// \p Cursor go first, and it moves on to the last one.
template <typename MatchesT>
void takeTurns(const View &State, VmId &Cursor, std::size_t Wanted,
               MatchesT Matches, std::vector<const EntryRecord *> &Chosen) {
  auto Next = State.Others.upper_bound(Cursor);
  for (std::size_t Left = State.Others.size(); Left > 0 && Wanted > 0; --Left) {
    if (Next == State.Others.end())
      Next = State.Others.begin();
    if (Matches(Next->second)) {
      Chosen.push_back(&Next->second);
      Cursor = Next->first;
      --Wanted;
    }
    ++Next;
  }
}

/// Whether this entry sends the request of this interval to \p Other.
bool isDue(const View &State, const EntryRecord &Other,
           const MembershipSettings &Settings, Time Now) {
  // The one that answers knows of the other by the echo of its last answer,
  // which is one interval old.
  constexpr int QuietIntervals = 2;
  return !State.Trusted || isInitiator(State.Self.Vm, Other.Configured.Vm) ||
         silenceOf(State, Other, Now) > Settings.Interval * QuietIntervals;
}

std::vector<Peer> largeTargets(View &State,
                               const MembershipSettings &Settings) {
  auto IsLocal = [&State](const EntryRecord &Other) {
    return Other.Configured.DataCentre == State.Self.DataCentre;
  };
  std::size_t Locals =
      State.Trusted ? Settings.LocalFanout : State.Others.size();
  std::vector<const EntryRecord *> Chosen;
  takeTurns(State, State.LocalCursor, Locals, IsLocal, Chosen);
  takeTurns(State, State.RemoteCursor, Settings.RemoteFanout,
            std::not_fn(IsLocal), Chosen);
  std::vector<Peer> Targets;
  Targets.reserve(Chosen.size());
  for (const EntryRecord *Other : Chosen)
    Targets.push_back(Other->Configured);
  return Targets;
}

} // namespace

bool isInitiator(const VmId &Self, const VmId &Other) {
  const VmId &First = std::min(Self, Other);
  const VmId &Second = std::max(Self, Other);
  bool FirstStarts = (rendezvousWeight(First.value(), Second) & 1U) == 0;
  return FirstStarts == (Self == First);
}

std::vector<Peer>
heartbeatTargets(View &State, const MembershipSettings &Settings, Time Now) {
  if (isLarge(State, Settings))
    return largeTargets(State, Settings);
  std::vector<Peer> Targets;
  for (const auto &[Vm, Other] : State.Others) {
    if (isDue(State, Other, Settings, Now))
      Targets.push_back(Other.Configured);
  }
  return Targets;
}

std::vector<EntryReport>
relayedReports(View &State, const MembershipSettings &Settings, Time Now) {
  std::vector<EntryReport> Reports;
  if (!isLarge(State, Settings))
    return Reports;
  auto IsKnown = [](const EntryRecord &Other) {
    return Other.Newest != Revision{};
  };
  auto IsNews = [Now](const EntryRecord &Other) {
    return Other.ChangedAt != Time::min() && Now - Other.ChangedAt < NewsLife;
  };
  std::vector<const EntryRecord *> Chosen;
  takeTurns(State, State.NewsCursor, Settings.Relays, IsNews, Chosen);
  if (Chosen.empty())
    takeTurns(State, State.RelayCursor, Settings.Relays, IsKnown, Chosen);
  for (const EntryRecord *Other : Chosen)
    Reports.push_back({Other->Configured.Vm, Other->Newest, Other->Draining,
                       Other->InForce, Other->Pools});
  return Reports;
}

} // namespace geraniumbay::membership
