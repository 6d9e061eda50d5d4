//===- poolmember.h - An entry's part in one pool ---------------*- C++ -*-===//
//
// What an entry believes of one pool, and the scheduler while it owns it. The
// entry carries the messages; this class reads and writes the claims in them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H

#include "jobs/internal/pools.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"

namespace geraniumbay::jobs {

class PoolMember;

/// What a member works with; all of it outlives the member.
struct PoolMemberDependencies {
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  LeaseSettings Lease;
  const PeerTable &Peers;
  /// Data centres that are evacuated.
  const std::set<DataCentreId> &Evacuated;
  /// Whether control has told of all workers.
  const bool &KnowsAllWorkers;
  /// Tasks that may crash their workers, as earlier owners have told.
  const SuspectsByJob &Suspects;
  /// Called by an owner that has found more of them.
  std::function<void(const PoolMember &)> SuspectsFound;
};

class PoolMember {
public:
  PoolMember(PoolMemberDependencies Deps, PoolName Name,
             DataCentreId DataCentre, const Endpoint &Self);

  const PoolName &name() const { return Name_; }
  const DataCentreId &dataCentre() const { return DataCentre_; }
  PoolView &view() { return View_; }
  const PoolView &view() const { return View_; }
  /// Null unless this entry owns the pool.
  Scheduler *scheduler() { return Scheduler_.get(); }
  const Scheduler *scheduler() const { return Scheduler_.get(); }
  WorkerDirectory &directory() { return Directory_; }
  const WorkerDirectory &directory() const { return Directory_; }

  /// Whether this entry may own the pool.
  bool isCandidate() const { return Candidate_; }
  /// Takes those who may own the pool, by rank. An empty list means that none
  /// is known.
  void applyCandidates(const std::vector<Endpoint> &Ranked, bool Candidate);
  /// The pool has an owner that was heard lately.
  bool isOwned() const;

  /// Claims the pool if it is this entry's turn; returns whether it did.
  bool claimIfDue();
  /// Starts or ends the scheduler as the view says; with \p Disengaged there is
  /// none. Returns whether the other candidates must hear of it at once.
  bool followOwner(bool Disengaged);
  /// Of an owner: by when all processes that may have owned the pool before
  /// this one were gone, if that is known. \p Started: when this process did.
  std::optional<Time> earlierOwnersEndedBy(Time Started) const;
  /// The candidates whose answers that takes. Nobody once the owner knows what
  /// runs.
  std::vector<Endpoint> candidatesToHear() const;
  /// Lets go of the pool for the next candidate to take over, with what runs.
  /// Another claim, or GoneFor, ends it.
  void releaseOwnership();
  /// Hands the directory to the scheduler.
  void workersChanged();
  void evacuationsChanged();

  Json::Value writeClaim() const;
  /// What entries of other data centres need: owner, token and a load that is
  /// told anew only when it has changed by much.
  Json::Value writeReport();
  /// Takes and returns the claim that a message of \p Speaker carries.
  OwnerClaim applyClaim(const Json::Value &From, const Endpoint &Speaker);
  /// Takes all that a peer's own message says about the pool.
  void applyPeerStatement(const Json::Value &From, const Endpoint &Speaker);
  /// Takes what control says of the pool's owner, where this entry does not
  /// watch it itself.
  void applyControlReport(const Json::Value &From);
  /// Notes that the last report still holds, or that nobody vouches for it.
  void confirmReport();
  void dropReport() { ReportedOwner_.reset(); }

  /// How long \p Wanted may wait here, what was sent since the owner's last
  /// word included. Nothing if the owner has not told.
  std::optional<Duration> expectedWait(const Job &Wanted) const;
  /// How much of the pool is in use, of 1.
  double use() const;
  /// Notes that work was sent to the owner.
  void noteSent(const Job &Sent);
  /// The owner did not answer: no job is sent before its load is told again.
  void discardLoad() { LoadUpdatedAt_.reset(); }

private:
  /// Ends letting go once another owns the pool, or nobody wants to.
  void endRelease();
  void handleRivalOwner(const Json::Value &From, const OwnerClaim &Claim,
                        const Endpoint &Speaker);
  /// Whether control's word about the owner is of use here.
  bool needsReports() const;
  /// Whether the owner itself has told its load lately.
  bool hasFreshLoad() const;
  void applyLoad(const Json::Value &From);
  /// \p Again: this entry has owned the pool before, and another owner has been
  /// there. Where there are several pools that one may have given jobs back
  /// which went elsewhere since, so that this one begins anew: each job comes
  /// again by its entry, and is agreed with its registrar.
  void startScheduler(bool Restarted);

  const PoolMemberDependencies Deps_;
  const PoolName Name_;
  const DataCentreId DataCentre_;
  PoolView View_;
  bool Candidate_ = false;
  WorkerDirectory Directory_;
  const JobStore NoDurableJobs_;
  std::unique_ptr<Scheduler> Scheduler_;
  /// When this entry claimed the pool last.
  Time ClaimedAt_;
  /// The load in the owner's reports.
  SmoothedPoolLoad ReportedLoad_;
  /// Since when this owner has let go for another candidate.
  std::optional<Time> ReleasingSince_;
  /// Whether the scheduler knew all that runs when it ended.
  bool WasSettledAtEnd_ = false;
  /// The claim went up because another owner was met, which lets go.
  bool RaisedForRival_ = false;
  /// The owner's last word.
  PoolLoad Load_;
  std::optional<Time> LoadUpdatedAt_;
  /// The owner that control has told of, until it is silent there.
  std::optional<Endpoint> ReportedOwner_;
  /// When the load was last heard from the owner itself.
  std::optional<Time> LoadHeardAt_;
  /// The work that was sent since.
  scheduling::CoreTime SentSinceUpdate_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H
