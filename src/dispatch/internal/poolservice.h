//===- poolservice.h - The pool on the network ------------------*- C++ -*-===//
//
// The adapter around the decision core on the owner's side: takes the pool.*
// messages of entries, runs decide() once for each turn of the loop in which
// something happened, and sends each entry its leases of that turn in one
// message. A lease whose message certainly did not arrive is free again at
// once; one whose fate is unknown is held until pool.renew settles it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_POOLSERVICE_H
#define GERANIUMBAY_DISPATCH_INTERNAL_POOLSERVICE_H

#include "dispatch/internal/messages.h"
#include "dispatch/ipooldirectory.h"
#include "dispatch/ipoolowner.h"
#include "dispatch/pool.h"
#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"

namespace geraniumbay::dispatch {

class PoolService : public IPoolOwner {
public:
  /// Registers the methods of entries at \p Server. All arguments outlive the
  /// service.
  PoolService(const IClock &Clock, ITimers &Timers, IRpcServer &Server,
              IRpcClient &Client, const IPoolDirectory &Directory,
              PoolPolicy Policy);
  ~PoolService() override;

  PoolService(const PoolService &) = delete;
  PoolService &operator=(const PoolService &) = delete;

  Ret announce(const WorkerAnnouncement &Announcement) override;
  void removeWorker(const WorkerId &Worker, Incarnation Last) override;
  void suspendWorker(const WorkerId &Worker) override;
  void disownWorker(const WorkerId &Worker) override;
  void entryDied(const VmId &Entry, Incarnation Last) override;
  void setPolicy(PoolPolicy Policy) override;
  void drain() override;
  std::vector<PoolSummary> summaries() const override;

private:
  RetVal<Json::Value> onAcquire(const Json::Value &Params);
  RetVal<Json::Value> onCancel(const Json::Value &Params);
  RetVal<Json::Value> onRelease(const Json::Value &Params);
  RetVal<Json::Value> onRenew(const Json::Value &Params);

  /// Runs decide() at the end of this turn of the loop.
  void touch();
  void runTurn();
  void armWake();
  void sendGrants(const PoolActions &Actions);
  void sendGrant(const VmId &To, GrantMessage Message);
  void sendRefusal(const Refusal &Each);
  void settleGrant(const std::vector<Lease> &Leases,
                   const Outcome<Json::Value> &Reply);

  const IClock &Clock_;
  ITimers &Timers_;
  IRpcClient &Client_;
  const IPoolDirectory &Directory_;
  PoolHandle Pool_;
  /// Timer of the end of this turn; 0 if none is set.
  TimerId Turn_;
  /// Timer of nextWake(); 0 if none is set.
  TimerId Wake_;
  /// Expires with the service, so that a late reply finds it gone.
  std::shared_ptr<PoolService *> Alive_;
};

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_POOLSERVICE_H
