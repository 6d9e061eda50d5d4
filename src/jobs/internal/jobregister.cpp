//===- jobregister.cpp - Which pool a job goes to -------------------------===//

#include "jobs/internal/jobregister.h"

#include "jobs/internal/rendezvous.h"

namespace geraniumbay::jobs {

namespace {

/// A claim counts for so long. Nothing of a job begins later than 1.1 s after
/// its caller sent it, and callers whose connection went silent come back after
/// 1.3 s: within this time they reach the run that goes on for them.
constexpr Duration ClaimLasts = std::chrono::seconds(3);

} // namespace

std::optional<PoolName> homeOf(const JobId &Id,
                               const std::vector<PoolName> &Pools) {
  return chooseByHash(Pools, [&](const PoolName &Pool) {
    return Pool.value() + "/" + Id.value();
  });
}

PoolName JobRegister::claim(const JobId &Id, const WaiterId &By,
                            const PoolName &Wanted,
                            const std::set<PoolName> &RefusedBy, Time Now) {
  forgetOld(Now);
  auto [Found, New] = Claims_.try_emplace(Id, Claim{Wanted, By, false, Now});
  Claim &Known = Found->second;
  if (New) {
    Ages_.emplace_back(Now, Id);
    return Wanted;
  }
  Known.Shared = Known.Shared || !(Known.By == By);
  if (!Known.Shared || RefusedBy.count(Known.Pool) != 0)
    Known.Pool = Wanted;
  return Known.Pool;
}

void JobRegister::release(const JobId &Id, const WaiterId &By) {
  auto Found = Claims_.find(Id);
  if (Found != Claims_.end() && !Found->second.Shared && Found->second.By == By)
    Claims_.erase(Found);
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
