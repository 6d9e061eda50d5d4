//===- poolview.cpp - Ownership of a pool ---------------------------------===//
//
// Ranks, health and claims. Who pings whom is in poolwatch.cpp.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/poolview.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

/// Tokens are the wall clock in milliseconds times this, plus a hash of the
/// entry's address, so that two entries do not claim the same token.
constexpr std::uint64_t TokensPerMilli = 64;
/// After a fencing by an unknown token a claim is raised by this much, which is
/// more than clocks jump.
constexpr std::uint64_t FencedStepMillis = 10000;

std::uint64_t numberOf(const Endpoint &Entry) {
  return std::hash<std::string>()(Entry.text()) % TokensPerMilli;
}

const PeerHealth *peerOf(const PoolView &View, const Endpoint &Entry) {
  return findPeer(*View.Peers, Entry);
}

/// Whether this entry is among the first ranks, not counting the owner.
bool isInFront(const PoolView &View) {
  std::size_t Ahead = 0;
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      return Ahead < PingedRanks;
    if (Entry != View.Owner.At)
      ++Ahead;
  }
  return false;
}

bool isReleasing(const PoolView &View, const Endpoint &Entry, Time Now) {
  auto Found = View.Statements.find(Entry);
  return Found != View.Statements.end() && Found->second.ReleasingAt &&
         Now - *Found->second.ReleasingAt < ReleaseValidity;
}

bool isAliveWithin(const PoolView &View, const Endpoint &Entry,
                   Duration Horizon, Time Now) {
  if (Entry == View.Self)
    return !View.Stopping;
  const PeerHealth *Health = peerOf(View, Entry);
  if ((Health && Health->Stopping) || isReleasing(View, Entry, Now))
    return false;
  bool IsNewOwner = Entry == View.Owner.At && View.Owner.Token.value() != 0 &&
                    Now - View.OwnerSince < DeadAfter;
  if (IsNewOwner &&
      !(Health && Health->RefusedAt && *Health->RefusedAt > View.OwnerSince))
    return true;
  return Health && !Health->RefusedAt && Health->AnsweredAt &&
         Now - *Health->AnsweredAt < Horizon;
}

/// Whether \p Entry, which ranks before this one, is known to have ended or has
/// not answered in the time that it had since the owner was lost.
bool hasEnded(const PoolView &View, const Endpoint &Entry, Time Now) {
  if (isAlive(View, Entry, Now))
    return false;
  const PeerHealth *Health = peerOf(View, Entry);
  if ((Health && (Health->RefusedAt || Health->Stopping)) ||
      isReleasing(View, Entry, Now))
    return true;
  return View.OwnerLostAt && Now - *View.OwnerLostAt >= DeadAfter;
}

/// Whether no entry of higher rank can take over.
bool isFirstInLine(const PoolView &View, Time Now) {
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      break;
    bool Ended = isSmallGroup(View) ? !isAlive(View, Entry, Now)
                                    : hasEnded(View, Entry, Now);
    if (!Ended)
      return false;
  }
  return true;
}

/// Whether the first ranks, which an owner pings, have answered or are known to
/// have ended.
bool haveFrontRanksAnswered(const PoolView &View) {
  std::size_t Front = std::min(PingedRanks, View.Ranked.size());
  return std::all_of(View.Ranked.begin(),
                     View.Ranked.begin() + static_cast<std::ptrdiff_t>(Front),
                     [&](const Endpoint &Entry) {
                       const PeerHealth *Health = peerOf(View, Entry);
                       return Entry == View.Self ||
                              (Health &&
                               (Health->AnsweredAt || Health->RefusedAt));
                     });
}

/// Whether an existing owner would be known by now.
bool hasDiscoveredPeers(const PoolView &View, Time Now) {
  if (!View.PeersKnownSince)
    return false;
  Duration Elapsed = Now - *View.PeersKnownSince;
  return Elapsed >= DeadAfter ||
         (Elapsed >= DiscoveryTime && haveFrontRanksAnswered(View));
}

void adopt(PoolView &View, const OwnerClaim &Claim, Time Now) {
  View.Owner = Claim;
  View.LastClaim = std::max(View.LastClaim, Claim.Token);
  View.Rival = OwnerClaim();
  View.OwnerSince = Now;
  View.ReportedAt.reset();
  View.Statements.erase(Claim.At);
}

/// Whether more than half of the entries, this one included, were heard lately.
bool hearsHalf(const PoolView &View, Time Now) {
  std::size_t Count = 0;
  Duration Horizon =
      isSmallGroup(View) ? DeadAfter : DeadAfter + FollowInterval;
  for (const Endpoint &Entry : View.Ranked) {
    const PeerHealth *Health = peerOf(View, Entry);
    bool Heard = Health && Health->HeardAt && Now - *Health->HeardAt < Horizon;
    if (Entry == View.Self || Heard || isAlive(View, Entry, Now))
      ++Count;
  }
  return Count * 2 > View.Ranked.size();
}

/// A token of this entry above all that it has heard of.
FencingToken tokenAbove(const PoolView &View, WallMillis Wall) {
  std::uint64_t Millis =
      std::max(static_cast<std::uint64_t>(std::max<WallMillis>(Wall, 0)),
               View.Highest.value() / TokensPerMilli + 1);
  return FencingToken(Millis * TokensPerMilli + numberOf(View.Self));
}

} // namespace

void applyEntries(PoolView &View, const std::vector<Endpoint> &Entries,
                  Time Now) {
  View.Ranked = Entries;
  if (!View.PeersKnownSince && !Entries.empty())
    View.PeersKnownSince = Now;
  if (std::find(Entries.begin(), Entries.end(), View.Self) == Entries.end())
    View.Ranked.push_back(View.Self);
}

void noteReleasing(PoolView &View, const Endpoint &Peer, bool Releasing,
                   Time Now) {
  if (Releasing)
    View.Statements[Peer].ReleasingAt = Now;
  else if (auto Found = View.Statements.find(Peer);
           Found != View.Statements.end())
    Found->second.ReleasingAt.reset();
}

void noteSettled(PoolView &View, const Endpoint &Peer, bool Settled) {
  View.Statements[Peer].Settled = Settled;
}

void noteFirstClaim(PoolView &View, const Endpoint &Peer, FencingToken First) {
  View.Statements[Peer].FirstClaim = First;
}

bool noteClaim(PoolView &View, const OwnerClaim &Claim, const Endpoint &Speaker,
               Time Now) {
  View.Highest = std::max(View.Highest, Claim.Token);
  if (Claim.Token == FencingToken(0) || Claim.At == View.Self)
    return false;
  if (View.FirstClaim == FencingToken(0))
    View.FirstClaim = Claim.Token;
  bool Owned = View.Owner.Token != FencingToken(0);
  if (Owned && Claim.At == View.Owner.At) {
    View.Owner.Token = std::max(View.Owner.Token, Claim.Token);
    View.LastClaim = std::max(View.LastClaim, Claim.Token);
    return false;
  }
  bool FollowsOwner = Owned && isOwnerAlive(View, Now);
  if (FollowsOwner && Speaker != View.Owner.At) {
    if (View.Rival.At != Claim.At)
      View.RivalSince = Now;
    View.Rival = Claim;
    View.RivalHeardAt = Now;
    return false;
  }
  bool IsOwnersStatement =
      !Owned && Claim.At == Speaker && Claim.Token == View.LastClaim;
  if (Claim.Token <= View.LastClaim && !IsOwnersStatement)
    return false;
  adopt(View, Claim, Now);
  return true;
}

void noteOwnStatement(PoolView &View, const Endpoint &Peer,
                      const OwnerClaim &Statement) {
  if (View.Owner.At == Peer && Statement.Token < View.Owner.Token)
    View.Owner = OwnerClaim();
  if (View.Rival.At == Peer && Statement.At != Peer)
    View.Rival = OwnerClaim();
}

void noteHighest(PoolView &View, FencingToken Token) {
  View.Highest = std::max(View.Highest, Token);
}

void noteFenced(PoolView &View, FencingToken Token, Time Now) {
  if (View.Owner.Token != Token || View.Owner.At != View.Self)
    return;
  if (View.RivalHeardAt && Now - *View.RivalHeardAt < RivalSettleTime)
    return;
  View.Highest =
      FencingToken(View.Highest.value() + FencedStepMillis * TokensPerMilli);
  if (hearsHalf(View, Now))
    return raiseToken(View, 0);
  View.NoClaimBefore = Now + FencedPause;
  View.Owner = OwnerClaim();
}

bool resolveRival(PoolView &View, const OwnerClaim &Other,
                  std::uint64_t OwnWorkers, std::uint64_t OtherWorkers,
                  Time Now, WallMillis Wall) {
  if (!ownsPool(View) || Other.At == View.Self)
    return false;
  View.Rival = OwnerClaim();
  bool Larger = OwnWorkers != OtherWorkers ? OwnWorkers > OtherWorkers
                                           : View.Self < Other.At;
  bool Higher = View.Owner.Token > Other.Token;
  // The smaller one waits until the other has a token that the workers obey.
  if (Higher)
    return false;
  if (!Larger) {
    adopt(View, Other, Now);
    return true;
  }
  raiseToken(View, Wall);
  return true;
}

bool outbidSilentRival(PoolView &View, Time Now, WallMillis Wall) {
  bool IsBehind = ownsPool(View) && View.Highest > View.Owner.Token;
  if (!IsBehind)
    View.BehindSince.reset();
  else if (!View.BehindSince)
    View.BehindSince = Now;
  bool HasRival = View.Rival.Token > View.Owner.Token && View.RivalSince;
  std::optional<Time> Since = HasRival ? View.RivalSince : View.BehindSince;
  if (!IsBehind || !Since || Now - *Since < DeadAfter ||
      (HasRival && isAlive(View, View.Rival.At, Now)) || !hearsHalf(View, Now))
    return false;
  View.Rival = OwnerClaim();
  View.BehindSince.reset();
  raiseToken(View, Wall);
  return true;
}

void raiseToken(PoolView &View, WallMillis Wall) {
  View.Owner.Token = tokenAbove(View, Wall);
  View.Highest = View.LastClaim = View.Owner.Token;
}

Time jobsStoppedBy(const PoolView &View, const Endpoint &Owner, Time Now) {
  const PeerHealth *Health = peerOf(View, Owner);
  if (!Health || Health->Stopping || isReleasing(View, Owner, Now) ||
      !Health->AnsweredAt)
    return Time();
  return *Health->AnsweredAt + OriginTimeout + StopMargin;
}

OwnerLoss earlierOwnerLoss(const PoolView &View, Time Now) {
  OwnerLoss Loss;
  if (const PeerHealth *Health = peerOf(View, View.Earlier.At)) {
    Loss.Released = Health->Stopping;
    Loss.RefusedAt = Health->RefusedAt;
  }
  Loss.Released = Loss.Released || isReleasing(View, View.Earlier.At, Now);
  auto Found = View.Statements.find(View.Earlier.At);
  Loss.Settled = Found != View.Statements.end() && Found->second.Settled;
  return Loss;
}

std::vector<Endpoint> unansweredSince(const PoolView &View, Time Claimed) {
  std::vector<Endpoint> Result;
  for (const Endpoint &Entry : View.Ranked) {
    const PeerHealth *Health = peerOf(View, Entry);
    bool Answered =
        Health && Health->AnsweredAt && *Health->AnsweredAt >= Claimed;
    if (Entry != View.Self && !Answered)
      Result.push_back(Entry);
  }
  return Result;
}

std::optional<Time> earlierOwnersEndedBy(const PoolView &View, Time Claimed) {
  if (!ownsPool(View) || View.FirstClaim != View.Owner.Token ||
      View.Ranked.size() < 2 || !unansweredSince(View, Claimed).empty())
    return std::nullopt;
  Time Latest;
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      continue;
    const PeerHealth *Health = peerOf(View, Entry);
    auto Statement = View.Statements.find(Entry);
    if (!Health || !Health->StartedBy || Statement == View.Statements.end() ||
        Statement->second.FirstClaim != View.Owner.Token)
      return std::nullopt;
    Latest = std::max(Latest, *Health->StartedBy);
  }
  return Latest;
}

bool isAlive(const PoolView &View, const Endpoint &Entry, Time Now) {
  return isAliveWithin(View, Entry, DeadAfter, Now);
}

bool isSmallGroup(const PoolView &View) {
  return View.Ranked.size() <= SmallGroup;
}

bool watchesClosely(const PoolView &View) {
  return isSmallGroup(View) || isInFront(View);
}

void noteReport(PoolView &View, const Endpoint &Owner, Time Now) {
  if (View.Owner.Token != FencingToken(0) && View.Owner.At == Owner)
    View.ReportedAt = Now;
}

bool wasAliveLately(const PoolView &View, const Endpoint &Entry, Time Now) {
  return isAliveWithin(
      View, Entry, isSmallGroup(View) ? DeadAfter : DeadAfter + FollowInterval,
      Now);
}

bool isOwnerAlive(const PoolView &View, Time Now) {
  if (View.Owner.Token == FencingToken(0))
    return false;
  if (watchesClosely(View))
    return isAlive(View, View.Owner.At, Now);
  // An owner reported by control is pinged before the report expires.
  constexpr Duration Horizon = ReportValidity + FollowInterval + DeadAfter;
  const PeerHealth *Health = peerOf(View, View.Owner.At);
  bool Ended = (Health && (Health->RefusedAt || Health->Stopping)) ||
               isReleasing(View, View.Owner.At, Now);
  bool Reported = View.ReportedAt && Now - *View.ReportedAt < Horizon;
  return (Reported && !Ended) || wasAliveLately(View, View.Owner.At, Now);
}

bool ownsPool(const PoolView &View) {
  return View.Owner.Token != FencingToken(0) && View.Owner.At == View.Self &&
         !View.Stopping;
}

std::optional<OwnerClaim> claimIfDue(PoolView &View, Time Now,
                                     WallMillis Wall) {
  if (isOwnerAlive(View, Now)) {
    View.OwnerLostAt.reset();
    return std::nullopt;
  }
  if (!View.OwnerLostAt)
    View.OwnerLostAt = Now;
  if (View.Stopping || Now < View.NoClaimBefore ||
      !hasDiscoveredPeers(View, Now) || !isFirstInLine(View, Now))
    return std::nullopt;
  View.Earlier = View.Owner;
  View.Owner.At = View.Self;
  raiseToken(View, Wall);
  if (View.FirstClaim == FencingToken(0))
    View.FirstClaim = View.Owner.Token;
  return View.Owner;
}

} // namespace geraniumbay::jobs
