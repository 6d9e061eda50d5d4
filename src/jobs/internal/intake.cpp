//===- intake.cpp - Admission of transient jobs ---------------------------===//
//
// Describes the workers and the queue in the terms of the scheduling module and
// carries out its decisions: a job is accepted or refused on arrival, and given
// up once its result cannot be useful any more.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// The share of a pool's capacity that is in use while tasks wait; the rest is
/// lost to gaps smaller than a task. Tasks of 0.42 of a worker fill five
/// sixths.
constexpr double UsableShare = 0.85;

std::size_t hashOf(const JobId &Id) { return std::hash<JobId>()(Id); }

/// How many more tasks with \p Needs fit on the worker beside its runs.
std::size_t freePlaces(const WorkerSession &Session, const Resources &Needs) {
  constexpr std::size_t Unbounded = 64;
  auto Fit = [](std::uint32_t All, std::uint32_t Used, std::uint32_t Each) {
    return Each == 0 ? Unbounded : (All - std::min(All, Used)) / Each;
  };
  const Resources &All = Session.Info.Capacity;
  return std::min({Fit(All.CpuMillis, Session.Used.CpuMillis, Needs.CpuMillis),
                   Fit(All.MemoryMb, Session.Used.MemoryMb, Needs.MemoryMb),
                   Fit(All.Gpus, Session.Used.Gpus, Needs.Gpus)});
}

} // namespace

Duration Scheduler::expectedRun(const Job &JobRecord, const StepSpec &Step,
                                Time Now) const {
  static const scheduling::RunTimeModel Nothing;
  auto Found = RunTimes_.find(JobRecord.Queue);
  return scheduling::expectedRun(Found == RunTimes_.end() ? Nothing
                                                          : Found->second,
                                 Step.Estimate, Duration(0), Now);
}

Duration Scheduler::longestChain(const Job &JobRecord, Time Now) const {
  Duration Longest{0};
  std::vector<Duration> EndsAfter;
  for (const StepSpec &Step : JobRecord.Spec.Steps) {
    Duration Begins{0};
    for (std::uint32_t Earlier : Step.DependsOn)
      Begins = std::max(Begins, EndsAfter[Earlier]);
    EndsAfter.push_back(Begins + expectedRun(JobRecord, Step, Now));
    Longest = std::max(Longest, EndsAfter.back());
  }
  return Longest;
}

scheduling::PoolOutlook Scheduler::outlookFor(const Job &New, Time Now) const {
  scheduling::PoolOutlook Result;
  const Resources &Needs = New.Spec.Steps.front().Needs;
  for (const auto &[Id, Session] : Sessions_) {
    if (!acceptsWorkFor(Session, New.Service))
      continue;
    double Factor = paceFactorOf(Session, Now);
    bool Slow = Factor >= scheduling::SlowFactor;
    if (Session.NoStartsUntil <= Now && isTrusted(Session) && !Slow)
      Result.Free += freePlaces(Session, Needs);
    // A slow worker frees no capacity within the forecast.
    if (Slow)
      continue;
    for (const auto &[Task, Each] : Session.Runs)
      Result.BusyFor.push_back(
          scheduling::remainingRunTime(Each.Expected, Now - Each.Since));
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
  for (const auto &[Id, Session] : Sessions_)
    if (acceptsWorkFor(Session, Service))
      Cores += Session.Info.Capacity.CpuMillis;
  return Cores * UsableShare;
}

bool Scheduler::knowsWorkersOf(const ServiceId &Service) const {
  bool Any = false;
  for (const auto &[Id, Session] : Sessions_) {
    if (Session.Info.Service != Service)
      continue;
    if (!Session.RunsKnown && !Session.Silent)
      return false;
    Any = Any || Session.RunsKnown;
  }
  return Any;
}

bool Scheduler::fitsAnyWorker(const Job &JobRecord) const {
  return std::all_of(JobRecord.Spec.Steps.begin(), JobRecord.Spec.Steps.end(),
                     [&](const StepSpec &Step) {
                       return std::any_of(
                           Sessions_.begin(), Sessions_.end(),
                           [&](const auto &Entry) {
                             const WorkerSession &Session = Entry.second;
                             return Session.Info.Service == JobRecord.Service &&
                                    isLargeEnough(Session, Step.Needs);
                           });
                     });
}

bool Scheduler::isLate(const JobId &Id) const {
  auto Found = ActiveTransients_.find(Id);
  return Found != ActiveTransients_.end() && Found->second.Late;
}

scheduling::WaitForecast Scheduler::forecastWaits(const Job &New,
                                                  Time Now) const {
  scheduling::PoolOutlook Pool = outlookFor(New, Now);
  scheduling::JobOutlook Own{initialTaskCount(New.Spec),
                             expectedRun(New, New.Spec.Steps.front(), Now)};
  double Cores = usableCores(New.Service);
  auto WaitBehind = [&](std::uint32_t Priority) {
    Pool.UrgentShare =
        Cores == 0 ? 0
                   : scheduling::urgentLoad(Arrivals_, Priority, Now) / Cores;
    return scheduling::waitForLastStart(Pool, Own);
  };
  scheduling::WaitForecast Result{WaitBehind(New.Priority),
                                  WaitBehind(New.Priority + 1)};
  if (!scheduling::isOverloaded(Orders_, Now))
    return Result;
  if (Result.InTurn)
    *Result.InTurn = std::max(
        *Result.InTurn,
        scheduling::timeToOrder(Orders_, Pool.Ahead.size() + Own.Tasks, Now));
  // Orders for jobs that can be in time take all that can be sent.
  Result.AsLate.reset();
  return Result;
}

scheduling::WaitForecast
Scheduler::correctedWaits(std::uint32_t Priority,
                          const scheduling::WaitForecast &Uncorrected,
                          Time Now) const {
  const scheduling::ForecastSkill &Skill =
      Skills_[scheduling::classOf(Priority)];
  scheduling::WaitForecast Result = Uncorrected;
  for (std::optional<Duration> *Each : {&Result.InTurn, &Result.AsLate})
    if (*Each)
      *Each = scheduling::correctedForecast(Skill, **Each, Now);
  return Result;
}

scheduling::Admission
Scheduler::decideAdmission(const Job &New, const ActiveTransient &Arriving,
                           const scheduling::WaitForecast &Uncorrected) const {
  Time Now = Arriving.Since;
  scheduling::WaitForecast Forecast =
      correctedWaits(New.Priority, Uncorrected, Now);
  scheduling::Admission Decided = scheduling::admit(
      Arriving.Useful, Arriving.Chain, Forecast, hashOf(New.Id), Now);
  if (Decided.Result != scheduling::Verdict::InTime)
    logEvent(
        LogLevel::Info, Module, "job_not_in_time",
        {{"job", New.Id},
         {"verdict", scheduling::verdictName(Decided.Result)},
         {"priority", New.Priority},
         {"chain_us", Arriving.Chain.count()},
         {"age_us", Arriving.Age.count()},
         {"laxity_us",
          (Arriving.Useful.SoftDeadline - Now - Arriving.Chain).count()},
         {"wait_us", Forecast.InTurn ? Forecast.InTurn->count() : -1},
         {"wait_as_late_us", Forecast.AsLate ? Forecast.AsLate->count() : -1},
         {"waiting_tasks", Queue_.size()},
         {"retry_us", Decided.RetryAfter.count()}});
  return Decided;
}

void Scheduler::noteFirstStart(const JobId &Id, Time Now) {
  auto Found = ActiveTransients_.find(Id);
  if (Found == ActiveTransients_.end() || Found->second.NotStarted == 0)
    return;
  ActiveTransient &Job = Found->second;
  const jobs::Job *JobRecord = findJob(Transient_, Id);
  if (--Job.NotStarted == 0 && Job.Forecast && JobRecord)
    scheduling::learnForecast(Skills_[scheduling::classOf(JobRecord->Priority)],
                              *Job.Forecast, Now - Job.Since, Now);
}

void Scheduler::noteAccepted(const Job &New, Time Now) {
  for (const StepSpec &Step : New.Spec.Steps) {
    Duration All = expectedRun(New, Step, Now) * Step.Count;
    scheduling::noteArrival(Arrivals_, New.Priority,
                            scheduling::workOf(Step.Needs.CpuMillis, All), Now);
  }
}

void Scheduler::noteRunTime(WorkerSession &Session, const TaskId &Task,
                            const RunTiming &Times) {
  const Job *JobRecord = jobOf(Task.Job);
  if (!JobRecord || Task.Step >= JobRecord->Spec.Steps.size())
    return;
  Time Now = Deps_.Clock.now();
  bool Slow = paceFactorOf(Session, Now) >= scheduling::SlowFactor;
  scheduling::learnPace(Session.Pace, Times.Expected, Times.Elapsed, Now);
  // A run on a slow worker says little about the queue's tasks, so its run time
  // is capped rather than ignored: if all workers are slow, the tasks are long.
  Duration RunTime =
      Slow ? std::min(Times.Elapsed, Times.Expected * 2) : Times.Elapsed;
  scheduling::learnRun(RunTimes_[JobRecord->Queue],
                       JobRecord->Spec.Steps[Task.Step].Estimate, RunTime, Now);
}

bool Scheduler::isStale(const ActiveTransient &Job, Time Now) {
  return Now >= Job.Since - Job.Age + MaxStartDelay;
}

bool Scheduler::isHopeless(const ActiveTransient &Job, Time Now) {
  if (isStale(Job, Now))
    return true;
  if (Job.Late)
    return !scheduling::canMeetHardDeadline(Job.Useful, Job.Chain, Now);
  return !scheduling::canMeetSoftDeadline(Job.Useful, Job.Chain, Now);
}

void Scheduler::giveUpLate(Time Now) {
  std::vector<JobId> Hopeless;
  for (const auto &[Id, Job] : ActiveTransients_) {
    const jobs::Job *JobRecord = findJob(Transient_, Id);
    bool TooLarge = JobRecord && knowsWorkersOf(JobRecord->Service) &&
                    !fitsAnyWorker(*JobRecord);
    if ((isHopeless(Job, Now) || TooLarge) && !hasBegun(Id))
      Hopeless.push_back(Id);
  }
  for (const JobId &Id : Hopeless)
    reconsider(Id, Now);
}

void Scheduler::reconsider(const JobId &Id, Time Now) {
  const Job *JobRecord = findJob(Transient_, Id);
  auto Found = ActiveTransients_.find(Id);
  if (!JobRecord || Found == ActiveTransients_.end())
    return;
  ActiveTransient &Job = Found->second;
  // Learns from a wait that ended without a start.
  if (Job.Forecast)
    scheduling::learnForecast(Skills_[scheduling::classOf(JobRecord->Priority)],
                              *std::exchange(Job.Forecast, std::nullopt),
                              Now - Job.Since, Now);
  scheduling::WaitForecast Forecast =
      correctedWaits(JobRecord->Priority, forecastWaits(*JobRecord, Now), Now);
  // It can only be served as late now.
  Forecast.InTurn.reset();
  scheduling::Admission Decided =
      scheduling::admit(Job.Useful, Job.Chain, Forecast, hashOf(Id), Now);
  if (Decided.Result == scheduling::Verdict::Refused || Job.Late ||
      isStale(Job, Now)) {
    constexpr const char *Reason = "no worker was free in time";
    noteRefusal(Id, refusalOf(Reason, Decided.RetryAfter));
    return cancelTransient(Id, Reason, Decided.RetryAfter);
  }
  Job.Late = true;
  forgetWaiting(Id);
  enqueueReady(*JobRecord);
}

} // namespace geraniumbay::jobs
