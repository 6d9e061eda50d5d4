//===- poolchoice.cpp - Which pool a job goes to --------------------------===//
//
// By the owners' words about their room. A pool of this data centre goes before
// others, which are asked only where it would make the job wait.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// After so many refusals a job's caller is refused. Each costs a round trip of
/// some milliseconds; an owner knows its room, while entries hear of it a few
/// times a second.
constexpr std::size_t MostRefusals = 2;
/// The way to another data centre and back, with the question whether the
/// owner there is reached. Also what makes a pool of this one worth keeping.
constexpr Duration OtherDataCentre = std::chrono::milliseconds(15);
/// A pool that is not the job's home asks the job's registrar: the median of
/// the way with a question against that without.
constexpr Duration QuestionToRegistrar = std::chrono::milliseconds(6);
/// What a pool in full use costs against an empty one: an even use keeps room
/// for wide jobs everywhere.
constexpr double FullUseMicros = 10'000;
/// Pools of each kind that are weighed: two chosen at random spread the load
/// nearly as well as all, and not all entries rush to the same one.
constexpr std::size_t Weighed = 2;

/// A number that differs from job to job.
std::size_t mixOf(const JobId &Id) { return std::hash<JobId>()(Id); }

const StepSpec &firstStep(const Job &Wanted) {
  return Wanted.Spec.Steps.front();
}

} // namespace

Duration EntryJobs::lossAwayFromData(const Job &Wanted,
                                     const PoolMember &In) const {
  const StepSpec &Step = firstStep(Wanted);
  if (Step.PreferredRack.empty())
    return Duration(0);
  bool Holds =
      poolOfRack(Groups_, In.dataCentre(), Step.PreferredRack) == In.name();
  return Holds ? Duration(0) : Step.Estimate;
}

std::vector<PoolMember *>
EntryJobs::poolsToWeigh(const Job &Wanted, const std::set<PoolName> &Without,
                        PoolMember *Home) const {
  std::vector<PoolMember *> Near;
  std::vector<PoolMember *> Far;
  std::vector<PoolMember *> Result;
  auto MayTake = [&](const PoolMember &In) {
    return In.expectedWait(Wanted) && Without.count(In.name()) == 0 &&
           !isEvacuated(In);
  };
  for (const auto &[Name, In] : Pools_) {
    if (!MayTake(*In))
      continue;
    if (!firstStep(Wanted).PreferredRack.empty() &&
        lossAwayFromData(Wanted, *In).count() == 0)
      Result.push_back(In.get());
    if (!In->isCandidate())
      Far.push_back(In.get());
    else if (In->isOwned())
      Near.push_back(In.get());
  }
  std::size_t Mix = mixOf(Wanted.Id);
  if (Home && MayTake(*Home))
    Result.push_back(Home);
  for (const auto *Group : {&Near, &Far})
    for (std::size_t I = 0; I < std::min(Weighed, Group->size()); ++I) {
      Result.push_back((*Group)[Mix % Group->size()]);
      Mix = Mix / Group->size() + 1;
    }
  return Result;
}

PoolMember *EntryJobs::choosePool(const Job &Wanted,
                                  const std::set<PoolName> &Without) const {
  if (Plan_ == PoolPlan::One)
    return findPool(poolOfAll());
  PoolMember *Best = nullptr;
  Duration Least{0};
  PoolMember *Home = findPool(homeOfJob(Wanted.Id));
  for (PoolMember *In : poolsToWeigh(Wanted, Without, Home)) {
    Duration Cost =
        *In->expectedWait(Wanted) + lossAwayFromData(Wanted, *In) +
        Duration(static_cast<Duration::rep>(FullUseMicros * In->use()));
    if (!In->isCandidate())
      Cost += OtherDataCentre;
    if (Home && In != Home)
      Cost += QuestionToRegistrar;
    if (Best && Cost >= Least)
      continue;
    Best = In;
    Least = Cost;
  }
  return Best;
}

bool EntryJobs::isEvacuated(const PoolMember &In) const {
  return Plan_ != PoolPlan::One && Evacuated_.count(In.dataCentre()) != 0;
}

bool EntryJobs::areAllEvacuated() const {
  return !Evacuated_.empty() &&
         std::all_of(Pools_.begin(), Pools_.end(), [this](const auto &Entry) {
           return isEvacuated(*Entry.second);
         });
}

void EntryJobs::noteRefusedBy(Ask &What, const JobAnswer &Refusal) const {
  What.Refusal = Refusal;
  What.RefusedBy.insert(What.Pool);
  if (!Refusal.Evacuated) {
    ++What.Refusals;
    return;
  }
  What.HasRun = What.HasRun || Refusal.HasRun;
  // The owner knew of an evacuation before this entry.
  const PoolMember *By = findPool(What.Pool);
  for (const auto &[Name, In] : Pools_)
    if (By && In->dataCentre() == By->dataCentre())
      What.RefusedBy.insert(Name);
}

bool EntryJobs::tryElsewhere(const AskPtr &What, const JobAnswer &Refusal) {
  if (Refusal.Outcome != JobOutcome::NotTaken)
    return false;
  bool Enough = !Refusal.Evacuated && What->Refusals >= MostRefusals;
  noteRefusedBy(*What, Refusal);
  if (What->MaybeTaken || Plan_ == PoolPlan::One || Enough)
    return false;
  PoolMember *Next = choosePool(What->Wanted, What->RefusedBy);
  if (!Next)
    return false;
  logEvent(LogLevel::Info, Module, "job_tried_elsewhere",
           {{"job", What->Wanted.Id},
            {"refused_by", What->Pool},
            {"pool", Next->name()},
            {"reason", Refusal.Reason},
            {"age_us", (Needs_.Clock.now() - What->Since).count()}});
  What->Pool = Next->name();
  What->PoolChosen = Needs_.Clock.now();
  What->Registered = false;
  dispatch(What);
  return true;
}

} // namespace geraniumbay::jobs
