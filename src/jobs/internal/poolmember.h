//===- poolmember.h - An entry's part in one pool ---------------*- C++ -*-===//
//
// What an entry knows of one pool, and the scheduler while it owns the pool.
// The entry exchanges the messages; this class reads and writes the claims in
// them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H
#define GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H

#include "jobs/internal/pools.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"

namespace geraniumbay::jobs {

class PoolMember;

/// The dependencies of a member; all of them outlive it.
struct PoolMemberDependencies {
  IWorkerCalls &Workers;
  const IClock &Clock;
  ITimers &Timers;
  Metrics &Measured;
  LeaseSettings Lease;
  const PeerTable &Peers;
  /// Data centres that are evacuated.
  const std::set<DataCentreId> &Evacuated;
  /// Whether control's list of workers is complete.
  const bool &KnowsAllWorkers;
  /// Tasks that may crash their workers, as reported by earlier owners.
  const SuspectsByJob &Suspects;
  /// Called when this owner has found more of them.
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
  /// Sets the entries that may own the pool, by rank. An empty list means that
  /// none is known.
  void applyCandidates(const std::vector<Endpoint> &Ranked, bool Candidate);
  /// Whether the pool has an owner that was heard lately.
  bool isOwned() const;

  /// Claims the pool if it is this entry's turn; returns whether it did.
  bool claimIfDue();
  /// Starts or stops the scheduler according to the view; with \p Disengaged
  /// there is none. Returns whether the other candidates must be notified at
  /// once.
  bool followOwner(bool Disengaged);
  /// For an owner: by when all processes that may have owned the pool before
  /// this one had ended, if that is known. \p Started is the start of this
  /// process.
  std::optional<Time> earlierOwnersEndedBy(Time Started) const;
  /// The candidates whose answers earlierOwnersEndedBy() still needs; empty
  /// once the owner knows what runs.
  std::vector<Endpoint> candidatesToHear() const;
  /// Releases the pool for the next candidate to take over, with the tasks that
  /// run in it. The release ends with another entry's claim or after
  /// ReleaseTimeout.
  void releaseOwnership();
  /// Passes the directory to the scheduler.
  void workersChanged();
  void evacuationsChanged();

  Json::Value writeClaim() const;
  /// What entries of other data centres need: owner, token and a load that
  /// changes only in large steps.
  Json::Value writeReport();
  /// Applies and returns the claim that a message of \p Speaker carries.
  OwnerClaim applyClaim(const Json::Value &From, const Endpoint &Speaker);
  /// Applies all that a peer's own message states about the pool.
  void applyPeerStatement(const Json::Value &From, const Endpoint &Speaker);
  /// Applies control's report about the pool's owner, if this entry does not
  /// monitor the owner itself.
  void applyControlReport(const Json::Value &From);
  /// Notes that the last report is still valid, or that it is not confirmed any
  /// more.
  void confirmReport();
  void dropReport() { ReportedOwner_.reset(); }

  /// How long \p Wanted may wait here, including the work that was sent since
  /// the owner last reported its load. Nothing if the load is unknown.
  std::optional<Duration> expectedWait(const Job &Wanted) const;
  /// The share of the pool that is in use, from 0 to 1.
  double use() const;
  /// Notes that work was sent to the owner.
  void noteSent(const Job &Sent);
  /// Called when the owner did not answer: no job is sent before its load is
  /// reported again.
  void discardLoad() { LoadUpdatedAt_.reset(); }

private:
  /// Ends the release once another entry owns the pool, or none has taken it in
  /// time.
  void endRelease();
  void handleRivalOwner(const Json::Value &From, const OwnerClaim &Claim,
                        const Endpoint &Speaker);
  /// Whether this entry depends on control's reports about the owner.
  bool needsReports() const;
  /// Whether the owner itself has reported its load lately.
  bool hasFreshLoad() const;
  void applyLoad(const Json::Value &From);
  /// \p Restarted is set if this entry has owned the pool before and another
  /// owner has come in between. With several pools that owner may have released
  /// claims to jobs that went to other pools since. The scheduler then starts
  /// without jobs: each is submitted again by its entry and registered again.
  void startScheduler(bool Restarted);

  const PoolMemberDependencies Deps_;
  const PoolName Name_;
  const DataCentreId DataCentre_;
  PoolView View_;
  bool Candidate_ = false;
  WorkerDirectory Directory_;
  const JobStore NoDurableJobs_;
  std::unique_ptr<Scheduler> Scheduler_;
  /// When this entry last claimed the pool.
  Time ClaimedAt_;
  /// The load in this owner's reports to control.
  SmoothedPoolLoad ReportedLoad_;
  /// Since when this owner has been releasing the pool to another candidate.
  std::optional<Time> ReleasingSince_;
  /// Whether the scheduler knew all that runs when it was stopped.
  bool WasSettledAtEnd_ = false;
  /// The token was raised because of another owner, which releases the pool.
  bool RaisedForRival_ = false;
  /// The load that the owner last reported.
  PoolLoad Load_;
  std::optional<Time> LoadUpdatedAt_;
  /// The owner in control's last report; unset once that is not confirmed.
  std::optional<Endpoint> ReportedOwner_;
  /// When the load was last heard from the owner itself.
  std::optional<Time> LoadHeardAt_;
  /// The work that was sent since the load was updated.
  scheduling::CoreTime SentSinceUpdate_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_POOLMEMBER_H
