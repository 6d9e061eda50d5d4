//===- fairqueue.cpp - Weighted fair queue of requests --------------------===//
//
// Start-time fair queueing over teams.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/fairqueue.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay::dispatch {
namespace {

void unlist(FairQueue &Queue, TeamFlow &Flow) {
  if (!Flow.IsListed)
    return;
  Queue.Listed.erase({Flow.VirtualStart, Flow.Order});
  Queue.ListedWeight -= Flow.Weight;
  Flow.IsListed = false;
}

void list(FairQueue &Queue, TeamFlow &Flow) {
  if (Flow.IsListed || Flow.Parked || Flow.Requests.empty())
    return;
  Queue.Listed.emplace(FairQueue::Key{Flow.VirtualStart, Flow.Order}, &Flow);
  Queue.ListedWeight += Flow.Weight;
  Flow.IsListed = true;
}

TeamFlow &flowOf(FairQueue &Queue, const TeamId &Team) {
  auto [Found, Fresh] = Queue.Flows.try_emplace(Team);
  if (Fresh)
    Found->second.Order = Queue.Flows.size();
  return Found->second;
}

void removeWork(FairQueue &Queue, TeamFlow &Flow, Waiting &Request,
                std::uint32_t Tasks) {
  Duration Work = Request.TaskRun * Tasks;
  Flow.Work -= Work;
  Queue.Work -= Work;
  Queue.Tasks -= Tasks;
  Request.TasksLeft -= Tasks;
}

double cost(const Waiting &Request, const TeamFlow &Flow) {
  return static_cast<double>(Request.TaskRun.count()) / Flow.Weight;
}

} // namespace

void push(FairQueue &Queue, Waiting &Request, double Weight) {
  assert(Request.TasksLeft > 0 && "a request without tasks");
  TeamFlow &Flow = flowOf(Queue, Request.Request.Team);
  if (Flow.Requests.empty()) {
    Flow.Weight = Weight;
    Flow.VirtualStart = std::max(Flow.VirtualStart, Queue.VirtualNow);
  }
  Flow.Requests.emplace(std::pair(Request.Rank, Request.Sequence), &Request);
  Duration Work = Request.TaskRun * Request.TasksLeft;
  Flow.Work += Work;
  Queue.Work += Work;
  Queue.Tasks += Request.TasksLeft;
  list(Queue, Flow);
}

Waiting *front(const FairQueue &Queue) {
  if (Queue.Listed.empty())
    return nullptr;
  return Queue.Listed.begin()->second->Requests.begin()->second;
}

bool takeTask(FairQueue &Queue, Waiting &Request) {
  TeamFlow &Flow = flowOf(Queue, Request.Request.Team);
  // A probe may take a task out of turn; virtual time does not follow it.
  if (!Queue.Listed.empty() && Queue.Listed.begin()->second == &Flow)
    Queue.VirtualNow = std::max(Queue.VirtualNow, Flow.VirtualStart);
  unlist(Queue, Flow);
  Flow.VirtualStart += cost(Request, Flow);
  removeWork(Queue, Flow, Request, 1);
  bool Last = Request.TasksLeft == 0;
  if (Last)
    Flow.Requests.erase({Request.Rank, Request.Sequence});
  list(Queue, Flow);
  return Last;
}

void setRank(FairQueue &Queue, Waiting &Request, Time Rank) {
  TeamFlow &Flow = flowOf(Queue, Request.Request.Team);
  Flow.Requests.erase({Request.Rank, Request.Sequence});
  Request.Rank = Rank;
  Flow.Requests.emplace(std::pair(Rank, Request.Sequence), &Request);
}

void erase(FairQueue &Queue, Waiting &Request) {
  TeamFlow &Flow = flowOf(Queue, Request.Request.Team);
  if (Flow.Requests.erase({Request.Rank, Request.Sequence}) == 0)
    return;
  removeWork(Queue, Flow, Request, Request.TasksLeft);
  if (Flow.Requests.empty())
    unlist(Queue, Flow);
}

void setParked(FairQueue &Queue, const TeamId &Team, bool Parked) {
  auto Found = Queue.Flows.find(Team);
  if (Found == Queue.Flows.end() || Found->second.Parked == Parked)
    return;
  TeamFlow &Flow = Found->second;
  Flow.Parked = Parked;
  if (Parked) {
    unlist(Queue, Flow);
    return;
  }
  Flow.VirtualStart = std::max(Flow.VirtualStart, Queue.VirtualNow);
  list(Queue, Flow);
}

Duration teamWork(const FairQueue &Queue, const TeamId &Team) {
  auto Found = Queue.Flows.find(Team);
  return Found == Queue.Flows.end() ? Duration(0) : Found->second.Work;
}

} // namespace geraniumbay::dispatch
