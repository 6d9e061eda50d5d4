//===- poolchoice.cpp - Choice of a pool for a job ------------------------===//
//
// Chooses by the free capacity that owners report. Pools of this data centre
// are preferred; others are chosen only if the job would have to wait here.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// A refusal after this many earlier ones is passed on to the caller. Each
/// costs a round trip of some milliseconds. Refusals occur since an owner knows
/// its current free capacity, while entries hear of it a few times a second.
constexpr std::size_t MaxRefusals = 2;
/// The round trip to another data centre, including the ping that shows whether
/// the owner there can be reached. It also makes local pools preferred.
constexpr Duration OtherDataCentreCost = std::chrono::milliseconds(15);
/// A pool that is not the job's home has to ask the job's registrar: the
/// difference of the median delays with and without that query.
constexpr Duration RegistrarQueryCost = std::chrono::milliseconds(6);
/// The extra cost of a fully used pool over an empty one: even use leaves free
/// capacity for jobs with many tasks in every pool.
constexpr double FullUseCostMicros = 10'000;
/// How many pools of each group (local and other) are compared: two random
/// choices spread the load nearly as well as comparing all, and keep entries
/// from all choosing the same pool.
constexpr std::size_t PoolsPerGroup = 2;

/// A pseudo-random number for the choice of pools, fixed for each job.
std::size_t hashOf(const JobId &Id) { return std::hash<JobId>()(Id); }

const StepSpec &firstStep(const Job &Wanted) {
  return Wanted.Spec.Steps.front();
}

} // namespace

Duration EntryJobs::costAwayFromData(const Job &Wanted,
                                     const PoolMember &Pool) const {
  const StepSpec &Step = firstStep(Wanted);
  if (Step.PreferredRack.empty())
    return Duration(0);
  bool Holds =
      poolOfRack(Groups_, Pool.dataCentre(), Step.PreferredRack) == Pool.name();
  return Holds ? Duration(0) : Step.Estimate;
}

std::vector<PoolMember *>
EntryJobs::poolsToCompare(const Job &Wanted, const std::set<PoolName> &Excluded,
                          PoolMember *Home) const {
  std::vector<PoolMember *> Near;
  std::vector<PoolMember *> Far;
  std::vector<PoolMember *> Result;
  auto MayTake = [&](const PoolMember &Pool) {
    return Pool.expectedWait(Wanted) && Excluded.count(Pool.name()) == 0 &&
           !isEvacuated(Pool);
  };
  for (const auto &[Name, Pool] : Pools_) {
    if (!MayTake(*Pool))
      continue;
    if (!firstStep(Wanted).PreferredRack.empty() &&
        costAwayFromData(Wanted, *Pool).count() == 0)
      Result.push_back(Pool.get());
    if (!Pool->isCandidate())
      Far.push_back(Pool.get());
    else if (Pool->isOwned())
      Near.push_back(Pool.get());
  }
  std::size_t Mix = hashOf(Wanted.Id);
  if (Home && MayTake(*Home))
    Result.push_back(Home);
  for (const auto *Group : {&Near, &Far})
    for (std::size_t I = 0; I < std::min(PoolsPerGroup, Group->size()); ++I) {
      Result.push_back((*Group)[Mix % Group->size()]);
      Mix = Mix / Group->size() + 1;
    }
  return Result;
}

PoolMember *EntryJobs::choosePool(const Job &Wanted,
                                  const std::set<PoolName> &Excluded) const {
  if (Plan_ == PoolPlan::One)
    return findPool(poolOfAll());
  PoolMember *Best = nullptr;
  Duration LowestCost{0};
  PoolMember *Home = findPool(homeOfJob(Wanted.Id));
  for (PoolMember *Pool : poolsToCompare(Wanted, Excluded, Home)) {
    Duration Cost =
        *Pool->expectedWait(Wanted) + costAwayFromData(Wanted, *Pool) +
        Duration(static_cast<Duration::rep>(FullUseCostMicros * Pool->use()));
    if (!Pool->isCandidate())
      Cost += OtherDataCentreCost;
    if (Home && Pool != Home)
      Cost += RegistrarQueryCost;
    if (Best && Cost >= LowestCost)
      continue;
    Best = Pool;
    LowestCost = Cost;
  }
  return Best;
}

bool EntryJobs::isEvacuated(const PoolMember &Pool) const {
  return Plan_ != PoolPlan::One && Evacuated_.count(Pool.dataCentre()) != 0;
}

bool EntryJobs::areAllEvacuated() const {
  return !Evacuated_.empty() &&
         std::all_of(Pools_.begin(), Pools_.end(), [this](const auto &Entry) {
           return isEvacuated(*Entry.second);
         });
}

void EntryJobs::recordRefusal(PendingRequest &Request,
                              const JobAnswer &Refusal) const {
  Request.Refusal = Refusal;
  Request.RefusedBy.insert(Request.Pool);
  if (!Refusal.Evacuated) {
    ++Request.Refusals;
    return;
  }
  Request.HasRun = Request.HasRun || Refusal.HasRun;
  // The owner learned of the evacuation before this entry did.
  const PoolMember *Refuser = findPool(Request.Pool);
  for (const auto &[Name, Pool] : Pools_)
    if (Refuser && Pool->dataCentre() == Refuser->dataCentre())
      Request.RefusedBy.insert(Name);
}

bool EntryJobs::tryAnotherPool(const PendingRequestPtr &Request,
                               const JobAnswer &Refusal) {
  if (Refusal.Outcome != JobOutcome::NotTaken)
    return false;
  bool Enough = !Refusal.Evacuated && Request->Refusals >= MaxRefusals;
  recordRefusal(*Request, Refusal);
  if (Request->MaybeTaken || Plan_ == PoolPlan::One || Enough)
    return false;
  PoolMember *Next = choosePool(Request->Wanted, Request->RefusedBy);
  if (!Next)
    return false;
  logEvent(LogLevel::Info, Module, "job_tried_elsewhere",
           {{"job", Request->Wanted.Id},
            {"refused_by", Request->Pool},
            {"pool", Next->name()},
            {"reason", Refusal.Reason},
            {"age_us", (Deps_.Clock.now() - Request->ReceivedAt).count()}});
  Request->Pool = Next->name();
  Request->PoolChosen = Deps_.Clock.now();
  Request->Registered = false;
  dispatch(Request);
  return true;
}

} // namespace geraniumbay::jobs
