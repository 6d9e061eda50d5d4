//===- poolclientupkeep.cpp - Keeping owners informed ---------------------===//
//
// Releases, cancellations and renewals of the pool client.
//
//===----------------------------------------------------------------------===//

#include "dispatch/internal/poolclient.h"

namespace geraniumbay::dispatch {
namespace {

constexpr Duration CallTimeout = std::chrono::milliseconds(500);
constexpr Duration RenewEvery = std::chrono::seconds(1);
/// An owner is renewed for so long after the last request, so that it learns
/// of leases that never arrived.
constexpr Duration RenewIdleFor = std::chrono::seconds(10);
constexpr Duration ReleaseRetry = std::chrono::milliseconds(100);
/// Tries of one release; after them the renewal tells the owner.
constexpr int ReleaseTries = 3;
/// Renewals that must fail in a row before an owner counts as lost.
constexpr std::uint32_t LostAfter = 2;
constexpr Duration LostRetry = std::chrono::seconds(1);

} // namespace

void PoolClient::release(const Lease &Held, LeaseOutcome Outcome,
                         Duration Ran) {
  OwnerState &Owner = Owners_[Held.Owner];
  if (Owner.Held.erase(Held.Id) == 0)
    return;
  Owner.Releases.push_back({Held.Id, Outcome, Ran});
  if (Flush_ == TimerId())
    Flush_ = Timers_.after(Duration(0), [this] { flushReleases(); });
}

void PoolClient::flushReleases() {
  Flush_ = TimerId();
  for (auto &[Id, Owner] : Owners_) {
    std::vector<ReleaseItem> Items = std::move(Owner.Releases);
    Owner.Releases.clear();
    if (!Items.empty())
      sendReleases(Id, std::move(Items), ReleaseTries);
  }
}

void PoolClient::sendReleases(const VmId &Owner, std::vector<ReleaseItem> Items,
                              int TriesLeft) {
  auto Found = Owners_.find(Owner);
  if (Found == Owners_.end() || TriesLeft == 0)
    return;
  Json::Value Params = writeRelease(Items);
  Client_.call(
      Found->second.Address, "pool.release", std::move(Params), CallTimeout,
      guarded([this, Owner, Items = std::move(Items),
               TriesLeft](const Outcome<Json::Value> &Reply) {
        if (Reply.ok())
          return;
        Timers_.after(ReleaseRetry, guarded([this, Owner, Items, TriesLeft] {
                        sendReleases(Owner, Items, TriesLeft - 1);
                      }));
      }));
}

void PoolClient::sendCancel(const RequestId &Id, const VmId &Owner) {
  auto Found = Owners_.find(Owner);
  if (Found == Owners_.end())
    return;
  // An owner that misses it learns of it by the next pool.renew.
  Client_.call(Found->second.Address, "pool.cancel", writeCancel(Id),
               CallTimeout, [](const Outcome<Json::Value> &) {});
}

void PoolClient::forgetPart(const RequestId &Id, const VmId &Owner) {
  auto Found = Owners_.find(Owner);
  if (Found != Owners_.end())
    Found->second.Waiting.erase(Id);
}

void PoolClient::renewAll() {
  Sent_.clear();
  std::erase_if(Owners_, [Now = Clock_.now()](const auto &Each) {
    return Each.second.Held.empty() && Each.second.Waiting.empty() &&
           Each.second.Releases.empty() &&
           Now - Each.second.AskedAt > RenewIdleFor;
  });
  std::vector<VmId> Ids;
  Ids.reserve(Owners_.size());
  for (const auto &[Id, Owner] : Owners_)
    Ids.push_back(Id);
  for (const VmId &Id : Ids)
    renewAt(Id);
  Renew_ = Timers_.after(RenewEvery, [this] { renewAll(); });
}

void PoolClient::renewAt(const VmId &Owner) {
  const OwnerState &State = Owners_.at(Owner);
  RenewMessage Message{Directory_.self(),
                       {State.Waiting.begin(), State.Waiting.end()},
                       {State.Held.begin(), State.Held.end()}};
  Client_.call(State.Address, "pool.renew", writeRenew(Message), CallTimeout,
               guarded([this, Owner](const Outcome<Json::Value> &Reply) {
                 renewAnswered(Owner, Reply);
               }));
}

void PoolClient::renewAnswered(const VmId &Owner,
                               const Outcome<Json::Value> &Reply) {
  auto Found = Owners_.find(Owner);
  if (Found == Owners_.end())
    return;
  if (!Reply.ok()) {
    if (++Found->second.Failures >= LostAfter)
      ownerLost(Owner);
    return;
  }
  Found->second.Failures = 0;
  auto Unknown =
      attempt([&] { return readRequestIds(*Reply, "unknown_requests"); });
  if (!Unknown.ok())
    return;
  for (const RequestId &Id : *Unknown) {
    auto Of = Pending_.find(Id);
    if (Of == Pending_.end() || !Of->second.Parts.contains(Owner))
      continue;
    // The first time, its leases may be in a message under way.
    if (++Of->second.Parts[Owner].Unknown > 1)
      partFailed(Id, Owner, {RejectReason::Lost, LostRetry});
  }
}

void PoolClient::ownerLost(const VmId &Owner) {
  std::set<RequestId> Waiting = Owners_.at(Owner).Waiting;
  for (const RequestId &Id : Waiting)
    partFailed(Id, Owner, {RejectReason::Lost, LostRetry});
}

} // namespace geraniumbay::dispatch
