//===- modelentry.cpp - A small stand-in for an entry ---------------------===//
//
// Submissions, slots and answers; what happens to a single task stands in
// modeltask.cpp.
//
//===----------------------------------------------------------------------===//

#include "model/internal/modelentry.h"

#include <algorithm>
#include <numeric>

namespace geraniumbay::model {

using dispatch::PoolRequest;
using dispatch::Rejection;
using dispatch::RequestId;

ModelEntry::ModelEntry(World &Shared, ModelWorkers &Workers,
                       CentralQueue *Queue, dispatch::IPoolClient &Client,
                       std::size_t Index)
    : Shared_(Shared), Workers_(Workers), Queue_(Queue), Client_(Client),
      Index_(Index),
      RetryPolicy_(dispatch::retryPolicy(Shared.Deployed.Weight)),
      HedgePolicy_(dispatch::hedgePolicy(Shared.Deployed.Weight)) {}

std::uint64_t ModelEntry::submit(const Submission &What, Reply OnAnswer) {
  auto Added = std::make_shared<Open>();
  Added->Id = ++LastId_;
  Added->What = What;
  Added->OnAnswer = std::move(OnAnswer);
  Added->Left = What.Runs.size();
  Added->ArrivedAt = Shared_.Clock.now();
  for (Duration Run : What.Runs) {
    Added->Tasks.emplace_back().Run = Run;
    dispatch::earn(Budget_, RetryPolicy_);
  }
  Open_[Added->Id] = Added;
  Shared_.Measured.Tasks += What.Runs.size();
  Added->Deadline = Shared_.Timers.after(What.TimeLeft, [this, Added] {
    close(Added,
          {startedAny(*Added) ? Answer::Kind::Failed : Answer::Kind::NotRun});
  });
  std::vector<std::size_t> All(What.Runs.size());
  std::iota(All.begin(), All.end(), 0);
  ask(Added, std::move(All), WorkerId());
  return Added->Id;
}

PoolRequest ModelEntry::requestFor(const Open &Of, std::size_t Tasks) {
  PoolRequest Request;
  Request.Id =
      RequestId(std::to_string(Index_) + "-" + std::to_string(++LastRequest_));
  Request.Service = ServiceId("service");
  Request.Caller = CallerId(std::to_string(Of.What.Caller));
  Request.Team = TeamId(std::to_string(Of.What.Team));
  Request.Class = Of.What.Class;
  Request.Kind = Of.What.Kind;
  Request.Tasks = static_cast<std::uint32_t>(Tasks);
  Request.TimeLeft = std::max<Duration>(
      Of.What.TimeLeft - (Shared_.Clock.now() - Of.ArrivedAt),
      std::chrono::milliseconds(1));
  Request.DeclaredRun = Of.What.Declared;
  Request.Returning = Of.What.Returns > 0;
  // The central queue knows the true run times.
  if (Queue_)
    Request.DeclaredRun =
        std::accumulate(Of.What.Runs.begin(), Of.What.Runs.end(), Duration(0)) /
        Of.What.Runs.size();
  return Request;
}

void ModelEntry::ask(const OpenPtr &Of, std::vector<std::size_t> Which,
                     const WorkerId &Avoid) {
  PoolRequest Request = requestFor(*Of, Which.size());
  Request.Avoid = Avoid;
  Of->Asked.push_back(Request.Id);
  auto Next = std::make_shared<std::size_t>(0);
  Client_.acquire(
      std::move(Request),
      [this, Of, Which = std::move(Which), Next](const dispatch::Lease &Held) {
        onLease(Of, Which[(*Next)++], Held);
      },
      [this, Of](const Rejection &Why) { onReject(Of, Why); });
}

void ModelEntry::onLease(const OpenPtr &Of, std::size_t Index,
                         const dispatch::Lease &Held) {
  if (Of->Closed || Of->Tasks[Index].Done) {
    Shared_.Measured.waste(Waste::UnusedLease);
    Client_.release(Held, dispatch::LeaseOutcome::NotStarted, Duration(0));
    return;
  }
  send(Of, Index, Held);
}

void ModelEntry::onReject(const OpenPtr &Of, const Rejection &Why) {
  if (Of->Closed)
    return;
  // A hedge that got no slot changes nothing.
  for (const Task &Each : Of->Tasks)
    if (Of->Tasks.size() == 1 && !Each.Copies.empty() &&
        !Each.Copies.back()->Ended)
      return;
  if (startedAny(*Of))
    close(Of, {Answer::Kind::Failed});
  else
    close(Of, {Answer::Kind::NotRun, Why.RetryAfter});
}

bool ModelEntry::startedAny(const Open &Of) const {
  return std::any_of(Of.Tasks.begin(), Of.Tasks.end(), [](const Task &Each) {
    return Each.Starts > 0 ||
           std::any_of(Each.Copies.begin(), Each.Copies.end(),
                       [](const auto &Sent) { return !Sent->Ended; });
  });
}

void ModelEntry::close(const OpenPtr &Of, const Answer &What) {
  if (Of->Closed)
    return;
  Of->Closed = true;
  Shared_.Timers.cancel(Of->Deadline);
  Open_.erase(Of->Id);
  for (const RequestId &Id : Of->Asked)
    Client_.cancel(Id);
  for (Task &Each : Of->Tasks)
    stopCopies(Each);
  countTasks(*Of, What.What == Answer::Kind::Complete);
  Of->OnAnswer(What);
}

void ModelEntry::cancel(std::uint64_t Id) {
  auto Found = Open_.find(Id);
  if (Found == Open_.end())
    return;
  OpenPtr Of = Found->second;
  close(Of, {Answer::Kind::Cancelled});
}

void ModelEntry::countTasks(const Open &Of, bool Complete) {
  const Scene &Played = Shared_.Played;
  const Deployment &Deployed = Shared_.Deployed;
  Time From = Shared_.Start + Played.MeasureFrom;
  Time To = Shared_.Start + Played.Length;
  auto Capacity = static_cast<double>((To - From).count()) *
                  static_cast<double>(Deployed.Workers) *
                  Deployed.SlotsPerWorker;
  for (const Task &Each : Of.Tasks) {
    if (Complete && Each.EndedAt >= From && Each.EndedAt < To)
      Shared_.Measured.Goodput +=
          static_cast<double>(Each.Run.count()) / Capacity;
    if (!Complete && Of.What.Kind == dispatch::RequestKind::Job)
      Shared_.Measured.StartedInVain += Each.Starts;
    if (Of.What.Kind != dispatch::RequestKind::RepeatableSingle &&
        Each.Starts > 1)
      Shared_.Measured.DoubleStarts += Each.Starts - 1;
  }
}

} // namespace geraniumbay::model
