//===- entryjobs.cpp - Jobs on an entry -----------------------------------===//
//
// Handles callers' requests and sends transient jobs to the owner of the pool.
// The owner's replies are handled in entryanswers.cpp.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/entryjobs.h"

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/internal/submission.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// Requests read within this time after a pause may have waited in a socket
/// during it: the event loop drains its sockets in a few iterations.
constexpr Duration SocketDrainTime = std::chrono::milliseconds(50);
/// An unsent job keeps its chosen pool for this long, the time in which a ping
/// shows whether the pool's owner can be reached.
constexpr Duration ChoiceValidFor = std::chrono::milliseconds(50);
/// The message that a caller has disconnected is repeated until the owner
/// answers. If it were lost in a dead connection, the job would run on without
/// a caller, while the caller retries after 1.3 s, perhaps in another pool.
constexpr Duration DropTimeout = std::chrono::milliseconds(150);
constexpr int MaxDropAttempts = 7;
/// A registrar redirects a job to the pool that holds it. That pool may refuse
/// the job before the registrar learns that it gave the job up; after this many
/// redirections the job is refused.
constexpr std::size_t MaxRedirections = 4;
/// Time for the owner's answer to travel back.
constexpr Duration AnswerMargin = std::chrono::milliseconds(10);

/// The start time, since a process starts later than its predecessor at the
/// same address.
std::uint64_t incarnationAt(const IClock &Clock) {
  return static_cast<std::uint64_t>(std::max<WallMillis>(Clock.wallNow(), 1));
}

} // namespace

EntryJobs::EntryJobs(EntryDependencies Deps, ListedEntry Self,
                     std::vector<Endpoint> ControlVms, RoutingReader Reader,
                     LeaseSettings Lease)
    : Deps_(Deps), Self_(std::move(Self.Place.At)),
      DataCentre_(std::move(Self.Place.DataCentre)), Capacity_(Self.Capacity),
      Reader_(std::move(Reader)), Lease_(Lease),
      Control_(std::move(ControlVms), Deps.Client, Deps.Clock, Deps.Timers,
               {[this] { return makeSyncRequest(); },
                [this](const Json::Value &Result, const Endpoint &From) {
                  applySyncReply(Result, From);
                },
                [this] { return !ready(); }}),
      StartedAt_(Deps.Clock.now()), Incarnation_(incarnationAt(Deps.Clock)) {
  getOrCreatePool(poolOfAll(), DataCentre_);
}

void EntryJobs::start() {
  Deps_.Server.method(wire::method::Ping,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        answerPing(Params, Answer);
                      });
  Deps_.Server.method(wire::method::Run,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        answerRun(Params, Answer);
                      });
  Deps_.Server.method(wire::method::Drop,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        answerDrop(Params, Answer);
                      });
  Deps_.Server.method(wire::method::Register,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        answerRegister(Params, Answer);
                      });
  Deps_.Server.method(wire::method::Report,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        answerReport(Params, Answer);
                      });
  Control_.start();
  tick();
  pingAll();
}

bool EntryJobs::ready() const {
  if (RoutingVersion_ == ConfigVersion(0) || Stopping_)
    return false;
  if (ControlSchedules_)
    return Control_.ready();
  return std::any_of(Pools_.begin(), Pools_.end(),
                     [](const auto &Entry) { return Entry.second->isOwned(); });
}

bool EntryJobs::ownsAPool() const {
  return std::any_of(Pools_.begin(), Pools_.end(), [](const auto &Entry) {
    return Entry.second->scheduler() != nullptr;
  });
}

std::function<void()> EntryJobs::submit(const JobRequest &Request,
                                        const JobSpec &Spec, Callback Done) {
  auto Nothing = [] {
    // Already answered, or a durable job, which continues without its caller.
  };
  if (RoutingVersion_ == ConfigVersion(0)) {
    refuse(Request, notTaken("this entry has no configuration yet"), Done);
    return Nothing;
  }
  QueueMatch Match = findQueue(Routing_, Request.Host, Request.Path);
  if (!Match.Found) {
    refuse(Request, outcome(JobOutcome::NoQueue), Done);
    return Nothing;
  }
  if (Spec.Transient && hasJustPaused()) {
    refuse(Request, notTaken("this entry stood still"), Done);
    return Nothing;
  }
  if (!Spec.Transient || ControlSchedules_) {
    Control_.submit(Request, Spec, std::move(Done));
    return Nothing;
  }
  Time Now = Deps_.Clock.now();
  auto Pending = std::make_shared<PendingRequest>();
  Pending->Wanted = newJob(Match, Spec);
  Pending->Done = std::move(Done);
  Pending->Waiter = {Self_, Incarnation_, ++LastSerial_};
  Pending->ReceivedAt = Now;
  Pending->Deadline = Now + Request.Timeout;
  Pending->SearchUntil = Now + SearchTime;
  PendingRequests_.insert(Pending);
  dispatch(Pending);
  return [this, Pending] { abandon(Pending); };
}

void EntryJobs::giveUpAfterPause(const PendingRequestPtr &Request) {
  finish(Request, notTaken("this entry stood still"));
}

bool EntryJobs::hasJustPaused() const {
  Time Now = Deps_.Clock.now();
  // The tick may not have detected the pause yet.
  bool Unnoticed = LastTickAt_ && Now - *LastTickAt_ >= LongPause;
  return Unnoticed || (PausedUntil_ && Now - *PausedUntil_ < SocketDrainTime);
}

void EntryJobs::abandon(const PendingRequestPtr &Request) {
  if (PendingRequests_.erase(Request) == 0)
    return;
  ++Request->Attempt;
  logEvent(LogLevel::Info, Module, "caller_gone",
           {{"job", Request->Wanted.Id}});
  if (!Request->SentTo)
    return;
  if (Request->SentTo->At == Self_) {
    PoolMember *Pool = findPool(Request->Pool);
    if (!dropIncoming(Request->Wanted.Id, Request->Waiter) && Pool &&
        Pool->scheduler())
      Pool->scheduler()->dropWaiter(Request->Wanted.Id, Request->Waiter);
    return;
  }
  Json::Value Params(Json::objectValue);
  Params["job"] = Request->Wanted.Id.value();
  writeRequestOrigin(*Request, Params);
  notifyDropped(Request->SentTo->At, Params, MaxDropAttempts);
}

void EntryJobs::notifyDropped(const Endpoint &To, const Json::Value &Params,
                              int Tries) {
  Deps_.Client.call(
      To, wire::method::Drop, Params, DropTimeout,
      [this, To, Params, Tries](const Outcome<Json::Value> &Result) {
        bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
        if (!Result && !Refused && Tries > 1)
          notifyDropped(To, Params, Tries - 1);
      });
}

void EntryJobs::state(const JobRequest &Request, Callback Done) {
  if (RoutingVersion_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.state(Request, std::move(Done));
}

void EntryJobs::cancel(const JobRequest &Request, Callback Done) {
  if (RoutingVersion_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.cancel(Request, std::move(Done));
}

void EntryJobs::pending(const JobRequest &Request, Callback Done) {
  if (RoutingVersion_ == ConfigVersion(0))
    return Done(notTaken("this entry has no configuration yet"));
  if (!findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  if (ControlSchedules_)
    return Control_.pending(Request, std::move(Done));
  // Transient jobs are not accepted before they end, so none is pending.
  Done(outcome(JobOutcome::Known));
}

PoolMember *EntryJobs::poolForRequest(const PendingRequestPtr &Request) {
  PoolMember *Chosen = findPool(Request->Pool);
  Time Now = Deps_.Clock.now();
  bool Stays = Request->MaybeTaken || Request->Registered ||
               Now - Request->PoolChosen < ChoiceValidFor;
  if (Stays && !Request->Pool.value().empty())
    return Chosen;
  if (Chosen && !isReachable(*Chosen))
    Chosen->discardLoad();
  Chosen = choosePool(Request->Wanted, Request->RefusedBy);
  Request->PoolChosen = Now;
  if (Chosen)
    Request->Pool = Chosen->name();
  return Chosen;
}

bool EntryJobs::isReachable(const PoolMember &Pool) const {
  const Endpoint &Owner = Pool.view().Owner.At;
  return Pool.isOwned() && (Owner == Self_ || hasFreshEcho(Owner));
}

void EntryJobs::dispatch(const PendingRequestPtr &Request) {
  ++Request->Attempt;
  Request->SentTo.reset();
  PoolMember *Pool = poolForRequest(Request);
  if (!Pool && !Request->RefusedBy.empty())
    return finish(Request, Request->Refusal);
  if (!Pool && areAllEvacuated()) {
    JobAnswer ShutOut = notTaken("all data centres are evacuated");
    ShutOut.RetryAfter = RetryAfterEvacuation;
    return finish(Request, ShutOut);
  }
  if (!Pool || Pool->view().Owner.Token == FencingToken(0))
    return park(Request);
  const Endpoint &Owner = Pool->view().Owner.At;
  // An owner stops the jobs of entries that don't confirm that they hear it.
  if (Owner != Self_ && !isReachable(*Pool)) {
    ping(Owner, {Pool->name()});
    return park(Request);
  }
  if (!Pool->isOwned() || (Owner == Self_ && !Pool->scheduler()))
    return park(Request);
  Request->SentTo = Pool->view().Owner;
  Request->LastOwner = Owner;
  Request->SentAt[Owner] = Deps_.Clock.now();
  Pool->noteSent(Request->Wanted);
  logEvent(LogLevel::Info, Module, "job_sent",
           {{"job", Request->Wanted.Id},
            {"serial", Request->Waiter.Serial},
            {"sending", Request->Attempt},
            {"pool", Pool->name()},
            {"owner", Owner.text()},
            {"token", Pool->view().Owner.Token.value()},
            {"home", homeOfJob(Request->Wanted.Id)},
            {"registered", Request->Registered},
            {"maybe_taken", Request->MaybeTaken},
            {"age_us", (Deps_.Clock.now() - Request->ReceivedAt).count()}});
  if (Owner == Self_)
    return runLocally(Request, *Pool);
  sendToOwner(Request);
}

std::optional<Duration>
EntryJobs::sentElsewhereAgo(const PendingRequest &Request) const {
  std::optional<Duration> Least;
  for (const auto &[Owner, At] : Request.SentAt) {
    Duration Ago = Deps_.Clock.now() - At;
    if (Owner != Request.LastOwner)
      Least = std::min(Ago, Least.value_or(Ago));
  }
  return Least;
}

void EntryJobs::addSuspects(PendingRequest &Request) const {
  auto Found = Suspects_.find(Request.Wanted.Id);
  if (Found != Suspects_.end())
    Request.Wanted.Suspects = Found->second.Tasks;
}

void EntryJobs::runLocally(const PendingRequestPtr &Request, PoolMember &Pool) {
  Time Now = Deps_.Clock.now();
  addSuspects(*Request);
  auto New = std::make_shared<Incoming>();
  New->Wanted = Request->Wanted;
  New->ArrivalInfo = {Request->Waiter, Now - Request->ReceivedAt,
                      Request->Deadline - Now, Request->MaybeTaken,
                      sentElsewhereAgo(*Request)};
  New->Home = homeOfJob(Request->Wanted.Id);
  New->OnEnded = [this, Request, Attempt = Request->Attempt](
                     const Outcome<TransientEnd> &Ended) {
    if (Attempt != Request->Attempt)
      return;
    if (Ended)
      return handleOwnerAnswer(Request, answerOfEnd(*Ended));
    Request->MaybeTaken =
        Request->MaybeTaken || Ended.error().Code != ErrorCode::Refused;
    park(Request);
  };
  New->OnRedirected = [this, Request,
                       Attempt = Request->Attempt](const PoolName &Target) {
    if (Attempt == Request->Attempt)
      redirect(Request, Target);
  };
  admitJob(New, Pool);
}

void EntryJobs::redirect(const PendingRequestPtr &Request,
                         const PoolName &Pool) {
  if (++Request->Redirections > MaxRedirections)
    return finish(Request, Request->RefusedBy.empty()
                               ? notTaken("it was sent from pool to pool")
                               : Request->Refusal);
  Request->Registered = true;
  Request->Pool = Pool;
  Request->PoolChosen = Deps_.Clock.now();
  dispatch(Request);
}

void EntryJobs::handleOwnerAnswer(const PendingRequestPtr &Request,
                                  const JobAnswer &Answer) {
  if (!tryAnotherPool(Request, Answer))
    finish(Request, Answer);
}

void EntryJobs::sendToOwner(const PendingRequestPtr &Request) {
  Duration Left = Request->Deadline - Deps_.Clock.now();
  addSuspects(*Request);
  Json::Value Params(Json::objectValue);
  Params["job"] = wire::write(Request->Wanted);
  writeRequestOrigin(*Request, Params);
  PoolName HomeName = homeOfJob(Request->Wanted.Id);
  if (!HomeName.value().empty())
    Params["home"] = HomeName.value();
  if (const PoolMember *Home = findPool(HomeName);
      Home && Home->view().Owner.Token != FencingToken(0))
    Params["registrar"] = Home->view().Owner.At.text();
  Params["left_us"] = Json::Int64(std::max(Left, Duration(1)).count());
  Params["age_us"] =
      Json::Int64((Deps_.Clock.now() - Request->ReceivedAt).count());
  Params["echo_us"] = Json::UInt64(Echoes_[Request->SentTo->At].Stamp);
  if (Request->MaybeTaken)
    Params["maybe_taken"] = true;
  if (auto Ago = sentElsewhereAgo(*Request))
    Params["sent_elsewhere_us"] = Json::UInt64(Ago->count());
  Endpoint To = Request->SentTo->At;
  Deps_.Client.call(To, wire::method::Run, std::move(Params),
                    std::max(Left, Duration(0)) + AnswerMargin,
                    [this, Request, To, Attempt = Request->Attempt](
                        const Outcome<Json::Value> &Result) {
                      handleOwnerReply(Request, Attempt, To, Result);
                    });
}

void EntryJobs::writeRequestOrigin(const PendingRequest &Request,
                                   Json::Value &Params) const {
  Params["pool"] = Request.Pool.value();
  Params["origin"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["serial"] = Json::UInt64(Request.Waiter.Serial);
}

void EntryJobs::refuse(const JobRequest &Request, const JobAnswer &Answer,
                       const Callback &Done) const {
  logEvent(LogLevel::Warning, Module, "job_refused",
           {{"job", Request.Path.substr(Request.Path.rfind('/') + 1)},
            {"outcome", outcomeName(Answer.Outcome)},
            {"reason", Answer.Reason},
            {"host", Request.Host},
            {"path", Request.Path},
            {"configuration", RoutingVersion_}});
  Done(Answer);
}

void EntryJobs::setCapacity(const scheduling::VmCapacity &Capacity) {
  RanksOutdated_ = RanksOutdated_ || Capacity_ != Capacity;
  Capacity_ = Capacity;
}

void EntryJobs::prepareStop() {
  Stopping_ = true;
  for (auto &[Name, Pool] : Pools_)
    Pool->view().Stopping = true;
  followOwners();
  for (const auto &[To, About] : pingsDue(true))
    ping(To, About);
}

} // namespace geraniumbay::jobs
