//===- baselines.cpp - The two policies to compare with -------------------===//
//
// Round robin, and one queue for all.
//
//===----------------------------------------------------------------------===//

#include "model/internal/baselines.h"

#include <algorithm>

namespace geraniumbay::model {
namespace {

using dispatch::Lease;
using dispatch::LeaseId;
using dispatch::PoolRequest;
using dispatch::Rejection;
using dispatch::RejectReason;

Lease leaseOf(const dispatch::RequestId &Request, std::size_t Worker) {
  return {LeaseId(0), Request, VmId(), WorkerId(std::to_string(Worker)), {}};
}

/// Longest wait with which the central queue takes a request.
Duration longestWait(const dispatch::PoolPolicy &Policy,
                     const PoolRequest &Request) {
  Duration Longest = Request.Class == dispatch::WorkClass::Urgent
                         ? Policy.MaxUrgentWait
                         : Policy.MaxRoutineWait;
  // The same part is kept for those who come back as in a pool.
  constexpr int Newcomers = 6;
  constexpr int All = 10;
  return Request.Returning ? Longest : Longest * Newcomers / All;
}

} // namespace

void NaiveClient::acquire(PoolRequest Request, LeaseCallback OnLease,
                          RejectCallback /*OnReject*/) {
  for (std::uint32_t I = 0; I < Request.Tasks; ++I) {
    Next_ = (Next_ + 1) % Shared_.Deployed.Workers;
    Shared_.Timers.after(Duration(0), [Given = leaseOf(Request.Id, Next_),
                                       OnLease] { OnLease(Given); });
  }
}

CentralQueue::CentralQueue(World &Shared, ModelWorkers &Workers)
    : Shared_(Shared), Workers_(Workers), UnderWay_(Workers.size()) {
  for (auto &Each : Workers)
    Each->OnFree = [this] { schedule(); };
}

Duration CentralQueue::expectedWait(const PoolRequest &Request) const {
  const Deployment &Deployed = Shared_.Deployed;
  Duration Ahead = Queues_[0].Work;
  if (Request.Class == dispatch::WorkClass::Routine)
    Ahead += Queues_[1].Work;
  return Ahead / (Deployed.Workers * Deployed.SlotsPerWorker);
}

void CentralQueue::acquire(
    std::size_t Centre, PoolRequest Request,
    dispatch::IPoolClient::LeaseCallback OnLease,
    const dispatch::IPoolClient::RejectCallback &OnReject) {
  Duration Wait = expectedWait(Request);
  bool NeverFits = Request.TimeLeft < Request.DeclaredRun;
  if (NeverFits || Wait > longestWait(Shared_.Decided.Pool, Request)) {
    Rejection Why{NeverFits ? RejectReason::NeverFits
                            : RejectReason::Overloaded,
                  NeverFits ? Duration(0) : Wait};
    Shared_.Timers.after(Duration(0), [OnReject, Why] { OnReject(Why); });
    return;
  }
  Item &Added = Items_[Request.Id];
  Added.Centre = Centre;
  Added.OnLease = std::move(OnLease);
  Added.Queued.Sequence = ++LastSequence_;
  Added.Queued.TasksLeft = Request.Tasks;
  Added.Queued.TaskRun = Request.DeclaredRun;
  // The shortest work first gives the lowest mean.
  Added.Queued.Rank = Time(Request.DeclaredRun * Request.Tasks);
  Added.Queued.Request = std::move(Request);
  push(Queues_[static_cast<std::size_t>(Added.Queued.Request.Class)],
       Added.Queued, 1);
  schedule();
}

void CentralQueue::cancel(const dispatch::RequestId &Request) {
  auto Found = Items_.find(Request);
  if (Found == Items_.end())
    return;
  dispatch::Waiting &Of = Found->second.Queued;
  erase(Queues_[static_cast<std::size_t>(Of.Request.Class)], Of);
  Items_.erase(Found);
}

void CentralQueue::settled(std::size_t Worker) {
  --UnderWay_[Worker];
  schedule();
}

void CentralQueue::schedule() {
  if (Scheduled_)
    return;
  Scheduled_ = true;
  Shared_.Timers.after(Duration(0), [this] {
    Scheduled_ = false;
    while (dispatch::Waiting *Next = front()) {
      Item &To = Items_.at(Next->Request.Id);
      ModelWorker *At = pick(To.Centre);
      if (!At)
        return;
      grant(To, *At);
    }
  });
}

void CentralQueue::grant(Item &To, ModelWorker &At) {
  ++UnderWay_[At.index()];
  dispatch::RequestId Id = To.Queued.Request.Id;
  dispatch::IPoolClient::LeaseCallback OnLease = To.OnLease;
  dispatch::FairQueue &Queue =
      Queues_[static_cast<std::size_t>(To.Queued.Request.Class)];
  if (takeTask(Queue, To.Queued))
    Items_.erase(Id);
  OnLease(leaseOf(Id, At.index()));
}

dispatch::Waiting *CentralQueue::front() const {
  dispatch::Waiting *Urgent = dispatch::front(Queues_[0]);
  return Urgent ? Urgent : dispatch::front(Queues_[1]);
}

ModelWorker *CentralQueue::pick(std::size_t Centre) {
  ModelWorker *Best = nullptr;
  for (auto &Each : Workers_) {
    if (Each->isFaulty() || isCut(Shared_, Centre, Each->centre()) ||
        Each->busy() + UnderWay_[Each->index()] >= Each->slots())
      continue;
    if (Each->centre() == Centre)
      return Each.get();
    Best = Best ? Best : Each.get();
  }
  return Best;
}

} // namespace geraniumbay::model
