//===- fanout.cpp - Whom to send a heartbeat, and what to relay -----------===//
//
// Choice of the targets and of the relayed reports.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/fanout.h"
#include "membership/internal/owner.h"

#include <algorithm>

namespace geraniumbay::membership {

namespace {

/// Calls \p Take with each of State.Others after \p Cursor, once round, until
/// it returns false.
template <typename TakeT>
void eachAfter(const View &State, const VmId &Cursor, TakeT Take) {
  auto Next = State.Others.upper_bound(Cursor);
  for (std::size_t Count = State.Others.size(); Count > 0; --Count) {
    if (Next == State.Others.end())
      Next = State.Others.begin();
    if (!Take(Next->second))
      return;
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
         Other.State == EntryState::Dead ||
         silenceOf(State, Other, Now) > Settings.Interval * QuietIntervals;
}

void addRemoteTargets(View &State, const MembershipSettings &Settings,
                      std::vector<Peer> &Targets) {
  std::size_t Wanted = Settings.RemoteFanout;
  VmId Last = State.RemoteCursor;
  eachAfter(State, State.RemoteCursor, [&](const EntryRecord &Other) {
    if (Wanted == 0)
      return false;
    if (isDirect(State, Other, Settings))
      return true;
    Targets.push_back(Other.Configured);
    Last = Other.Configured.Vm;
    --Wanted;
    return true;
  });
  State.RemoteCursor = Last;
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
  std::vector<Peer> Targets;
  for (const auto &[Vm, Other] : State.Others) {
    if (isDirect(State, Other, Settings) && isDue(State, Other, Settings, Now))
      Targets.push_back(Other.Configured);
  }
  addRemoteTargets(State, Settings, Targets);
  return Targets;
}

std::vector<EntryReport> relayedReports(View &State,
                                        const MembershipSettings &Settings,
                                        const VmId &To, Time Now) {
  std::vector<EntryReport> Reports;
  auto Receiver = State.Others.find(To);
  if (State.Others.size() + 1 <= Settings.MeshLimit ||
      Receiver == State.Others.end())
    return Reports;
  const DataCentreId &Target = Receiver->second.Configured.DataCentre;
  bool Local = Target == State.Self.DataCentre;
  std::size_t Limit = Local ? Settings.LocalRelays : Settings.RemoteRelays;
  VmId Last = State.RelayCursor;
  eachAfter(State, State.RelayCursor, [&](const EntryRecord &Other) {
    if (Reports.size() >= Limit)
      return false;
    // The receiver's own data centre hears itself; old news is no news.
    if (Other.Configured.DataCentre == Target ||
        silenceOf(State, Other, Now) > Settings.SuspectAfter ||
        Other.State == EntryState::Suspect || Other.State == EntryState::Dead)
      return true;
    Reports.push_back({Other.Configured.Vm, Other.Newest, Other.Draining,
                       Other.InForce, Other.Pools, Now - Other.HeardAt});
    Last = Other.Configured.Vm;
    return true;
  });
  State.RelayCursor = Last;
  return Reports;
}

} // namespace geraniumbay::membership
