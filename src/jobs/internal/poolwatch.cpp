//===- poolwatch.cpp - Which entries ping each other about a pool ---------===//
//
// Which entries each entry pings, so that a lost owner is noticed and two
// owners hear of each other, while the number of pings of an entry does not
// grow with a large group.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/poolview.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

void addTarget(std::vector<Endpoint> &Targets, const Endpoint &Entry) {
  if (std::find(Targets.begin(), Targets.end(), Entry) == Targets.end())
    Targets.push_back(Entry);
}

/// Whether \p Entry has not yet had the time to answer since this process
/// started. Counting it as a possible candidate keeps an entry that knows
/// nobody yet from pinging the whole group.
bool isStillUnknown(const PoolView &View, const Endpoint &Entry, Time Now) {
  if (!View.PeersKnownSince || Now - *View.PeersKnownSince >= DeadAfter)
    return false;
  const PeerHealth *Health = findPeer(*View.Peers, Entry);
  return !Health || (!Health->AnsweredAt && !Health->RefusedAt);
}

} // namespace

std::vector<Endpoint> frontRanks(const PoolView &View, Time Now) {
  std::vector<Endpoint> Targets;
  std::size_t MayTakeOver = 0;
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self || MayTakeOver >= PingedRanks)
      continue;
    Targets.push_back(Entry);
    if (wasAliveLately(View, Entry, Now) || isStillUnknown(View, Entry, Now))
      ++MayTakeOver;
  }
  return Targets;
}

std::vector<Endpoint> pingTargets(const PoolView &View, Time Now) {
  std::vector<Endpoint> Targets;
  if (isSmallGroup(View) || !isOwnerAlive(View, Now))
    Targets = frontRanks(View, Now);
  if (ownsPool(View)) {
    if (View.Rival.Token != FencingToken(0))
      addTarget(Targets, View.Rival.At);
  } else if (View.Owner.Token != FencingToken(0) &&
             View.Owner.At != View.Self &&
             (watchesClosely(View) || !isOwnerAlive(View, Now))) {
    addTarget(Targets, View.Owner.At);
  }
  return Targets;
}

std::vector<Endpoint> followTargets(const PoolView &View, Time Now) {
  if (isSmallGroup(View) || !isOwnerAlive(View, Now))
    return {};
  if (ownsPool(View))
    return frontRanks(View, Now);
  if (View.ReportedAt && Now - *View.ReportedAt < ReportValidity)
    return {};
  return {View.Owner.At};
}

} // namespace geraniumbay::jobs
