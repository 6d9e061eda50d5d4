//===- entryjobs.cpp - Jobs on an entry -----------------------------------===//
//
// Callers' requests, and transient jobs on their way to the owner of the pool.
// What comes back is in entryanswers.cpp.
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
/// Requests that come within this time after a pause may have waited in a
/// socket meanwhile: a loop takes all that waits there in a few turns.
constexpr Duration AfterPause = std::chrono::milliseconds(50);
/// A job that has not been sent keeps its pool for so long, the time in which
/// the pool's owner is asked whether it is there.
constexpr Duration ChoiceLasts = std::chrono::milliseconds(50);
/// An owner is told that a caller has gone until it answers. A message that is
/// lost in a connection gone silent would leave the job running for nobody, and
/// the caller comes back after 1.3 s, perhaps to another pool.
constexpr Duration DropTimeout = std::chrono::milliseconds(150);
constexpr int MostDrops = 7;
/// A registrar names a pool, which may refuse the job while the registrar has
/// not heard of that; after so many turns the job is refused.
constexpr std::size_t MostRedirections = 4;
/// Left to the owner's answer for its way back.
constexpr Duration AnswerMargin = std::chrono::milliseconds(10);

/// A process starts later than the one before it at the same address.
std::uint64_t incarnationAt(const IClock &Clock) {
  return static_cast<std::uint64_t>(std::max<WallMillis>(Clock.wallNow(), 1));
}

} // namespace

EntryJobs::EntryJobs(EntryNeeds Needs, EntryPlace Self,
                     std::vector<Endpoint> ControlVms, RoutingReader Reader,
                     LeaseSettings Lease)
    : Needs_(Needs), Self_(std::move(Self.At)),
      DataCentre_(std::move(Self.DataCentre)), Reader_(std::move(Reader)),
      Lease_(Lease),
      Control_(std::move(ControlVms), Needs.Client, Needs.Clock, Needs.Timers,
               {[this] { return askControl(); },
                [this](const Json::Value &Result, const Endpoint &From) {
                  takeControl(Result, From);
                },
                [this] { return !ready(); }}),
      StartedAt_(Needs.Clock.now()), Incarnation_(incarnationAt(Needs.Clock)) {
  memberOf(poolOfAll(), DataCentre_);
}

void EntryJobs::start() {
  Needs_.Server.method(wire::method::Ping,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerPing(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Run,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerRun(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Drop,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerDrop(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Register,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerRegister(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Report,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         answerReport(Params, Answer);
                       });
  Control_.start();
  tick();
  pingAll();
}

bool EntryJobs::ready() const {
  if (RoutingFrom_ == ConfigVersion(0) || Stopping_)
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
    // It is answered, or a durable job, which goes on without its caller.
  };
  if (RoutingFrom_ == ConfigVersion(0)) {
    refuse(Request, notTaken("this entry has no configuration yet"), Done);
    return Nothing;
  }
  QueueMatch Where = findQueue(Routing_, Request.Host, Request.Path);
  if (!Where.Found) {
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
  Time Now = Needs_.Clock.now();
  auto What = std::make_shared<Ask>();
  What->Wanted = newJob(Where, Spec);
  What->Done = std::move(Done);
  What->Own = {Self_, Incarnation_, ++LastSerial_};
  What->Since = Now;
  What->GiveUp = Now + Request.Timeout;
  What->SearchUntil = Now + SearchTime;
  Asks_.insert(What);
  dispatch(What);
  return [this, What] { abandon(What); };
}

void EntryJobs::giveUpAfterPause(const AskPtr &What) {
  finish(What, notTaken("this entry stood still"));
}

bool EntryJobs::hasJustPaused() const {
  Time Now = Needs_.Clock.now();
  // The tick may not have noticed the pause yet.
  bool Unnoticed = TickedAt_ && Now - *TickedAt_ >= LongPause;
  return Unnoticed || (PausedUntil_ && Now - *PausedUntil_ < AfterPause);
}

void EntryJobs::abandon(const AskPtr &What) {
  if (Asks_.erase(What) == 0)
    return;
  ++What->Attempt;
  logEvent(LogLevel::Info, Module, "caller_gone", {{"job", What->Wanted.Id}});
  if (!What->SentTo)
    return;
  if (What->SentTo->At == Self_) {
    PoolMember *In = findPool(What->Pool);
    if (!dropIncoming(What->Wanted.Id, What->Own) && In && In->scheduler())
      In->scheduler()->dropWaiter(What->Wanted.Id, What->Own);
    return;
  }
  Json::Value Params(Json::objectValue);
  Params["job"] = What->Wanted.Id.value();
  writeAsker(*What, Params);
  tellDropped(What->SentTo->At, Params, MostDrops);
}

void EntryJobs::tellDropped(const Endpoint &To, const Json::Value &Params,
                            int Tries) {
  Needs_.Client.call(
      To, wire::method::Drop, Params, DropTimeout,
      [this, To, Params, Tries](const Outcome<Json::Value> &Result) {
        bool Refused = !Result && Result.error().Code == ErrorCode::Refused;
        if (!Result && !Refused && Tries > 1)
          tellDropped(To, Params, Tries - 1);
      });
}

void EntryJobs::state(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.state(Request, std::move(Done));
}

void EntryJobs::cancel(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ != ConfigVersion(0) &&
      !findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  Control_.cancel(Request, std::move(Done));
}

void EntryJobs::pending(const JobRequest &Request, Callback Done) {
  if (RoutingFrom_ == ConfigVersion(0))
    return Done(notTaken("this entry has no configuration yet"));
  if (!findQueue(Routing_, Request.Host, Request.Path).Found)
    return Done(outcome(JobOutcome::NoQueue));
  if (ControlSchedules_)
    return Control_.pending(Request, std::move(Done));
  // Transient jobs are not accepted before they end, so none is pending.
  Done(outcome(JobOutcome::Known));
}

PoolMember *EntryJobs::poolFor(const AskPtr &What) {
  PoolMember *Chosen = findPool(What->Pool);
  Time Now = Needs_.Clock.now();
  bool Stays = What->MaybeTaken || What->Registered ||
               Now - What->PoolChosen < ChoiceLasts;
  if (Stays && !What->Pool.value().empty())
    return Chosen;
  if (Chosen && !isReachable(*Chosen))
    Chosen->distrustLoad();
  Chosen = choosePool(What->Wanted, What->RefusedBy);
  What->PoolChosen = Now;
  if (Chosen)
    What->Pool = Chosen->name();
  return Chosen;
}

bool EntryJobs::isReachable(const PoolMember &In) const {
  const Endpoint &Owner = In.view().Owner.At;
  return In.isOwned() && (Owner == Self_ || hasFreshEcho(Owner));
}

void EntryJobs::dispatch(const AskPtr &What) {
  ++What->Attempt;
  What->SentTo.reset();
  PoolMember *In = poolFor(What);
  if (!In && !What->RefusedBy.empty())
    return finish(What, What->Refusal);
  if (!In && areAllEvacuated()) {
    JobAnswer ShutOut = notTaken("all data centres are evacuated");
    ShutOut.RetryAfter = RetryAfterEvacuation;
    return finish(What, ShutOut);
  }
  if (!In || In->view().Owner.Token == FencingToken(0))
    return park(What);
  const Endpoint &Owner = In->view().Owner.At;
  // An owner stops the jobs of entries that do not show that they hear it.
  if (Owner != Self_ && !isReachable(*In)) {
    ping(Owner, {In->name()});
    return park(What);
  }
  if (!In->isOwned() || (Owner == Self_ && !In->scheduler()))
    return park(What);
  What->SentTo = In->view().Owner;
  What->TakenBy = Owner;
  In->noteSent(What->Wanted);
  logEvent(LogLevel::Info, Module, "job_sent",
           {{"job", What->Wanted.Id},
            {"serial", What->Own.Serial},
            {"sending", What->Attempt},
            {"pool", In->name()},
            {"owner", Owner.text()},
            {"token", In->view().Owner.Token.value()},
            {"home", homeOfJob(What->Wanted.Id)},
            {"registered", What->Registered},
            {"maybe_taken", What->MaybeTaken},
            {"age_us", (Needs_.Clock.now() - What->Since).count()}});
  if (Owner == Self_)
    return runHere(What, *In);
  sendToOwner(What);
}

void EntryJobs::addSuspects(Ask &What) const {
  auto Found = Suspects_.find(What.Wanted.Id);
  if (Found != Suspects_.end())
    What.Wanted.Suspects = Found->second.Tasks;
}

void EntryJobs::runHere(const AskPtr &What, PoolMember &In) {
  Time Now = Needs_.Clock.now();
  addSuspects(*What);
  auto New = std::make_shared<Incoming>();
  New->Wanted = What->Wanted;
  New->How = {What->Own, Now - What->Since, What->GiveUp - Now,
              What->MaybeTaken};
  New->Home = homeOfJob(What->Wanted.Id);
  New->Ended = [this, What,
                Attempt = What->Attempt](const Outcome<TransientEnd> &Ended) {
    if (Attempt != What->Attempt)
      return;
    if (Ended)
      return settle(What, answerOfEnd(*Ended));
    What->MaybeTaken =
        What->MaybeTaken || Ended.error().Code != ErrorCode::Refused;
    park(What);
  };
  New->Elsewhere = [this, What, Attempt = What->Attempt](const PoolName &Pool) {
    if (Attempt == What->Attempt)
      registered(What, Pool);
  };
  takeIn(New, In);
}

void EntryJobs::registered(const AskPtr &What, const PoolName &Pool) {
  if (++What->Redirections > MostRedirections)
    return finish(What, What->RefusedBy.empty()
                            ? notTaken("it was sent from pool to pool")
                            : What->Refusal);
  What->Registered = true;
  What->Pool = Pool;
  What->PoolChosen = Needs_.Clock.now();
  dispatch(What);
}

void EntryJobs::settle(const AskPtr &What, const JobAnswer &Answer) {
  if (!tryElsewhere(What, Answer))
    finish(What, Answer);
}

void EntryJobs::sendToOwner(const AskPtr &What) {
  Duration Left = What->GiveUp - Needs_.Clock.now();
  addSuspects(*What);
  Json::Value Params(Json::objectValue);
  Params["job"] = wire::write(What->Wanted);
  writeAsker(*What, Params);
  PoolName HomeName = homeOfJob(What->Wanted.Id);
  if (!HomeName.value().empty())
    Params["home"] = HomeName.value();
  if (const PoolMember *Home = findPool(HomeName);
      Home && Home->view().Owner.Token != FencingToken(0))
    Params["registrar"] = Home->view().Owner.At.text();
  Params["left_us"] = Json::Int64(std::max(Left, Duration(1)).count());
  Params["age_us"] = Json::Int64((Needs_.Clock.now() - What->Since).count());
  Params["echo_us"] = Json::UInt64(Echoes_[What->SentTo->At].Stamp);
  if (What->MaybeTaken)
    Params["maybe_taken"] = true;
  Endpoint To = What->SentTo->At;
  Needs_.Client.call(To, wire::method::Run, std::move(Params),
                     std::max(Left, Duration(0)) + AnswerMargin,
                     [this, What, To, Attempt = What->Attempt](
                         const Outcome<Json::Value> &Result) {
                       answered(What, Attempt, To, Result);
                     });
}

void EntryJobs::writeAsker(const Ask &What, Json::Value &Params) const {
  Params["pool"] = What.Pool.value();
  Params["origin"] = Self_.text();
  Params["incarnation"] = Json::UInt64(Incarnation_);
  Params["serial"] = Json::UInt64(What.Own.Serial);
}

void EntryJobs::refuse(const JobRequest &Request, const JobAnswer &Answer,
                       const Callback &Done) const {
  logEvent(LogLevel::Warning, Module, "job_refused",
           {{"job", Request.Path.substr(Request.Path.rfind('/') + 1)},
            {"outcome", outcomeName(Answer.Outcome)},
            {"reason", Answer.Reason},
            {"host", Request.Host},
            {"path", Request.Path},
            {"configuration", RoutingFrom_}});
  Done(Answer);
}

void EntryJobs::prepareStop() {
  Stopping_ = true;
  for (auto &[Name, In] : Pools_)
    In->view().Stopping = true;
  followOwners();
  for (const auto &[To, About] : pingsDue(true))
    ping(To, About);
}

} // namespace geraniumbay::jobs
