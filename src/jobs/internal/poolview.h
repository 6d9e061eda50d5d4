//===- poolview.h - Ownership of a pool -------------------------*- C++ -*-===//
//
// How the entries agree on the one that schedules a pool. No majority is
// needed, so that a data centre that is cut off goes on with the workers that
// it reaches. Two owners at once do no harm, since
//
//   - a worker obeys only the highest fencing token it has seen, and
//   - a job is at one owner at a time: its entry turns to another owner only
//     after it has not heard the first for DeadAfter, and by then that owner,
//     which has not heard the entry for OriginTimeout, has stopped the job.
//
// Entries are ranked. An owner stays the owner as long as it is alive; then the
// first entry that is alive takes over with a higher token. In a small group
// all entries monitor the owner and the first ranks closely. In a large one
// only the first ranks do. The others learn of the owner from control, ask the
// owner now and then if control is silent, and monitor it closely only while it
// has jobs of theirs, so that the number of requests to an owner does not grow
// with the group. Where two owners hear of each other, as when a network
// partition has healed, the one with fewer workers releases the pool; meanwhile
// entries follow what their owner says.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H

#include "jobs/internal/peertable.h"
#include "jobs/jobtypes.h"

#include <vector>

namespace geraniumbay::jobs {

/// Tasks are not started later than this after their caller sent the job, or
/// after an owner was lost. Callers whose connection broke unnoticed send the
/// job again after 1.3 s, perhaps to another pool, and two pools do not know of
/// each other's runs.
constexpr Duration MaxStartDelay = std::chrono::milliseconds(1100);
/// How often entries ping each other.
constexpr Duration PingInterval = std::chrono::milliseconds(100);
/// An entry that has not answered for this long counts as dead.
constexpr Duration DeadAfter = std::chrono::milliseconds(600);
/// How long an entry that has just started looks for an owner before it may
/// claim a pool if the first ranks have answered; else it waits for DeadAfter.
/// An owner pings the first ranks, which learn of it within this time, two and
/// a half pings. After a loss of all processes service is back 0.35 s sooner
/// than with DeadAfter.
constexpr Duration DiscoveryTime = std::chrono::milliseconds(250);
/// A job is sent to an owner, and accepted by it, only if the owner was heard
/// within this time: the caller of a message that was delayed for longer may
/// have sent the job again elsewhere.
constexpr Duration MaxEchoAge = std::chrono::milliseconds(300);
/// An owner stops the jobs of an entry that has not confirmed for this long
/// that it hears the owner. Entries turn to another owner after DeadAfter at
/// the earliest, so this is shorter by the time that stopping takes. A
/// confirmation is two pings old when it arrives, and both ends may be late by
/// a hundred milliseconds where they have an eighth of a core.
constexpr Duration OriginTimeout = std::chrono::milliseconds(450);
/// An owner that was fenced and hears less than half of the entries leaves the
/// pool to the others, and makes no claim for this long.
constexpr Duration FencedPause = std::chrono::seconds(3);
/// Two owners that have heard of each other resolve the conflict by their
/// messages within this time; fencing is ignored meanwhile.
constexpr Duration RivalSettleTime = std::chrono::milliseconds(500);
/// The time that an owner takes to stop the jobs of an entry once it has
/// noticed that the entry is silent.
constexpr Duration StopMargin = std::chrono::milliseconds(100);
/// How many of the first ranks are monitored in addition to the owner: those
/// that may become the owner when others fail with it.
constexpr std::size_t PingedRanks = 3;
/// Up to this number, all entries monitor each other closely.
constexpr std::size_t SmallGroup = 8;
/// How often entries of a large group that do not monitor the owner closely
/// ping it, and how often it pings the first ranks.
constexpr Duration FollowInterval = std::chrono::milliseconds(500);
/// How long control's report about an owner is valid; then the owner itself is
/// asked.
constexpr Duration ReportValidity = std::chrono::seconds(1);
/// An owner that has announced that it releases the pool is no candidate for
/// this long, the time in which another takes over.
constexpr Duration ReleaseValidity = std::chrono::milliseconds(1200);

/// An entry's claim to own the pool.
struct OwnerClaim {
  Endpoint At;
  /// 0 is no claim.
  FencingToken Token;

  bool operator==(const OwnerClaim &) const = default;
};

/// What another entry has stated about itself and this pool.
struct PeerStatement {
  /// When it last announced that it releases the pool.
  std::optional<Time> ReleasingAt;
  /// For an owner: it knows all that runs in the pool.
  bool Settled = false;
  /// The first claim that it heard of since its start.
  FencingToken FirstClaim;
};

/// How the previous owner was lost, as far as the next one knows.
struct OwnerLoss {
  /// It announced that it releases the pool.
  bool Released = false;
  /// It knew all that ran, so that no owner before it left a run whose job may
  /// have gone to another pool.
  bool Settled = false;
  /// When a connection to it was last refused, by its VM or by something in
  /// between; unset if it went silent.
  std::optional<Time> RefusedAt;
};

struct PoolView {
  /// \p SharedPeers, common to all pools, outlives the view.
  PoolView(Endpoint Own, const PeerTable &SharedPeers)
      : Self(std::move(Own)), Peers(&SharedPeers) {}

  Endpoint Self;
  const PeerTable *Peers;
  /// All entries, this one included, by rank.
  std::vector<Endpoint> Ranked;
  /// When a list of the entries was first received. An entry that has just
  /// started and knows no other entry makes no claim.
  std::optional<Time> PeersKnownSince;
  std::map<Endpoint, PeerStatement> Statements;
  OwnerClaim Owner;
  /// When the owner became known. It counts as alive until it has had the time
  /// to answer.
  Time OwnerSince;
  /// When control last reported it as the owner.
  std::optional<Time> ReportedAt;
  /// Since when no owner is alive. Entries of lower rank ask the ones before
  /// them from then on.
  std::optional<Time> OwnerLostAt;
  /// Another claim that was heard of while the owner was alive. The two owners
  /// resolve the conflict between themselves.
  OwnerClaim Rival;
  /// When the rival was last heard of, and when it was first.
  std::optional<Time> RivalHeardAt;
  std::optional<Time> RivalSince;
  /// The previous owner; only set if this entry has claimed the pool.
  OwnerClaim Earlier;
  /// The first claim that was heard of.
  FencingToken FirstClaim;
  /// The highest claim that was heard of; lower ones are out of date.
  FencingToken LastClaim;
  /// Claims of this entry must be above it.
  FencingToken Highest;
  /// For an owner: since when it has known of a higher claim than its own.
  std::optional<Time> BehindSince;
  /// This entry makes no claim before this time.
  Time NoClaimBefore;
  /// This entry is about to stop or releases the pool: it makes no claim.
  bool Stopping = false;
};

/// Sets the entries of the group; an empty list means that none is known.
void applyEntries(PoolView &View, const std::vector<Endpoint> &Entries,
                  Time Now);

/// Note what \p Peer states about itself and this pool.
void noteReleasing(PoolView &View, const Endpoint &Peer, bool Releasing,
                   Time Now);
void noteSettled(PoolView &View, const Endpoint &Peer, bool Settled);
void noteFirstClaim(PoolView &View, const Endpoint &Peer, FencingToken First);
/// Notes a claim that \p Speaker passed on. Returns whether the owner changed;
/// a new owner counts as alive for now. While the owner is alive only its own
/// statement changes it. The last claim, once dropped, comes back into force
/// only if its owner itself states it: others may not know that it was
/// released.
bool noteClaim(PoolView &View, const OwnerClaim &Claim, const Endpoint &Speaker,
               Time Now);
/// Notes which owner \p Peer itself states. A peer that is believed to be the
/// owner and states otherwise has released the pool.
void noteOwnStatement(PoolView &View, const Endpoint &Peer,
                      const OwnerClaim &Statement);
/// Notes that claims must be above \p Token, as another entry has stated.
void noteHighest(PoolView &View, FencingToken Token);
/// Notes that a worker refused this owner's order because it has seen a higher
/// token: of another owner, or of an earlier one that no entry remembers. The
/// owner goes on with a higher token if it hears more than half of the entries,
/// and else releases the pool. \p Token is what the order carried; nothing
/// happens if another claim is in force by now.
void noteFenced(PoolView &View, FencingToken Token, Time Now);

/// Resolves the conflict with another owner, whose message carries the claim
/// \p Other. \p OwnWorkers and \p OtherWorkers count the workers of the two.
/// The larger one takes a token above the other's, unless its token is higher
/// already; the smaller one follows the other once that is so. Returns whether
/// this entry's claim changed.
bool resolveRival(PoolView &View, const OwnerClaim &Other,
                  std::uint64_t OwnWorkers, std::uint64_t OtherWorkers,
                  Time Now, WallMillis Wall);

/// Resolves a claim with a higher token that nobody holds any more: others know
/// of it and therefore do not follow this owner, but its claimant has not
/// answered for DeadAfter, since it has ended or has released the pool. Takes a
/// token above that claim, and returns whether it did.
bool outbidSilentRival(PoolView &View, Time Now, WallMillis Wall);

/// Takes a token above all that this owner has heard of.
void raiseToken(PoolView &View, WallMillis Wall);

/// From when on a job that \p Owner may have accepted can go to another owner:
/// by then it has released the pool, or has noticed the silence of this entry
/// and stopped the job.
Time jobsStoppedBy(const PoolView &View, const Endpoint &Owner, Time Now);
/// How the owner before this entry was lost.
OwnerLoss earlierOwnerLoss(const PoolView &View, Time Now);

/// For an owner that claimed the pool at \p Claimed: by when all processes that
/// may have owned it before had ended. This is known if all candidates have
/// answered since, all of them have recently started, and none has ever heard
/// of another claim, as after a loss of all processes.
std::optional<Time> earlierOwnersEndedBy(const PoolView &View, Time Claimed);
/// The candidates that have not answered a ping sent since \p Claimed.
std::vector<Endpoint> unansweredSince(const PoolView &View, Time Claimed);

bool isAlive(const PoolView &View, const Endpoint &Entry, Time Now);
/// Notes that control reports \p Owner as the owner.
void noteReport(PoolView &View, const Endpoint &Owner, Time Now);
/// Whether the candidates are so few that all monitor each other.
bool isSmallGroup(const PoolView &View);
/// Whether this entry pings the owner itself in each round.
bool watchesClosely(const PoolView &View);
/// Whether \p Entry has answered lately, even if it is only pinged each
/// FollowInterval.
bool wasAliveLately(const PoolView &View, const Endpoint &Entry, Time Now);
/// Whether there is an owner that is alive, as far as this entry can tell.
bool isOwnerAlive(const PoolView &View, Time Now);
bool ownsPool(const PoolView &View);

/// The first ranks, as many as are needed to include PingedRanks candidates
/// that are alive, or may be.
std::vector<Endpoint> frontRanks(const PoolView &View, Time Now);
/// Whom to ping each PingInterval.
std::vector<Endpoint> pingTargets(const PoolView &View, Time Now);
/// Whom to ping each FollowInterval in addition.
std::vector<Endpoint> followTargets(const PoolView &View, Time Now);

/// Claims the pool for this entry if it is its turn; returns the claim. \p Wall
/// makes tokens grow where no entry remembers the last one.
std::optional<OwnerClaim> claimIfDue(PoolView &View, Time Now, WallMillis Wall);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H
