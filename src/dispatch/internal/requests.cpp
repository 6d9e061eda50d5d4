//===- requests.cpp - Requests that wait ----------------------------------===//
//
// Bookkeeping of waiting requests and of the entries that sent them.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/requests.h"

#include "dispatch/internal/leases.h"

namespace geraniumbay::dispatch {
namespace {

FairQueue &queueOf(ServiceState &Service, const Waiting &Request) {
  return Service.Queues[static_cast<std::size_t>(Request.Request.Class)];
}

Time latestStart(const Waiting &Request) {
  return Request.Deadline - Request.TaskRun;
}

/// Small requests go before large ones of the same team that arrived a little
/// earlier: the last task of a small job is done soon, and a large one hardly
/// notices. What has waited long enough goes first whatever its size.
Time rankOf(const PoolPolicy &Policy, const Waiting &Request) {
  auto Work =
      static_cast<double>((Request.TaskRun * Request.TasksLeft).count());
  return Request.Arrived +
         Duration(static_cast<Duration::rep>(Work * Policy.SizeRank));
}

/// Removes the request from all orders but the queue's.
void forgetRequest(PoolState &Pool, ServiceState &Service, Waiting &Request) {
  if (Request.Deadline != Time::max())
    Pool.ByLatestStart.erase({latestStart(Request), Request.Sequence});
  Pool.BySequence.erase(Request.Sequence);
  Service.Repeatable.erase(Request.Sequence);
  auto Sender = Pool.Entries.find(Request.From.Entry);
  if (Sender != Pool.Entries.end())
    Sender->second.Requests.erase(Request.Request.Id);
  RequestId Id = Request.Request.Id;
  Pool.Requests.erase(Id);
}

} // namespace

void addRequest(PoolState &Pool, ServiceState &Service, const EntryRef &From,
                const PoolRequest &Request, Duration TaskRun, Time Now) {
  Waiting &Added = Pool.Requests[Request.Id];
  Added.Request = Request;
  Added.From = From;
  Added.Sequence = ++Pool.LastSequence;
  Added.Arrived = Now;
  Added.TasksLeft = Request.Tasks;
  Added.TaskRun = TaskRun;
  Added.Rank = rankOf(Pool.Policy, Added);
  if (Request.TimeLeft > Duration(0)) {
    Added.Deadline = Now + Request.TimeLeft;
    Pool.ByLatestStart.emplace(latestStart(Added), Added.Sequence);
  }
  Pool.BySequence.emplace(Added.Sequence, &Added);
  if (Request.Kind == RequestKind::RepeatableSingle)
    Service.Repeatable.emplace(Added.Sequence, &Added);
  Pool.Entries[From.Entry].Requests.insert(Request.Id);
  push(queueOf(Service, Added), Added, teamPolicy(Pool, Request.Team).Weight);
  updateQuota(Pool, Service, Request.Team);
}

void takeTask(PoolState &Pool, ServiceState &Service, Waiting &Request) {
  FairQueue &Queue = queueOf(Service, Request);
  if (takeTask(Queue, Request))
    forgetRequest(Pool, Service, Request);
  else if (Pool.Policy.RankByRemaining)
    setRank(Queue, Request, rankOf(Pool.Policy, Request));
}

void dropRequest(PoolState &Pool, Waiting &Request) {
  ServiceState &Service = Pool.Services.at(Request.Request.Service);
  erase(queueOf(Service, Request), Request);
  forgetRequest(Pool, Service, Request);
}

EntryState *touchEntry(PoolState &Pool, const EntryRef &From) {
  auto [Found, Fresh] = Pool.Entries.try_emplace(From.Entry);
  EntryState &State = Found->second;
  if (!Fresh && From.Start < State.Start)
    return nullptr;
  if (!Fresh && From.Start > State.Start)
    dropEntry(Pool, State);
  State.Start = From.Start;
  return &State;
}

void dropEntry(PoolState &Pool, EntryState &State) {
  std::unordered_set<RequestId> Requests = State.Requests;
  for (const RequestId &Id : Requests)
    dropRequest(Pool, Pool.Requests.at(Id));
  for (LeaseId Id : State.Leases)
    makeOrphan(Pool, Id);
}

} // namespace geraniumbay::dispatch
