//===- poolview.cpp - Who owns the pool of workers ------------------------===//
//
// Ranks, health and claims. Who asks whom is in poolwatch.cpp.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/poolview.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

/// Tokens are wall milliseconds times this, plus a number of the entry, so that
/// no two entries claim the same token.
constexpr std::uint64_t TokensPerMilli = 64;
/// A claim after a fencing by an unknown token goes up by so many milliseconds:
/// more than clocks jump.
constexpr std::uint64_t FencedStepMillis = 10000;

std::uint64_t numberOf(const Endpoint &Entry) {
  return std::hash<std::string>()(Entry.text()) % TokensPerMilli;
}

const PeerHealth *peerOf(const PoolView &View, const Endpoint &Entry) {
  return findPeer(*View.Peers, Entry);
}

/// Whether this entry is among those in front of the ranks, the owner aside.
bool isInFront(const PoolView &View) {
  std::size_t Before = 0;
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      return Before < PingedRanks;
    if (Entry != View.Owner.At)
      ++Before;
  }
  return false;
}

bool letsGo(const PoolView &View, const Endpoint &Entry, Time Now) {
  auto Found = View.Words.find(Entry);
  return Found != View.Words.end() && Found->second.LetsGoAt &&
         Now - *Found->second.LetsGoAt < LetGoLasts;
}

bool isAliveWithin(const PoolView &View, const Endpoint &Entry,
                   Duration Horizon, Time Now) {
  if (Entry == View.Self)
    return !View.Stopping;
  const PeerHealth *Health = peerOf(View, Entry);
  if ((Health && Health->Stopping) || letsGo(View, Entry, Now))
    return false;
  bool IsNewOwner = Entry == View.Owner.At && View.Owner.Token.value() != 0 &&
                    Now - View.OwnerSince < DeadAfter;
  if (IsNewOwner &&
      !(Health && Health->Refused && *Health->Refused > View.OwnerSince))
    return true;
  return Health && !Health->Refused && Health->Answered &&
         Now - *Health->Answered < Horizon;
}

/// Whether \p Entry, which comes before this one, has had the time to answer
/// since the owner was lost, or is known to be gone.
bool isKnownToBeGone(const PoolView &View, const Endpoint &Entry, Time Now) {
  if (isAlive(View, Entry, Now))
    return false;
  const PeerHealth *Health = peerOf(View, Entry);
  if ((Health && (Health->Refused || Health->Stopping)) ||
      letsGo(View, Entry, Now))
    return true;
  return View.OwnerLostAt && Now - *View.OwnerLostAt >= DeadAfter;
}

/// Whether nobody else takes over first.
bool isFirstInLine(const PoolView &View, Time Now) {
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      break;
    bool Gone = isSmallGroup(View) ? !isAlive(View, Entry, Now)
                                   : isKnownToBeGone(View, Entry, Now);
    if (!Gone)
      return false;
  }
  return true;
}

/// Whether the first of the ranks, those that an owner pings, have answered or
/// are known to be gone.
bool haveFrontRanksAnswered(const PoolView &View) {
  std::size_t Front = std::min(PingedRanks, View.Ranked.size());
  return std::all_of(View.Ranked.begin(),
                     View.Ranked.begin() + static_cast<std::ptrdiff_t>(Front),
                     [&](const Endpoint &Entry) {
                       const PeerHealth *Health = peerOf(View, Entry);
                       return Entry == View.Self ||
                              (Health && (Health->Answered || Health->Refused));
                     });
}

/// Whether an owner that is there would be known by now.
bool hasLookedAround(const PoolView &View, Time Now) {
  if (!View.PeersSince)
    return false;
  Duration Looked = Now - *View.PeersSince;
  return Looked >= DeadAfter ||
         (Looked >= LookAround && haveFrontRanksAnswered(View));
}

void adopt(PoolView &View, const OwnerClaim &Claim, Time Now) {
  View.Owner = Claim;
  View.LastClaim = std::max(View.LastClaim, Claim.Token);
  View.Rival = OwnerClaim();
  View.OwnerSince = Now;
  View.ReportedAt.reset();
  View.Words.erase(Claim.At);
}

/// Whether more than half of the entries, this one included, were heard lately.
bool hearsHalf(const PoolView &View, Time Now) {
  std::size_t Count = 0;
  Duration Horizon =
      isSmallGroup(View) ? DeadAfter : DeadAfter + FollowInterval;
  for (const Endpoint &Entry : View.Ranked) {
    const PeerHealth *Health = peerOf(View, Entry);
    bool Heard = Health && Health->Heard && Now - *Health->Heard < Horizon;
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

void takeEntries(PoolView &View, const std::vector<Endpoint> &Entries,
                 Time Now) {
  View.Ranked = Entries;
  if (!View.PeersSince && !Entries.empty())
    View.PeersSince = Now;
  if (std::find(Entries.begin(), Entries.end(), View.Self) == Entries.end())
    View.Ranked.push_back(View.Self);
}

void noteLetsGo(PoolView &View, const Endpoint &Peer, bool LetsGo, Time Now) {
  if (LetsGo)
    View.Words[Peer].LetsGoAt = Now;
  else if (auto Found = View.Words.find(Peer); Found != View.Words.end())
    Found->second.LetsGoAt.reset();
}

void noteSettled(PoolView &View, const Endpoint &Peer, bool Settled) {
  View.Words[Peer].Settled = Settled;
}

void noteFirst(PoolView &View, const Endpoint &Peer, FencingToken First) {
  View.Words[Peer].First = First;
}

bool noteClaim(PoolView &View, const OwnerClaim &Claim, const Endpoint &Speaker,
               Time Now) {
  View.Highest = std::max(View.Highest, Claim.Token);
  if (Claim.Token == FencingToken(0) || Claim.At == View.Self)
    return false;
  if (View.First == FencingToken(0))
    View.First = Claim.Token;
  bool Owned = View.Owner.Token != FencingToken(0);
  if (Owned && Claim.At == View.Owner.At) {
    View.Owner.Token = std::max(View.Owner.Token, Claim.Token);
    View.LastClaim = std::max(View.LastClaim, Claim.Token);
    return false;
  }
  bool Bound = Owned && isOwnerAlive(View, Now);
  if (Bound && Speaker != View.Owner.At) {
    if (View.Rival.At != Claim.At)
      View.RivalSince = Now;
    View.Rival = Claim;
    View.RivalHeard = Now;
    return false;
  }
  bool OwnWord = !Owned && Claim.At == Speaker && Claim.Token == View.LastClaim;
  if (Claim.Token <= View.LastClaim && !OwnWord)
    return false;
  adopt(View, Claim, Now);
  return true;
}

void noteOwnWord(PoolView &View, const Endpoint &Peer, const OwnerClaim &Word) {
  if (View.Owner.At == Peer && Word.Token < View.Owner.Token)
    View.Owner = OwnerClaim();
  if (View.Rival.At == Peer && Word.At != Peer)
    View.Rival = OwnerClaim();
}

void noteHighest(PoolView &View, FencingToken Token) {
  View.Highest = std::max(View.Highest, Token);
}

void noteFenced(PoolView &View, FencingToken Token, Time Now) {
  if (View.Owner.Token != Token || View.Owner.At != View.Self)
    return;
  if (View.RivalHeard && Now - *View.RivalHeard < RivalSettles)
    return;
  View.Highest =
      FencingToken(View.Highest.value() + FencedStepMillis * TokensPerMilli);
  if (hearsHalf(View, Now)) {
    View.Owner.Token = tokenAbove(View, 0);
    View.Highest = View.LastClaim = View.Owner.Token;
    return;
  }
  View.NoClaimBefore = Now + FencedPause;
  View.Owner = OwnerClaim();
}

bool meetRival(PoolView &View, const OwnerClaim &Other, std::uint64_t Own,
               std::uint64_t Others, Time Now, WallMillis Wall) {
  if (!ownsPool(View) || Other.At == View.Self)
    return false;
  View.Rival = OwnerClaim();
  bool Larger = Own != Others ? Own > Others : View.Self < Other.At;
  bool Higher = View.Owner.Token > Other.Token;
  // The smaller one waits until the other's token lets it take the workers.
  if (Higher)
    return false;
  if (!Larger) {
    adopt(View, Other, Now);
    return true;
  }
  View.Owner.Token = tokenAbove(View, Wall);
  View.Highest = View.LastClaim = View.Owner.Token;
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
  View.Owner.Token = tokenAbove(View, Wall);
  View.Highest = View.LastClaim = View.Owner.Token;
  return true;
}

Time givenUpBy(const PoolView &View, const Endpoint &Owner, Time Now) {
  const PeerHealth *Health = peerOf(View, Owner);
  if (!Health || Health->Stopping || letsGo(View, Owner, Now) ||
      !Health->Answered)
    return Time();
  return *Health->Answered + OwnerSilence + StopMargin;
}

OwnerLoss earlierOwnerLoss(const PoolView &View, Time Now) {
  OwnerLoss Loss;
  if (const PeerHealth *Health = peerOf(View, View.Earlier.At)) {
    Loss.LetGo = Health->Stopping;
    Loss.Refused = Health->Refused;
  }
  Loss.LetGo = Loss.LetGo || letsGo(View, View.Earlier.At, Now);
  auto Found = View.Words.find(View.Earlier.At);
  Loss.Settled = Found != View.Words.end() && Found->second.Settled;
  return Loss;
}

std::vector<Endpoint> unansweredSince(const PoolView &View, Time Claimed) {
  std::vector<Endpoint> Result;
  for (const Endpoint &Entry : View.Ranked) {
    const PeerHealth *Health = peerOf(View, Entry);
    bool Answered = Health && Health->Answered && *Health->Answered >= Claimed;
    if (Entry != View.Self && !Answered)
      Result.push_back(Entry);
  }
  return Result;
}

std::optional<Time> earlierOwnersGoneBy(const PoolView &View, Time Claimed) {
  if (!ownsPool(View) || View.First != View.Owner.Token ||
      View.Ranked.size() < 2 || !unansweredSince(View, Claimed).empty())
    return std::nullopt;
  Time Latest;
  for (const Endpoint &Entry : View.Ranked) {
    if (Entry == View.Self)
      continue;
    const PeerHealth *Health = peerOf(View, Entry);
    auto Word = View.Words.find(Entry);
    if (!Health || !Health->StartedBy || Word == View.Words.end() ||
        Word->second.First != View.Owner.Token)
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
  // One that control vouches for is asked before the report is of no use.
  constexpr Duration Horizon = ReportLasts + FollowInterval + DeadAfter;
  const PeerHealth *Health = peerOf(View, View.Owner.At);
  bool Gone = (Health && (Health->Refused || Health->Stopping)) ||
              letsGo(View, View.Owner.At, Now);
  bool Reported = View.ReportedAt && Now - *View.ReportedAt < Horizon;
  return (Reported && !Gone) || wasAliveLately(View, View.Owner.At, Now);
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
      !hasLookedAround(View, Now) || !isFirstInLine(View, Now))
    return std::nullopt;
  View.Earlier = View.Owner;
  View.Owner = {View.Self, tokenAbove(View, Wall)};
  View.Highest = View.LastClaim = View.Owner.Token;
  if (View.First == FencingToken(0))
    View.First = View.Owner.Token;
  return View.Owner;
}

} // namespace geraniumbay::jobs
