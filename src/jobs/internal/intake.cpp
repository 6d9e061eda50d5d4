//===- intake.cpp - Which transient jobs are served -----------------------===//
//
// Brings what the scheduler knows of its workers and of what waits into the
// terms of the scheduling module, and carries out what that decides: a job is
// taken or refused when it comes, and given up once it cannot be of use.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How much of a pool tasks fill when some wait: what is left are gaps smaller
/// than they are. Tasks of 0.42 of a worker fill five sixths of it.
constexpr double UsableShare = 0.85;

std::size_t hashOf(const JobId &Id) { return std::hash<JobId>()(Id); }

/// How many tasks with \p Needs fit beside what runs there.
std::size_t placesLeft(const WorkerSession &On, const Resources &Needs) {
  constexpr std::size_t Unbounded = 64;
  auto Fit = [](std::uint32_t All, std::uint32_t Used, std::uint32_t Each) {
    return Each == 0 ? Unbounded : (All - std::min(All, Used)) / Each;
  };
  const Resources &All = On.Info.Capacity;
  return std::min({Fit(All.CpuMillis, On.Used.CpuMillis, Needs.CpuMillis),
                   Fit(All.MemoryMb, On.Used.MemoryMb, Needs.MemoryMb),
                   Fit(All.Gpus, On.Used.Gpus, Needs.Gpus)});
}

} // namespace

Duration Scheduler::expectedRun(const Job &Of, const StepSpec &Step,
                                Time Now) const {
  static const scheduling::RunTimeModel Nothing;
  auto Found = RunTimes_.find(Of.Queue);
  return scheduling::expectedRun(Found == RunTimes_.end() ? Nothing
                                                          : Found->second,
                                 Step.Estimate, Duration(0), Now);
}

Duration Scheduler::chainOf(const Job &Of, Time Now) const {
  Duration Longest{0};
  std::vector<Duration> EndsAfter;
  for (const StepSpec &Step : Of.Spec.Steps) {
    Duration Begins{0};
    for (std::uint32_t Earlier : Step.DependsOn)
      Begins = std::max(Begins, EndsAfter[Earlier]);
    EndsAfter.push_back(Begins + expectedRun(Of, Step, Now));
    Longest = std::max(Longest, EndsAfter.back());
  }
  return Longest;
}

scheduling::PoolOutlook Scheduler::outlookFor(const Job &New, Time Now) const {
  scheduling::PoolOutlook Result;
  const Resources &Needs = New.Spec.Steps.front().Needs;
  for (const auto &[Id, With] : Sessions_) {
    if (!takesWorkOf(With, New.Service))
      continue;
    double Factor = paceFactorOf(With, Now);
    bool Slow = Factor >= scheduling::SlowFactor;
    if (With.RestUntil <= Now && isTrusted(With) && !Slow)
      Result.Free += placesLeft(With, Needs);
    // What a slow worker runs makes room for nothing in sight.
    if (Slow)
      continue;
    for (const auto &[Task, Each] : With.Runs)
      Result.BusyFor.push_back(
          scheduling::remaining(Each.Expected, Now - Each.Since));
  }
  bool Late = isLate(New.Id);
  for (const auto &[Rank, Task] : Queue_) {
    if (Rank.Priority > New.Priority ||
        (Rank.Priority == New.Priority && Rank.Late && !Late))
      break;
    if (Task.Service == New.Service)
      Result.Ahead.push_back(Task.Estimate);
  }
  return Result;
}

double Scheduler::usableCores(const ServiceId &Service) const {
  double Cores = 0;
  for (const auto &[Id, With] : Sessions_)
    if (takesWorkOf(With, Service))
      Cores += With.Info.Capacity.CpuMillis;
  return Cores * UsableShare;
}

bool Scheduler::knowsWorkersOf(const ServiceId &Service) const {
  bool Any = false;
  for (const auto &[Id, With] : Sessions_) {
    if (With.Info.Service != Service)
      continue;
    if (!With.Known && !With.Silent)
      return false;
    Any = Any || With.Known;
  }
  return Any;
}

bool Scheduler::fitsSomewhere(const Job &Of) const {
  return std::all_of(
      Of.Spec.Steps.begin(), Of.Spec.Steps.end(), [&](const StepSpec &Step) {
        return std::any_of(Sessions_.begin(), Sessions_.end(),
                           [&](const auto &Entry) {
                             const WorkerSession &With = Entry.second;
                             return With.Info.Service == Of.Service &&
                                    isLargeEnough(With, Step.Needs);
                           });
      });
}

bool Scheduler::isLate(const JobId &Id) const {
  auto Found = Waiters_.find(Id);
  return Found != Waiters_.end() && Found->second.Late;
}

scheduling::Waits Scheduler::forecastFor(const Job &New, Time Now) const {
  scheduling::PoolOutlook Pool = outlookFor(New, Now);
  scheduling::JobOutlook Own{initialTaskCount(New.Spec),
                             expectedRun(New, New.Spec.Steps.front(), Now)};
  double Cores = usableCores(New.Service);
  auto WaitBehind = [&](std::uint32_t Priority) {
    Pool.UrgentShare =
        Cores == 0
            ? 0
            : scheduling::busyWithUrgent(Arrivals_, Priority, Now) / Cores;
    return scheduling::waitForLastStart(Pool, Own);
  };
  return {WaitBehind(New.Priority), WaitBehind(New.Priority + 1)};
}

scheduling::Waits Scheduler::correctedFor(std::uint32_t Priority,
                                          const scheduling::Waits &Known,
                                          Time Now) const {
  const scheduling::ForecastSkill &Skill =
      Skills_[scheduling::classOf(Priority)];
  scheduling::Waits Result = Known;
  for (std::optional<Duration> *Each : {&Result.InTurn, &Result.AsLate})
    if (*Each)
      *Each = scheduling::corrected(Skill, **Each, Now);
  return Result;
}

scheduling::Admission
Scheduler::admissionOf(const Job &New, const Waiters &Coming,
                       const scheduling::Waits &Known) const {
  Time Now = Coming.Since;
  scheduling::Waits Forecast = correctedFor(New.Priority, Known, Now);
  scheduling::Admission Decided = scheduling::admit(
      Coming.Useful, Coming.Chain, Forecast, hashOf(New.Id), Now);
  if (Decided.What != scheduling::Verdict::InTime)
    logEvent(LogLevel::Info, Module, "job_not_in_time",
             {{"job", New.Id},
              {"verdict", scheduling::verdictName(Decided.What)},
              {"priority", New.Priority},
              {"chain_us", Coming.Chain.count()},
              {"age_us", Coming.Age.count()},
              {"laxity_us",
               (Coming.Useful.InTimeUntil - Now - Coming.Chain).count()},
              {"wait_us", Forecast.InTurn ? Forecast.InTurn->count() : -1},
              {"wait_late_us", Forecast.AsLate ? Forecast.AsLate->count() : -1},
              {"waiting_tasks", Queue_.size()},
              {"retry_us", Decided.RetryAfter.count()}});
  return Decided;
}

void Scheduler::noteFirstStart(const JobId &Id, Time Now) {
  auto Found = Waiters_.find(Id);
  if (Found == Waiters_.end() || Found->second.NotStarted == 0)
    return;
  Waiters &Job = Found->second;
  const jobs::Job *Of = findJob(Transient_, Id);
  if (--Job.NotStarted == 0 && Job.Forecast && Of)
    scheduling::learnForecast(Skills_[scheduling::classOf(Of->Priority)],
                              *Job.Forecast, Now - Job.Since, Now);
}

void Scheduler::noteTaken(const Job &New, Time Now) {
  for (const StepSpec &Step : New.Spec.Steps) {
    Duration All = expectedRun(New, Step, Now) * Step.Count;
    scheduling::noteArrival(Arrivals_, New.Priority,
                            scheduling::workOf(Step.Needs.CpuMillis, All), Now);
  }
}

void Scheduler::noteRan(WorkerSession &On, const TaskId &Task,
                        const TookTime &Times) {
  const Job *Of = jobOf(Task.Job);
  if (!Of || Task.Step >= Of->Spec.Steps.size())
    return;
  Time Now = Needs_.Clock.now();
  bool Slow = paceFactorOf(On, Now) >= scheduling::SlowFactor;
  scheduling::learnPace(On.Pace, Times.Expected, Times.Took, Now);
  // A slow worker says little about the queue's tasks; but where all are slow,
  // the queue's tasks are long.
  Duration Took = Slow ? std::min(Times.Took, Times.Expected * 2) : Times.Took;
  scheduling::learnRun(RunTimes_[Of->Queue], Of->Spec.Steps[Task.Step].Estimate,
                       Took, Now);
}

bool Scheduler::isStale(const Waiters &Job, Time Now) {
  return Now >= Job.Since - Job.Age + BeforeCallersReturn;
}

bool Scheduler::isHopeless(const Waiters &Job, Time Now) {
  if (isStale(Job, Now))
    return true;
  if (Job.Late)
    return !scheduling::canBeOfUse(Job.Useful, Job.Chain, Now);
  return !scheduling::canBeInTime(Job.Useful, Job.Chain, Now);
}

void Scheduler::giveUpLate(Time Now) {
  std::vector<JobId> Hopeless;
  for (const auto &[Id, Job] : Waiters_) {
    const jobs::Job *Of = findJob(Transient_, Id);
    bool TooLarge = Of && knowsWorkersOf(Of->Service) && !fitsSomewhere(*Of);
    if ((isHopeless(Job, Now) || TooLarge) && !hasBegun(Id))
      Hopeless.push_back(Id);
  }
  for (const JobId &Id : Hopeless)
    reconsider(Id, Now);
}

void Scheduler::reconsider(const JobId &Id, Time Now) {
  const Job *Of = findJob(Transient_, Id);
  auto Found = Waiters_.find(Id);
  if (!Of || Found == Waiters_.end())
    return;
  Waiters &Job = Found->second;
  // It has waited in vain for as long as it could.
  if (Job.Forecast)
    scheduling::learnForecast(Skills_[scheduling::classOf(Of->Priority)],
                              *std::exchange(Job.Forecast, std::nullopt),
                              Now - Job.Since, Now);
  scheduling::Waits Forecast =
      correctedFor(Of->Priority, forecastFor(*Of, Now), Now);
  // Its turn is over.
  Forecast.InTurn.reset();
  scheduling::Admission Decided =
      scheduling::admit(Job.Useful, Job.Chain, Forecast, hashOf(Id), Now);
  if (Decided.What == scheduling::Verdict::Refused || Job.Late ||
      isStale(Job, Now)) {
    constexpr const char *Reason = "no worker was free in time";
    noteRefusal(Id, refusalOf(Reason, Decided.RetryAfter));
    return cancelTransient(Id, Reason, Decided.RetryAfter);
  }
  Job.Late = true;
  forgetWaiting(Id);
  enqueueReady(*Of);
}

} // namespace geraniumbay::jobs
