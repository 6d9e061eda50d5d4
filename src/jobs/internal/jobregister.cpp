//===- jobregister.cpp - Which pool runs a job ----------------------------===//

#include "jobs/internal/jobregister.h"

#include "jobs/internal/poolview.h"
#include "jobs/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace geraniumbay::jobs {

namespace {

/// For this long an owner remembers how a job has ended, and answers callers
/// that send it again. No caller waits this long for a running job.
constexpr Duration ClaimLifetime = std::chrono::seconds(10);
/// The runs of a lost owner end with its lease, see leaseBound().
constexpr Duration MaxLeaseTime = std::chrono::milliseconds(1070);
/// An owner of this data centre that has not reported by then is unreachable.
/// Callers send their jobs again after 1.3 s, and what its entries had there
/// before has ended.
constexpr Duration NearReportTimeout = std::chrono::seconds(3);
/// An owner of another data centre that cannot be asked does not hear this
/// one's entries either: it misses them after OriginTimeout and stops their
/// jobs, and what it cannot stop ends with its lease.
constexpr Duration FarReportTimeout = OriginTimeout + MaxLeaseTime;
/// The additional wait for an owner that does not yet know what runs in its
/// pool.
constexpr Duration NotReadyExtension = std::chrono::milliseconds(500);

} // namespace

std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools) {
  return chooseByHash(Pools, [&](const PoolName &Pool) {
    return Pool.value() + "/" + Id.value();
  });
}

JobRegister::JobRegister(FencingToken Token, Time Now)
    : Token_(Token), Since_(Now), NearDeadline_(Now + NearReportTimeout),
      FarDeadline_(Now + FarReportTimeout) {}

void JobRegister::noteEntriesEnded(Time At) {
  NearEndedBy_ = At + MaxLeaseTime;
  FarEndedBy_ = At + FarReportTimeout;
}

void JobRegister::noteNotReady(Time Now) {
  NearDeadline_ = std::max(NearDeadline_, Now + NotReadyExtension);
  FarDeadline_ = std::max(FarDeadline_, Now + NotReadyExtension);
}

void JobRegister::applyReport(const Claimant &Owner,
                              const std::vector<JobId> &Jobs, Time Now) {
  Reported_[Owner.Pool] = Owner.Token;
  for (const JobId &Id : Jobs) {
    auto Known = Claims_.find(Id);
    if (Known == Claims_.end())
      store(Id, {Owner, Now, false});
    else if (Known->second.Owner.Pool == Owner.Pool &&
             Known->second.Owner.Token <= Owner.Token)
      store(Id, {Owner, Now, Known->second.HadOtherOwner});
  }
}

void JobRegister::noteOwner(const PoolName &Pool, FencingToken Token) {
  auto Found = Reported_.find(Pool);
  if (!Complete_ && Found != Reported_.end() && Found->second < Token)
    Reported_.erase(Found);
}

bool JobRegister::haveReported(const std::vector<PoolName> &Pools) const {
  return std::all_of(Pools.begin(), Pools.end(),
                     [&](const PoolName &Each) { return hasReported(Each); });
}

bool JobRegister::updateCompleteness(const std::vector<PoolName> &Near,
                                     const std::vector<PoolName> &Far,
                                     Time Now) {
  bool NearKnown = Now >= NearDeadline_ ||
                   (NearEndedBy_ && Now >= *NearEndedBy_) || haveReported(Near);
  bool FarKnown = Now >= FarDeadline_ || (FarEndedBy_ && Now >= *FarEndedBy_) ||
                  haveReported(Far);
  bool Before = std::exchange(Complete_, Complete_ || (NearKnown && FarKnown));
  return Complete_ && !Before;
}

ClaimAnswer JobRegister::claim(const JobId &Id, const Claimant &Owner,
                               Time Now) {
  removeExpired(Now);
  auto Found = Claims_.find(Id);
  if (Found == Claims_.end()) {
    store(Id, {Owner, Now, false});
    return {Owner.Pool, false};
  }
  const Claim Current = Found->second;
  if (Current.Owner.Pool != Owner.Pool)
    return {Current.Owner.Pool, false};
  // An owner that did not take the job after its first claim is told again.
  bool HadOtherOwner =
      Current.HadOtherOwner || Current.Owner.Token != Owner.Token;
  if (Owner.Token >= Current.Owner.Token)
    store(Id, {Owner, Now, HadOtherOwner});
  return {Owner.Pool, HadOtherOwner};
}

void JobRegister::release(const JobId &Id, const Claimant &Owner) {
  auto Found = Claims_.find(Id);
  if (Found == Claims_.end())
    return;
  const Claimant &Current = Found->second.Owner;
  if (Current.Pool == Owner.Pool && Current.Token == Owner.Token &&
      Current.Question <= Owner.Question)
    Claims_.erase(Found);
}

void JobRegister::store(const JobId &Id, const Claim &Agreed) {
  Claims_[Id] = Agreed;
  ClaimsByAge_.emplace_back(Agreed.Since, Id);
}

void JobRegister::removeExpired(Time Now) {
  while (!ClaimsByAge_.empty() &&
         Now - ClaimsByAge_.front().first >= ClaimLifetime) {
    auto Found = Claims_.find(ClaimsByAge_.front().second);
    if (Found != Claims_.end() &&
        Found->second.Since == ClaimsByAge_.front().first)
      Claims_.erase(Found);
    ClaimsByAge_.pop_front();
  }
}

} // namespace geraniumbay::jobs
