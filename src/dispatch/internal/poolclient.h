//===- poolclient.h - Getting slots over the network ------------*- C++ -*-===//
//
// The entry's side of the pool.* messages: splits a request among pools, hands
// out the leases that they push, and tells owners what came of them. A lease
// nobody waits for is not taken, and the owner frees it. Once a second each
// owner is told what this entry waits for and holds, so that lost messages do
// not cost slots or requests.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_POOLCLIENT_H
#define GERANIUMBAY_DISPATCH_INTERNAL_POOLCLIENT_H

#include "dispatch/internal/messages.h"
#include "dispatch/ipoolclient.h"
#include "dispatch/ipooldirectory.h"
#include "dispatch/router.h"
#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"

#include <map>
#include <set>
#include <unordered_map>

namespace geraniumbay::dispatch {

class PoolClient : public IPoolClient {
public:
  /// Registers the methods of owners at \p Server. All arguments outlive the
  /// client.
  PoolClient(const IClock &Clock, ITimers &Timers, IRpcServer &Server,
             IRpcClient &Client, const IPoolDirectory &Directory,
             RoutePolicy Policy);
  ~PoolClient() override;

  PoolClient(const PoolClient &) = delete;
  PoolClient &operator=(const PoolClient &) = delete;

  void acquire(PoolRequest Request, LeaseCallback OnLease,
               RejectCallback OnReject) override;
  void cancel(const RequestId &Request) override;
  void release(const Lease &Held, LeaseOutcome Outcome, Duration Ran) override;

private:
  /// What one owner was asked for of one request.
  struct Part {
    Endpoint Address;
    /// Tasks that have no lease from this owner yet.
    std::uint32_t Waiting = 0;
    bool Accepted = false;
    /// Renewals in a row in which the owner did not know the request.
    std::uint32_t Unknown = 0;
  };

  /// One request that is not served in full.
  struct Pending {
    PoolRequest Request;
    LeaseCallback OnLease;
    RejectCallback OnReject;
    Time Deadline = Time::max();
    std::map<VmId, Part> Parts;
    /// Owners that were asked; none is asked twice.
    std::set<VmId> Asked;
    /// Leases held back until all parts are accepted.
    std::vector<Lease> Early;
  };

  /// What this entry has at one owner.
  struct OwnerState {
    Endpoint Address;
    std::set<LeaseId> Held;
    std::set<RequestId> Waiting;
    std::vector<ReleaseItem> Releases;
    /// When it was last asked for something.
    Time AskedAt{};
    /// Calls of pool.renew in a row that failed.
    std::uint32_t Failures = 0;
  };

  /// A load that came with an answer or a grant.
  struct Report {
    PoolSummary Load;
    Time At{};
  };

  using PendingMap = std::unordered_map<RequestId, Pending>;

  RetVal<Json::Value> onGrant(const Json::Value &Params);
  RetVal<Json::Value> onReject(const Json::Value &Params);

  /// Asks pools for \p Tasks tasks of the request; false if none is left.
  bool ask(Pending &Of, std::uint32_t Tasks);
  void sendAcquire(Pending &Of, const RoutePart &To);
  void acquireAnswered(const RequestId &Id, const VmId &Owner,
                       const Outcome<Json::Value> &Reply);
  /// The part at \p Owner failed: asks another pool, or rejects the request.
  void partFailed(const RequestId &Id, const VmId &Owner, Rejection Why);
  void reject(PendingMap::iterator Of, Rejection Why);
  /// The pools of the directory, with newer reports where there are any.
  std::vector<PoolSummary> knownPools(const Pending &For) const;
  void takeReports(const VmId &Owner, const std::vector<PoolSummary> &Loads);
  bool takeLease(const Lease &Granted);
  /// Hands out leases that were held back if all parts are accepted.
  void handOut(const RequestId &Id);
  void sendCancel(const RequestId &Id, const VmId &Owner);
  void forgetPart(const RequestId &Id, const VmId &Owner);

  void flushReleases();
  void sendReleases(const VmId &Owner, std::vector<ReleaseItem> Items,
                    int TriesLeft);
  void renewAll();
  void renewAt(const VmId &Owner);
  void renewAnswered(const VmId &Owner, const Outcome<Json::Value> &Reply);
  void ownerLost(const VmId &Owner);

  /// Runs \p Function on this client unless it is gone.
  template <typename FunctionT> auto guarded(FunctionT Function) {
    return [Alive = std::weak_ptr<PoolClient *>(Alive_),
            Function](auto &&...Arguments) {
      if (auto Self = Alive.lock())
        Function(Arguments...);
    };
  }

  const IClock &Clock_;
  ITimers &Timers_;
  IRpcClient &Client_;
  const IPoolDirectory &Directory_;
  RoutePolicy Policy_;
  PendingMap Pending_;
  std::map<VmId, OwnerState> Owners_;
  /// The last loads that owners sent with other messages.
  std::map<std::pair<VmId, ServiceId>, Report> Reports_;
  /// Tasks sent to owners since their last report, or the last renewal.
  SentTasks Sent_;
  /// Timer of the next flush; 0 if none is set.
  TimerId Flush_;
  TimerId Renew_;
  std::shared_ptr<PoolClient *> Alive_;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_POOLCLIENT_H
