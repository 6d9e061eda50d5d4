//===- coordinator.cpp - All submissions of this entry --------------------===//
//
// One runner for each submission, and the callers that wait for it.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/coordinator.h"

namespace geraniumbay::entry {

WaiterHandle Coordinator::submit(const Submission &Request, const Span &Root,
                                 Waiter Done) {
  WaiterHandle Who{Request.Id, ++LastWaiter_};
  auto Found = Active_.find(Request.Id);
  if (Found != Active_.end()) {
    if (Found->second.Digest != Request.Digest)
      replyLater(std::move(Done), notRun(FailureReason::KeyReused,
                                         "the key belongs to another request"));
    else
      Found->second.Waiters.emplace(Who.Number, std::move(Done));
    return Who;
  }
  Active &Fresh = Active_[Request.Id];
  Fresh.Digest = Request.Digest;
  Fresh.Waiters.emplace(Who.Number, std::move(Done));
  Fresh.Running = std::make_shared<Runner>(
      Services_,
      [this, Id = Request.Id](const Result &Answer) { finished(Id, Answer); });
  std::shared_ptr<Runner> Running = Fresh.Running;
  Running->start(Request, Root);
  return Who;
}

void Coordinator::abandon(const WaiterHandle &Who) {
  auto Found = Active_.find(Who.Submission);
  if (Found == Active_.end() || Found->second.Waiters.erase(Who.Number) == 0)
    return;
  if (!Found->second.Waiters.empty())
    return;
  std::shared_ptr<Runner> Running = Found->second.Running;
  Running->abandon();
}

bool Coordinator::cancel(const SubmissionId &Id) {
  auto Found = Active_.find(Id);
  if (Found == Active_.end())
    return false;
  std::shared_ptr<Runner> Running = Found->second.Running;
  Running->cancel();
  return true;
}

void Coordinator::replyLater(Waiter Done, Result Answer) {
  Services_.Timers.after(
      Duration::zero(),
      [Done = std::move(Done), Answer = std::move(Answer)] { Done(Answer); });
}

void Coordinator::finished(const SubmissionId &Id, const Result &Answer) {
  auto Found = Active_.find(Id);
  std::map<std::uint64_t, Waiter> Waiters = std::move(Found->second.Waiters);
  Active_.erase(Found);
  for (auto &Entry : Waiters)
    Entry.second(Answer);
}

} // namespace geraniumbay::entry
