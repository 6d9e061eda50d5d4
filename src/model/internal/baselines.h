//===- baselines.h - The two policies to compare with -----------*- C++ -*-===//
//
// Stand-ins for the pool client: the naive one leases the next worker in turn
// without asking; the central one knows the state of every worker and the true
// run times at once, and has one fair queue of each class for all entries.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_BASELINES_H
#define GERANIUMBAY_MODEL_INTERNAL_BASELINES_H

#include "dispatch/internal/fairqueue.h"
#include "dispatch/ipoolclient.h"
#include "model/internal/modelworker.h"

#include <array>
#include <memory>
#include <unordered_map>

namespace geraniumbay::model {

using ModelWorkers = std::vector<std::unique_ptr<ModelWorker>>;

/// Goes round all workers of the deployment.
class NaiveClient : public dispatch::IPoolClient {
public:
  NaiveClient(World &Shared, std::size_t Entry)
      : Shared_(Shared), Next_(Entry) {}

  void acquire(dispatch::PoolRequest Request, LeaseCallback OnLease,
               RejectCallback OnReject) override;
  void cancel(const dispatch::RequestId &) override {}
  void release(const dispatch::Lease &, dispatch::LeaseOutcome,
               Duration) override {}

private:
  World &Shared_;
  std::size_t Next_;
};

/// The one queue of all entries.
class CentralQueue {
public:
  CentralQueue(World &Shared, ModelWorkers &Workers);

  void acquire(std::size_t Centre, dispatch::PoolRequest Request,
               dispatch::IPoolClient::LeaseCallback OnLease,
               const dispatch::IPoolClient::RejectCallback &OnReject);
  void cancel(const dispatch::RequestId &Request);
  /// The task of a lease has arrived at its worker, or never will.
  void settled(std::size_t Worker);

private:
  struct Item {
    dispatch::Waiting Queued;
    std::size_t Centre = 0;
    dispatch::IPoolClient::LeaseCallback OnLease;
  };

  void schedule();
  void grant(Item &To, ModelWorker &At);
  dispatch::Waiting *front() const;
  /// A worker with a free slot, in \p Centre if there is one; or null.
  ModelWorker *pick(std::size_t Centre);
  Duration expectedWait(const dispatch::PoolRequest &Request) const;

  World &Shared_;
  ModelWorkers &Workers_;
  /// Slots that are leased to tasks still under way, by worker.
  std::vector<std::uint32_t> UnderWay_;
  /// Urgent and routine work.
  std::array<dispatch::FairQueue, 2> Queues_;
  std::unordered_map<dispatch::RequestId, Item> Items_;
  std::uint64_t LastSequence_ = 0;
  bool Scheduled_ = false;
};

/// One entry's access to the central queue.
class CentralClient : public dispatch::IPoolClient {
public:
  CentralClient(CentralQueue &Queue, std::size_t Centre)
      : Queue_(Queue), Centre_(Centre) {}

  void acquire(dispatch::PoolRequest Request, LeaseCallback OnLease,
               RejectCallback OnReject) override {
    Queue_.acquire(Centre_, std::move(Request), std::move(OnLease), OnReject);
  }
  void cancel(const dispatch::RequestId &Request) override {
    Queue_.cancel(Request);
  }
  void release(const dispatch::Lease &Held, dispatch::LeaseOutcome Outcome,
               Duration /*Ran*/) override {
    if (Outcome == dispatch::LeaseOutcome::NotStarted)
      Queue_.settled(std::stoul(Held.Worker.value()));
  }

private:
  CentralQueue &Queue_;
  std::size_t Centre_;
};

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_BASELINES_H
