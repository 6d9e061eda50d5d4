//===- jobregister.cpp - Which pool a job goes to -------------------------===//

#include "jobs/internal/jobregister.h"

#include "jobs/internal/poolview.h"
#include "jobs/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace geraniumbay::jobs {

namespace {

/// An owner remembers for so long how a job has ended, and callers that send it
/// again meanwhile are told. None waits as long for a job that runs.
constexpr Duration ClaimLasts = std::chrono::seconds(10);
/// What a lost owner had ends with its lease, see leaseBound().
constexpr Duration LeasesOver = std::chrono::milliseconds(1070);
/// An owner of this data centre that has not reported by then is out of reach.
/// Callers come back after 1.3 s, and what its entries had there before is
/// over.
constexpr Duration NearOver = std::chrono::seconds(3);
/// An owner of another data centre that cannot be asked does not hear this
/// one's entries either: it misses them after OwnerSilence and stops their
/// jobs, and what it cannot stop ends with its lease.
constexpr Duration FarOver = OwnerSilence + LeasesOver;
/// One that does not know yet what runs in its pool is waited for longer.
constexpr Duration NotYetLasts = std::chrono::milliseconds(500);

} // namespace

std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools) {
  return chooseByHash(Pools, [&](const PoolName &Pool) {
    return Pool.value() + "/" + Id.value();
  });
}

JobRegister::JobRegister(FencingToken Token, Time Now)
    : Token_(Token), Since_(Now), NearOverAt_(Now + NearOver),
      FarOverAt_(Now + FarOver) {}

void JobRegister::noteEntriesGone(Time At) {
  NearGoneAt_ = At + LeasesOver;
  FarGoneAt_ = At + FarOver;
}

void JobRegister::noteNotYet(Time Now) {
  NearOverAt_ = std::max(NearOverAt_, Now + NotYetLasts);
  FarOverAt_ = std::max(FarOverAt_, Now + NotYetLasts);
}

void JobRegister::takeReport(const Claimant &By, const std::vector<JobId> &Jobs,
                             Time Now) {
  Reported_.insert(By.Pool);
  for (const JobId &Id : Jobs) {
    auto Known = Claims_.find(Id);
    if (Known == Claims_.end() || (Known->second.By.Pool == By.Pool &&
                                   Known->second.By.Token <= By.Token))
      keep(Id, By, Now);
  }
}

bool JobRegister::haveReported(const std::vector<PoolName> &Pools) const {
  return std::all_of(Pools.begin(), Pools.end(),
                     [&](const PoolName &Each) { return hasReported(Each); });
}

bool JobRegister::completeWith(const std::vector<PoolName> &Near,
                               const std::vector<PoolName> &Far, Time Now) {
  bool NearKnown = Now >= NearOverAt_ || (NearGoneAt_ && Now >= *NearGoneAt_) ||
                   haveReported(Near);
  bool FarKnown = Now >= FarOverAt_ || (FarGoneAt_ && Now >= *FarGoneAt_) ||
                  haveReported(Far);
  bool Before = std::exchange(Complete_, Complete_ || (NearKnown && FarKnown));
  return Complete_ && !Before;
}

ClaimAnswer JobRegister::claim(const JobId &Id, const Claimant &By, Time Now) {
  forgetOld(Now);
  auto Found = Claims_.find(Id);
  if (Found == Claims_.end()) {
    keep(Id, By, Now);
    return {By.Pool, false};
  }
  Claimant Known = Found->second.By;
  if (Known.Pool != By.Pool)
    return {Known.Pool, false};
  if (By.Token >= Known.Token)
    keep(Id, By, Now);
  return {By.Pool, Known.Token != By.Token};
}

void JobRegister::release(const JobId &Id, const Claimant &By) {
  auto Found = Claims_.find(Id);
  if (Found == Claims_.end())
    return;
  const Claimant &Known = Found->second.By;
  if (Known.Pool == By.Pool && Known.Token == By.Token &&
      Known.Question <= By.Question)
    Claims_.erase(Found);
}

void JobRegister::keep(const JobId &Id, const Claimant &By, Time Now) {
  Claims_[Id] = {By, Now};
  Ages_.emplace_back(Now, Id);
}

void JobRegister::forgetOld(Time Now) {
  while (!Ages_.empty() && Now - Ages_.front().first >= ClaimLasts) {
    auto Found = Claims_.find(Ages_.front().second);
    if (Found != Claims_.end() && Found->second.Since == Ages_.front().first)
      Claims_.erase(Found);
    Ages_.pop_front();
  }
}

} // namespace geraniumbay::jobs
