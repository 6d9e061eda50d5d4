//===- transientjobs.cpp - Jobs in the owner's memory ---------------------===//
//
// A transient job is kept only in the owner's memory. Its callers wait for its
// end at their entries, which are its origins.
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
constexpr Duration TransientEndRetention = std::chrono::seconds(10);
/// How long a refusal is repeated for the same job: the entry that received it
/// submits the job to another pool, while a duplicate request may still be on
/// its way here. Callers retry after a second at the earliest.
constexpr Duration RefusalRetention = std::chrono::milliseconds(500);
/// Retry interval for a job for which all workers are too small: they announce
/// their capacity about every second.
constexpr Duration RetryAfterTooLarge = std::chrono::seconds(2);
/// Least interval between queries of all workers while jobs wait for them.
constexpr Duration QueryInterval = std::chrono::milliseconds(20);

} // namespace

void Scheduler::run(Job New, const TransientRequest &Request,
                    EndCallback Ended) {
  JobId Id = New.Id;
  if (auto Found = Refused_.find(Id); Found != Refused_.end())
    return Ended(Found->second.second);
  if (const Job *Known = findJob(Transient_, Id)) {
    if (Known->State == JobState::Active) {
      ActiveTransients_[Id].Waiters.push_back({Request.From, std::move(Ended)});
      return;
    }
    // A job that was given up before it began may be submitted again.
    if (Known->State != JobState::Cancelled)
      return Ended(endedAs(Known->State));
    Transient_.Jobs.erase(Id);
  }
  Time Now = Deps_.Clock.now();
  ActiveTransient Arriving;
  Arriving.Since = Now;
  Arriving.Age = Request.Age;
  Arriving.Chain = longestChain(New, Now);
  Arriving.Useful = scheduling::answerDeadlines(
      New.Promised, Arriving.Chain, Now - Request.Age, Now + Request.TimeLeft);
  Arriving.NotStarted = initialTaskCount(New.Spec);
  New.Suspects = knownSuspects(New);
  bool Guilty = std::any_of(
      New.Suspects.begin(), New.Suspects.end(),
      [](const SuspectTask &Each) { return Each.Suspicion.Quarantined; });
  if (Guilty)
    return Ended(endedAs(JobState::Failed, CrashReason));
  bool RunsNowhere = !Request.MaybeTaken && !hasOrphans(Id);
  if (RunsNowhere && isShutOut(New))
    return Ended(noteShutOut(Id, false));
  // Right after a take-over the wait cannot be forecast.
  if (RunsNowhere && knowsWorkersOf(New.Service)) {
    if (!fitsAnyWorker(New))
      return Ended(
          noteRefusal(Id, refusalOf("no worker is large enough for its tasks",
                                    RetryAfterTooLarge)));
    scheduling::WaitForecast Waits = forecastWaits(New, Now);
    scheduling::Admission Decided = decideAdmission(New, Arriving, Waits);
    if (Decided.Result == scheduling::Verdict::Refused)
      return Ended(
          noteRefusal(Id, refusalOf("the backlog is too long to end in time",
                                    Decided.RetryAfter)));
    Arriving.Late = Decided.Result == scheduling::Verdict::Late;
    if (!Arriving.Late)
      Arriving.Forecast = Waits.InTurn;
  }
  Arriving.Waiters.push_back({Request.From, std::move(Ended)});
  ActiveTransients_[Id] = std::move(Arriving);
  New.AcceptedUnder = Token_;
  noteAccepted(New, Now);
  JobChanges Changes;
  Changes.Accepted.push_back(std::move(New));
  apply(Transient_, Changes);
  logEvent(LogLevel::Info, Module, "job_taken",
           {{"job", Id},
            {"origin", Request.From.Origin.text()},
            {"serial", Request.From.Serial},
            {"pool", Deps_.Pool},
            {"maybe_taken", Request.MaybeTaken},
            {"rival", hasRival(Request)},
            {"token", Token_.value()},
            {"age_us", Request.Age.count()},
            {"left_us", Request.TimeLeft.count()},
            {"waiting_tasks", Queue_.size()}});
  JobOrders_[Id] = ++LastJobOrder_;
  if (Request.MaybeTaken) {
    Unsettled_[Id] = {Now, hasRival(Request)};
    if (hasRival(Request))
      Deps_.Measured.count("geraniumbay_jobs_of_rivals_total",
                           "Jobs that another owner of the pool may have taken "
                           "beside this one.",
                           {});
    queryAllWorkers();
  }
  adoptOrphans(Id);
  if (const Job *JobRecord = findJob(Transient_, Id))
    enqueueReady(*JobRecord);
  scheduleSoon();
}

void Scheduler::adoptOrphans(const JobId &Id) {
  JobChanges Changes;
  std::vector<std::pair<TaskId, Orphan>> Own;
  for (const auto &[Task, OrphanRun] : Orphans_)
    if (Task.Job == Id)
      Own.emplace_back(Task, OrphanRun);
  for (const auto &[Task, OrphanRun] : Own) {
    Orphans_.erase(Task);
    WorkerSession *Session = session(OrphanRun.Worker);
    if (OrphanRun.Done)
      Changes.Ended.push_back({Task, OrphanRun.Run, true});
    else if (Session && taskOf(Task))
      adoptRun(*Session, {Task, OrphanRun.Run});
  }
  if (Changes.empty())
    return;
  Begun_.insert(Id);
  apply(Transient_, Changes);
  onCommitted(Changes);
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
  for (const auto &[Task, OrphanRun] : Orphans_)
    if (!findJob(Transient_, Task.Job))
      Result.push_back(Task.Job);
  return Result;
}

bool Scheduler::hasRival(const TransientRequest &Request) const {
  return Request.MaybeTaken && Request.SentElsewhereAgo &&
         Deps_.Clock.now() - *Request.SentElsewhereAgo >= OwnedSince_;
}

void Scheduler::queryAllWorkers() {
  Time Now = Deps_.Clock.now();
  if (Now - AllQueriedAt_ < QueryInterval)
    return;
  AllQueriedAt_ = Now;
  for (auto &[Worker, Session] : Sessions_)
    queryRuns(Session);
}

void Scheduler::releaseUnsettled(Time Now) {
  if (Unsettled_.empty())
    return;
  // An unknown worker may still run tasks of these jobs.
  Time LeastLooked = Deps_.KnowsAllWorkers() ? Now : Time();
  for (const auto &[Worker, Session] : Sessions_)
    LeastLooked =
        std::min(LeastLooked, Session.ProvenListSentAt.value_or(Time()));
  std::vector<JobId> Settled;
  for (const auto &[Id, Each] : Unsettled_) {
    bool AllAnswered = !Each.HasRival && Each.Since < LeastLooked;
    if (AllAnswered || Now - Each.Since >= OriginTimeout + leaseBound(Lease_))
      Settled.push_back(Id);
  }
  for (const JobId &Id : Settled) {
    Unsettled_.erase(Id);
    countPossibleLosses(Id);
    if (const Job *JobRecord = findJob(Transient_, Id))
      enqueueReady(*JobRecord);
  }
  if (!Unsettled_.empty())
    queryAllWorkers();
}

void Scheduler::stopOrphans(Time Now) {
  if (Now < OrphansUntil_ || Orphans_.empty())
    return;
  for (auto &[Task, OrphanRun] : Orphans_) {
    WorkerSession *Session = session(OrphanRun.Worker);
    if (OrphanRun.Done || OrphanRun.Stopping || !Session)
      continue;
    Session->HasForeignRuns = true;
    OrphanRun.Stopping = true;
    Deps_.Workers.stop({OrphanRun.Worker, Session->Info.At},
                       {Task, OrphanRun.Run, Token_});
  }
  std::erase_if(Orphans_, [&](const auto &Entry) {
    bool WorkerLost = !Entry.second.Done && !session(Entry.second.Worker);
    return WorkerLost || Now >= OrphansUntil_ + TransientEndRetention;
  });
}

void Scheduler::cancelTransient(const JobId &Id, const std::string &Reason,
                                Duration RetryAfter) {
  if (auto Found = ActiveTransients_.find(Id);
      Found != ActiveTransients_.end()) {
    Found->second.Reason = Reason;
    Found->second.RetryAfter = RetryAfter;
  }
  logEvent(LogLevel::Info, Module, "job_given_up",
           {{"job", Id},
            {"pool", Deps_.Pool},
            {"reason", Reason},
            {"begun", hasBegun(Id)}});
  if (Unsettled_.count(Id) != 0)
    countPossibleLosses(Id);
  JobChanges Changes;
  Changes.Cancelled.push_back(Id);
  apply(Transient_, Changes);
  onJobEnded(Id);
}

std::set<Endpoint> Scheduler::origins() const {
  std::set<Endpoint> Result;
  for (const auto &[Id, Job] : ActiveTransients_)
    for (const Waiter &Each : Job.Waiters)
      Result.insert(Each.From.Origin);
  return Result;
}

void Scheduler::dropWaiter(const JobId &Id, const WaiterId &From) {
  auto Found = ActiveTransients_.find(Id);
  if (Found == ActiveTransients_.end())
    return;
  std::erase_if(Found->second.Waiters,
                [&](const Waiter &Each) { return Each.From == From; });
  if (Found->second.Waiters.empty())
    cancelTransient(Id, "nobody waits for it", Duration(0));
}

void Scheduler::dropOrigin(const Endpoint &Origin) {
  dropWaiters([&](const WaiterId &From) { return From.Origin == Origin; },
              "its entry is out of reach");
}

void Scheduler::dropEarlierIncarnations(const Endpoint &Origin,
                                        std::uint64_t Incarnation) {
  dropWaiters(
      [&](const WaiterId &From) {
        return From.Origin == Origin && From.Incarnation != Incarnation;
      },
      "its entry has started anew");
}

void Scheduler::dropWaiters(const std::function<bool(const WaiterId &)> &Which,
                            const char *Reason) {
  std::vector<JobId> Empty;
  for (auto &[Id, Job] : ActiveTransients_) {
    std::erase_if(Job.Waiters,
                  [&](const Waiter &Each) { return Which(Each.From); });
    if (Job.Waiters.empty())
      Empty.push_back(Id);
  }
  for (const JobId &Id : Empty)
    cancelTransient(Id, Reason, Duration(0));
}

void Scheduler::answerWaiters(const JobId &Id,
                              const Outcome<TransientEnd> &Ended) {
  auto Found = ActiveTransients_.extract(Id);
  if (!Found)
    return;
  for (const Waiter &Each : Found.mapped().Waiters)
    Each.Ended(Ended);
}

TransientEnd Scheduler::noteRefusal(const JobId &Id,
                                    const TransientEnd &Refusal) {
  logEvent(LogLevel::Info, Module, "job_declined",
           {{"job", Id}, {"pool", Deps_.Pool}, {"reason", Refusal.Reason}});
  Refused_[Id] = {Deps_.Clock.now(), Refusal};
  return Refusal;
}

void Scheduler::forgetTransient(Time Now) {
  forgetOld(Suspects_, Now);
  std::erase_if(Refused_, [&](const auto &Entry) {
    return Now - Entry.second.first >= RefusalRetention;
  });
  while (!EndedTransients_.empty() &&
         Now - EndedTransients_.front().first >= TransientEndRetention) {
    const Job *JobRecord = findJob(Transient_, EndedTransients_.front().second);
    if (JobRecord && JobRecord->State != JobState::Active)
      Transient_.Jobs.erase(EndedTransients_.front().second);
    EndedTransients_.pop_front();
  }
}

} // namespace geraniumbay::jobs
