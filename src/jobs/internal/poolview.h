//===- poolview.h - Who owns the pool of workers ----------------*- C++ -*-===//
//
// How the entries agree on the one that schedules. No majority is needed, so
// that a data centre that is cut off goes on with the workers that it reaches:
// two owners at once do no harm, since
//
//   - a worker obeys only the highest fencing token it has seen, and
//   - a job is at one owner at a time: its entry turns to another owner only
//     after it has not heard the first for DeadAfter, and by then that owner,
//     which has not heard the entry for OriginTimeout, has stopped the job.
//
// Entries are ranked. An owner stays the owner as long as it is alive; then the
// first entry that is alive takes over with a higher token. In a small group
// all entries watch the owner and the front of the ranks closely. In a large
// one only the front of the ranks does; the others hear of the owner from
// control, ask it now and then if control is silent, and closely only while it
// has jobs of theirs, so that what an owner is asked does not grow with the
// group. Where two owners
// hear of each other, as when a cut has healed, the one with fewer workers lets
// go; entries follow their owner's word meanwhile.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H

#include "jobs/internal/peertable.h"
#include "jobs/jobtypes.h"

#include <vector>

namespace geraniumbay::jobs {

/// Callers whose connection broke unnoticed come back after 1.3 s, perhaps to
/// another pool, and two pools do not know of each other's runs. What has not
/// begun so long after its caller sent it, or since an owner was lost, does not
/// begin any more.
constexpr Duration MaxStartDelay = std::chrono::milliseconds(1100);
/// How often entries ping each other.
constexpr Duration PingInterval = std::chrono::milliseconds(100);
/// An entry that has not answered for so long counts as dead.
constexpr Duration DeadAfter = std::chrono::milliseconds(600);
/// An owner pings the front of the ranks, so that who stands there hears of it
/// within so long: two pings and a half. An entry that has just started claims
/// nothing before, and then only if the front of the ranks is heard. After a
/// loss of all processes service is back 0.35 s sooner than with DeadAfter.
constexpr Duration DiscoveryTime = std::chrono::milliseconds(250);
/// A job is sent to an owner, and taken by it, only if the owner was heard
/// within this time: a message that has lain for longer may be of a caller that
/// has come back elsewhere.
constexpr Duration MaxEchoAge = std::chrono::milliseconds(300);
/// An owner stops the jobs of an entry that has not confirmed for so long that
/// it hears this owner. Entries turn to another owner after DeadAfter at the
/// earliest, so it is below that by the time of a stop. A confirmation is two
/// pings old when it comes, and both ends may be late by a hundred milliseconds
/// where they have an eighth of a core.
constexpr Duration OriginTimeout = std::chrono::milliseconds(450);
/// An owner that was fenced and hears less than half of the entries lets the
/// others go on, and makes no claim for so long.
constexpr Duration FencedPause = std::chrono::seconds(3);
/// Owners that have heard of each other settle it by their words within so
/// long; being fenced tells them nothing new meanwhile.
constexpr Duration RivalSettleTime = std::chrono::milliseconds(500);
/// The time that an owner takes from noticing to having stopped.
constexpr Duration StopMargin = std::chrono::milliseconds(100);
/// How many entries in front of the ranks are watched beside the owner: those
/// that may become the owner when others fail with it.
constexpr std::size_t PingedRanks = 3;
/// Up to this many entries all watch each other closely.
constexpr std::size_t SmallGroup = 8;
/// How often an owner is asked by those of a large group that do not watch it
/// closely, and how often it asks the front of the ranks.
constexpr Duration FollowInterval = std::chrono::milliseconds(500);
/// What control says of an owner counts for so long; then it is asked itself.
constexpr Duration ReportValidity = std::chrono::seconds(1);
/// An owner that has said that it lets go is no candidate for so long, the time
/// in which another takes the pool.
constexpr Duration ReleaseValidity = std::chrono::milliseconds(1200);

/// An entry's claim to own the pool.
struct OwnerClaim {
  Endpoint At;
  /// 0 is no claim.
  FencingToken Token;

  bool operator==(const OwnerClaim &) const = default;
};

/// What another entry has said of this pool.
struct PeerStatement {
  /// When it said last that it lets go of the pool.
  std::optional<Time> ReleasingAt;
  /// Of an owner: it knows all that runs there.
  bool Settled = false;
  /// The first claim that it has ever heard of.
  FencingToken FirstClaim;
};

/// How the owner before was lost, as far as the next one knows.
struct OwnerLoss {
  /// It has said that it lets go.
  bool Released = false;
  /// It knew all that ran: no owner before it left a run whose job may be taken
  /// up elsewhere.
  bool Settled = false;
  /// When it began to refuse connections, or something in its name; else it was
  /// silent.
  std::optional<Time> RefusedAt;
};

struct PoolView {
  /// \p Known, which all pools share, outlives the view.
  PoolView(Endpoint Own, const PeerTable &SharedPeers)
      : Self(std::move(Own)), Peers(&SharedPeers) {}

  Endpoint Self;
  const PeerTable *Peers;
  /// All entries, this one included, by rank.
  std::vector<Endpoint> Ranked;
  /// When a list of the entries was first heard. An entry that has just started
  /// and knows nobody claims nothing.
  std::optional<Time> PeersKnownSince;
  std::map<Endpoint, PeerStatement> Statements;
  OwnerClaim Owner;
  /// When it was first heard of as the owner. Until it has had the time to
  /// answer it counts as alive.
  Time OwnerSince;
  /// When control last vouched for it.
  std::optional<Time> ReportedAt;
  /// Since when no owner is alive. Those behind the front of the ranks ask the
  /// ones before them from then on.
  std::optional<Time> OwnerLostAt;
  /// Another claim that was heard of while the owner was alive. Owners settle
  /// it between themselves.
  OwnerClaim Rival;
  /// When it was last heard of, and since when it is.
  std::optional<Time> RivalHeardAt;
  std::optional<Time> RivalSince;
  /// The owner before; only of an entry that has claimed the pool.
  OwnerClaim Earlier;
  /// The first claim that was heard of.
  FencingToken FirstClaim;
  /// The highest claim that was heard of; lower ones are of the past.
  FencingToken LastClaim;
  /// Claims of this entry must be above it.
  FencingToken Highest;
  /// Of an owner: since when it has known of a higher claim than its own.
  std::optional<Time> BehindSince;
  /// This entry makes no claim before this time.
  Time NoClaimBefore;
  /// This entry is about to stop: it does not claim, and lets go.
  bool Stopping = false;
};

/// Takes the entries that there are; an empty list means that none is known.
void applyEntries(PoolView &View, const std::vector<Endpoint> &Entries,
                  Time Now);

/// Notes what \p Peer says of itself and this pool.
void noteReleasing(PoolView &View, const Endpoint &Peer, bool LetsGo, Time Now);
void noteSettled(PoolView &View, const Endpoint &Peer, bool Settled);
void noteFirstClaim(PoolView &View, const Endpoint &Peer, FencingToken First);
/// Notes a claim that \p Speaker passed on. Returns whether the owner changed;
/// a new owner counts as alive for now. While the owner is alive only its own
/// word changes it. The last claim itself comes back into force by its owner's
/// own word only: others may not know that it let go.
bool noteClaim(PoolView &View, const OwnerClaim &Claim, const Endpoint &Speaker,
               Time Now);
/// Notes what \p Peer itself takes for the owner: if it is believed to be the
/// owner and says otherwise, it has let go.
void noteOwnStatement(PoolView &View, const Endpoint &Peer,
                      const OwnerClaim &Statement);
/// Notes that claims must be above \p Token, as another entry has found.
void noteHighest(PoolView &View, FencingToken Token);
/// Notes that a worker refused this owner's order: somebody else has claimed
/// the workers, or had in a past that nobody remembers. The owner goes on with
/// a higher token if it hears more than half of the entries, and else lets go.
/// \p Token is what the order carried; nothing happens if another claim is in
/// force by now.
void noteFenced(PoolView &View, FencingToken Token, Time Now);

/// Two owners have met: \p Other is the claim of the one that speaks. \p Own
/// and \p Others count their workers. The larger one takes a token above the
/// other's, if it has none; the smaller one follows the other once it has.
/// Returns whether this entry's claim changed.
bool resolveRival(PoolView &View, const OwnerClaim &Other,
                  std::uint64_t OwnWorkers, std::uint64_t OtherWorkers,
                  Time Now, WallMillis Wall);

/// Of an owner: others know of a claim with a higher token, so that they do not
/// follow this one, and for DeadAfter nobody has answered for that claim: its
/// maker is gone or has given it up. Takes a token above it, and returns
/// whether it did.
bool outbidSilentRival(PoolView &View, Time Now, WallMillis Wall);

/// From when on a job that \p Owner may have taken can go to another one: by
/// then the owner has let go, or has missed this entry and stopped the job.
Time jobsStoppedBy(const PoolView &View, const Endpoint &Owner, Time Now);
/// How the owner before this entry's claim was lost.
OwnerLoss earlierOwnerLoss(const PoolView &View, Time Now);

/// Of an owner that claimed the pool at \p Claimed: by when all processes that
/// may have owned it before were gone. That is known where all candidates have
/// answered since, all their processes are young, and none has ever heard of
/// another claim: as after a loss of all.
std::optional<Time> earlierOwnersEndedBy(const PoolView &View, Time Claimed);
/// The candidates that have not answered a question sent since \p Claimed.
std::vector<Endpoint> unansweredSince(const PoolView &View, Time Claimed);

bool isAlive(const PoolView &View, const Endpoint &Entry, Time Now);
/// Notes that control vouches for \p Owner.
void noteReport(PoolView &View, const Endpoint &Owner, Time Now);
/// Whether the candidates are so few that all watch each other.
bool isSmallGroup(const PoolView &View);
/// Whether this entry asks the owner itself in each round.
bool watchesClosely(const PoolView &View);
/// Whether it has answered as lately as one that is asked each FollowInterval.
bool wasAliveLately(const PoolView &View, const Endpoint &Entry, Time Now);
/// Whether there is an owner that is alive, as far as this entry watches it.
bool isOwnerAlive(const PoolView &View, Time Now);
bool ownsPool(const PoolView &View);

/// The front of the ranks, up to as many as may have to take over that are
/// alive, or may be.
std::vector<Endpoint> frontRanks(const PoolView &View, Time Now);
/// Whom to ping each PingInterval.
std::vector<Endpoint> pingTargets(const PoolView &View, Time Now);
/// Whom to ping each FollowInterval beside those.
std::vector<Endpoint> followTargets(const PoolView &View, Time Now);

/// Claims the pool for this entry if it is its turn; returns the claim. \p Wall
/// makes tokens grow where no entry remembers the last one.
std::optional<OwnerClaim> claimIfDue(PoolView &View, Time Now, WallMillis Wall);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLVIEW_H
