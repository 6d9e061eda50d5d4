//===- fairqueue.h - Weighted fair queue of requests ------------*- C++ -*-===//
//
// The waiting requests of one class of one service. Teams share the slots by
// start-time fair queueing: each granted task costs its team the expected run
// time over the team's weight, and the team with the lowest virtual time goes
// next. Within a team, requests go by their rank, so that one job ends before
// the next one starts. All steps cost O(log n).
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_FAIRQUEUE_H
#define GERANIUMBAY_DISPATCH_INTERNAL_FAIRQUEUE_H

#include "dispatch/types.h"

#include <map>
#include <set>
#include <unordered_map>

namespace geraniumbay::dispatch {

/// One accepted request with tasks that have no lease yet.
struct Waiting {
  PoolRequest Request;
  EntryRef From;
  /// Order of arrival; unique in the pool.
  std::uint64_t Sequence = 0;
  Time Arrived{};
  /// Order within the team: the lowest goes first.
  Time Rank{};
  /// Time::max() if the request has no deadline.
  Time Deadline = Time::max();
  /// Tasks without a lease. Invariant: above 0 while the request is queued.
  std::uint32_t TasksLeft = 0;
  /// Expected run time of one task.
  Duration TaskRun{0};
  /// Place in the grants of one turn; valid only in that turn.
  std::uint64_t GrantTurn = 0;
  std::size_t GrantIndex = 0;
};

/// The waiting requests of one team.
struct TeamFlow {
  std::uint64_t Order = 0;
  double Weight = 1;
  /// Virtual time at which the team's next task starts.
  double VirtualStart = 0;
  /// At its quota; not listed until a lease is released.
  bool Parked = false;
  /// Invariant: true exactly while the flow stands in FairQueue::Listed.
  bool IsListed = false;
  /// Expected run time of all waiting tasks.
  Duration Work{0};
  /// By rank, then in order of arrival.
  std::map<std::pair<Time, std::uint64_t>, Waiting *> Requests;
};

/// Teams' flows in order of virtual time.
struct FairQueue {
  /// Order in Listed: virtual start, then the order of creation.
  using Key = std::pair<double, std::uint64_t>;

  double VirtualNow = 0;
  std::unordered_map<TeamId, TeamFlow> Flows;
  /// Invariant: exactly the flows with requests that are not parked.
  std::map<Key, TeamFlow *> Listed;
  /// Sum of the weights of the listed flows.
  double ListedWeight = 0;
  /// Waiting tasks and their expected run time, parked ones too.
  std::uint32_t Tasks = 0;
  Duration Work{0};
};

/// Adds a request, whose team has the weight \p Weight.
void push(FairQueue &Queue, Waiting &Request, double Weight);

/// The request whose task goes next, or null.
Waiting *front(const FairQueue &Queue);

/// Takes one task from \p Request and charges its team. Returns true if it was
/// the last one, and then the request has left the queue.
bool takeTask(FairQueue &Queue, Waiting &Request);

/// Changes the order of \p Request within its team.
void setRank(FairQueue &Queue, Waiting &Request, Time Rank);

/// Removes \p Request with all its waiting tasks.
void erase(FairQueue &Queue, Waiting &Request);

/// Stops (\p Parked) or resumes serving \p Team.
void setParked(FairQueue &Queue, const TeamId &Team, bool Parked);

/// Expected run time of the waiting tasks of \p Team.
Duration teamWork(const FairQueue &Queue, const TeamId &Team);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_FAIRQUEUE_H
