//===- transientjobs.cpp - Jobs that only the owner knows -----------------===//
//
// A transient job lives in the owner's memory; its callers wait for its end at
// their entries, its origins.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/poolview.h"
#include "jobs/internal/scheduler.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How long the end of a job is remembered for callers that send it again
/// because its answer was lost; they do so within seconds.
constexpr Duration KeepAnswered = std::chrono::seconds(10);
/// A refusal stands for so long: the entry that heard it takes the job to
/// another pool, while a second sending of the same job may still be on its way
/// here. Callers come back after a second at the earliest.
constexpr Duration RefusalStands = std::chrono::milliseconds(500);
/// When it is worth coming back with a job for which all workers are too small:
/// they announce their room about every second.
constexpr Duration RetryAfterSize = std::chrono::seconds(2);
/// How often all workers are looked at while jobs wait for that.
constexpr Duration LookInterval = std::chrono::milliseconds(20);

} // namespace

void Scheduler::run(Job New, const Arrival &How, EndCallback Ended) {
  JobId Id = New.Id;
  if (auto Found = Refused_.find(Id); Found != Refused_.end())
    return Ended(Found->second.second);
  if (const Job *Known = findJob(Transient_, Id)) {
    if (Known->State == JobState::Active) {
      Waiters_[Id].Waiting.push_back({How.From, std::move(Ended)});
      return;
    }
    // One that was given up before it began may be handed in again.
    if (Known->State != JobState::Cancelled)
      return Ended(endedAs(Known->State));
    Transient_.Jobs.erase(Id);
  }
  Time Now = Needs_.Clock.now();
  Waiters Coming;
  Coming.Since = Now;
  Coming.Age = How.Age;
  Coming.Chain = chainOf(New, Now);
  Coming.Useful = scheduling::usefulnessOf(New.Promised, Coming.Chain,
                                           Now - How.Age, Now + How.Patience);
  Coming.NotStarted = initialTaskCount(New.Spec);
  New.Suspects = knownSuspects(New);
  bool Guilty =
      std::any_of(New.Suspects.begin(), New.Suspects.end(),
                  [](const SuspectTask &Each) { return Each.Seen.Guilty; });
  if (Guilty)
    return Ended(endedAs(JobState::Failed, CrashReason));
  bool RunsNowhere = !How.MaybeTaken && !hasOrphans(Id);
  if (RunsNowhere && isShutOut(New))
    return Ended(noteShutOut(Id, false));
  // Right after a take-over nobody can tell how long it will wait.
  if (RunsNowhere && knowsWorkersOf(New.Service)) {
    if (!fitsSomewhere(New))
      return Ended(
          noteRefusal(Id, refusalOf("no worker is large enough for its tasks",
                                    RetryAfterSize)));
    scheduling::Waits Known = forecastFor(New, Now);
    scheduling::Admission Decided = admissionOf(New, Coming, Known);
    if (Decided.What == scheduling::Verdict::Refused)
      return Ended(
          noteRefusal(Id, refusalOf("the backlog is too long to end in time",
                                    Decided.RetryAfter)));
    Coming.Late = Decided.What == scheduling::Verdict::Late;
    if (!Coming.Late)
      Coming.Forecast = Known.InTurn;
  }
  Coming.Waiting.push_back({How.From, std::move(Ended)});
  Waiters_[Id] = std::move(Coming);
  New.AcceptedIn = Token_;
  noteTaken(New, Now);
  JobChanges Changes;
  Changes.Accepted.push_back(std::move(New));
  apply(Transient_, Changes);
  logEvent(LogLevel::Info, Module, "job_taken",
           {{"job", Id},
            {"origin", How.From.Origin.text()},
            {"serial", How.From.Serial},
            {"pool", Needs_.Pool},
            {"maybe_taken", How.MaybeTaken},
            {"token", Token_.value()},
            {"age_us", How.Age.count()},
            {"left_us", How.Patience.count()},
            {"waiting_tasks", Queue_.size()}});
  Orders_[Id] = ++LastOrder_;
  if (How.MaybeTaken) {
    Unsettled_[Id] = Now;
    lookAround();
  }
  adoptOrphans(Id);
  if (const Job *Of = findJob(Transient_, Id))
    enqueueReady(*Of);
  scheduleSoon();
}

void Scheduler::adoptOrphans(const JobId &Id) {
  JobChanges Changes;
  std::vector<std::pair<TaskId, Orphan>> Own;
  for (const auto &[Task, Left] : Orphans_)
    if (Task.Job == Id)
      Own.emplace_back(Task, Left);
  for (const auto &[Task, Left] : Own) {
    Orphans_.erase(Task);
    WorkerSession *On = session(Left.Worker);
    if (Left.Done)
      Changes.Ended.push_back({Task, Left.Run, true});
    else if (On && taskOf(Task))
      adopt(*On, {Task, Left.Run});
  }
  if (Changes.empty())
    return;
  Begun_.insert(Id);
  apply(Transient_, Changes);
  committed(Changes);
}

bool Scheduler::isSettled() const {
  return TakenOver_ &&
         std::all_of(Orphans_.begin(), Orphans_.end(),
                     [](const auto &Entry) { return Entry.second.Done; });
}

bool Scheduler::hasOrphans(const JobId &Id) const {
  return std::any_of(Orphans_.begin(), Orphans_.end(),
                     [&](const auto &Entry) { return Entry.first.Job == Id; });
}

bool Scheduler::hasAnswerFor(const JobId &Id) const {
  const Job *Known = findJob(Transient_, Id);
  return Refused_.count(Id) != 0 ||
         (Known && Known->State != JobState::Cancelled);
}

bool Scheduler::mayRun(const JobId &Id) const {
  if (Unsettled_.count(Id) != 0 || hasOrphans(Id))
    return true;
  return std::any_of(
      Sessions_.begin(), Sessions_.end(), [&](const auto &Session) {
        return std::any_of(
            Session.second.Runs.begin(), Session.second.Runs.end(),
            [&](const auto &Entry) { return Entry.first.Job == Id; });
      });
}

bool Scheduler::has(const JobId &Id) const {
  const Job *Known = findJob(Transient_, Id);
  return (Known && Known->State != JobState::Cancelled) || mayRun(Id);
}

std::vector<JobId> Scheduler::jobs() const {
  std::vector<JobId> Result;
  for (const auto &[Id, Each] : Transient_.Jobs)
    if (has(Id))
      Result.push_back(Id);
  for (const auto &[Task, Left] : Orphans_)
    if (!findJob(Transient_, Task.Job))
      Result.push_back(Task.Job);
  return Result;
}

void Scheduler::lookAround() {
  Time Now = Needs_.Clock.now();
  if (Now - LookedAround_ < LookInterval)
    return;
  LookedAround_ = Now;
  for (auto &[Worker, With] : Sessions_)
    look(With);
}

void Scheduler::releaseUnsettled(Time Now) {
  if (Unsettled_.empty())
    return;
  // A worker that is not known here may still run tasks of these jobs.
  Time LeastLooked = Needs_.KnowsAllWorkers() ? Now : Time();
  for (const auto &[Worker, With] : Sessions_)
    LeastLooked = std::min(LeastLooked, With.LookedAt);
  std::vector<JobId> Settled;
  for (const auto &[Id, Since] : Unsettled_)
    if (Since < LeastLooked || Now - Since >= OwnerSilence + leaseBound(Lease_))
      Settled.push_back(Id);
  for (const JobId &Id : Settled) {
    Unsettled_.erase(Id);
    blameForOwner(Id);
    if (const Job *Of = findJob(Transient_, Id))
      enqueueReady(*Of);
  }
  if (!Unsettled_.empty())
    lookAround();
}

void Scheduler::stopOrphans(Time Now) {
  if (Now < OrphansUntil_ || Orphans_.empty())
    return;
  for (auto &[Task, Left] : Orphans_) {
    WorkerSession *On = session(Left.Worker);
    if (Left.Done || Left.Stopping || !On)
      continue;
    On->Foreign = true;
    Left.Stopping = true;
    Needs_.Workers.stop({Left.Worker, On->Info.At}, {Task, Left.Run, Token_});
  }
  std::erase_if(Orphans_, [&](const auto &Entry) {
    bool Gone = !Entry.second.Done && !session(Entry.second.Worker);
    return Gone || Now >= OrphansUntil_ + KeepAnswered;
  });
}

void Scheduler::cancelTransient(const JobId &Id, const std::string &Reason,
                                Duration RetryAfter) {
  if (auto Found = Waiters_.find(Id); Found != Waiters_.end()) {
    Found->second.Reason = Reason;
    Found->second.RetryAfter = RetryAfter;
  }
  logEvent(LogLevel::Info, Module, "job_given_up",
           {{"job", Id},
            {"pool", Needs_.Pool},
            {"reason", Reason},
            {"begun", hasBegun(Id)}});
  if (Unsettled_.count(Id) != 0)
    blameForOwner(Id);
  JobChanges Changes;
  Changes.Cancelled.push_back(Id);
  apply(Transient_, Changes);
  jobSettled(Id);
}

std::set<Endpoint> Scheduler::origins() const {
  std::set<Endpoint> Result;
  for (const auto &[Id, Job] : Waiters_)
    for (const Waiter &Each : Job.Waiting)
      Result.insert(Each.From.Origin);
  return Result;
}

void Scheduler::dropWaiter(const JobId &Id, const WaiterId &From) {
  auto Found = Waiters_.find(Id);
  if (Found == Waiters_.end())
    return;
  std::erase_if(Found->second.Waiting,
                [&](const Waiter &Each) { return Each.From == From; });
  if (Found->second.Waiting.empty())
    cancelTransient(Id, "nobody waits for it", Duration(0));
}

void Scheduler::dropOrigin(const Endpoint &Origin) {
  dropWaiters([&](const WaiterId &From) { return From.Origin == Origin; },
              "its entry is out of reach");
}

void Scheduler::dropEarlier(const Endpoint &Origin, std::uint64_t Incarnation) {
  dropWaiters(
      [&](const WaiterId &From) {
        return From.Origin == Origin && From.Incarnation != Incarnation;
      },
      "its entry has started anew");
}

void Scheduler::dropWaiters(const std::function<bool(const WaiterId &)> &Which,
                            const char *Reason) {
  std::vector<JobId> Empty;
  for (auto &[Id, Job] : Waiters_) {
    std::erase_if(Job.Waiting,
                  [&](const Waiter &Each) { return Which(Each.From); });
    if (Job.Waiting.empty())
      Empty.push_back(Id);
  }
  for (const JobId &Id : Empty)
    cancelTransient(Id, Reason, Duration(0));
}

void Scheduler::answerWaiters(const JobId &Id,
                              const Outcome<TransientEnd> &Ended) {
  auto Found = Waiters_.extract(Id);
  if (!Found)
    return;
  for (const Waiter &Each : Found.mapped().Waiting)
    Each.Ended(Ended);
}

TransientEnd Scheduler::noteRefusal(const JobId &Id,
                                    const TransientEnd &Refusal) {
  logEvent(LogLevel::Info, Module, "job_declined",
           {{"job", Id}, {"pool", Needs_.Pool}, {"reason", Refusal.Reason}});
  Refused_[Id] = {Needs_.Clock.now(), Refusal};
  return Refusal;
}

void Scheduler::forgetTransient(Time Now) {
  forgetOld(Suspects_, Now);
  std::erase_if(Refused_, [&](const auto &Entry) {
    return Now - Entry.second.first >= RefusalStands;
  });
  while (!Answered_.empty() && Now - Answered_.front().first >= KeepAnswered) {
    const Job *Of = findJob(Transient_, Answered_.front().second);
    if (Of && Of->State != JobState::Active)
      Transient_.Jobs.erase(Answered_.front().second);
    Answered_.pop_front();
  }
}

} // namespace geraniumbay::jobs
