//===- registrar.cpp - The registers of the homes that this entry owns ----===//
//
// Answers to the owners of pools that ask before they start a job, and the
// reports of those owners from which a new registrar learns what its
// predecessors have agreed to.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// An owner is asked again for its report after this time.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);
/// The same after its answer, at first and at most: after a loss of all each
/// new registrar asks the owners of all pools.
constexpr Duration FirstReportPause = std::chrono::milliseconds(50);
constexpr Duration LongestReportPause = std::chrono::milliseconds(400);

} // namespace

JobRegister *EntryJobs::registerOf(const PoolName &Home) {
  PoolMember *In = findPool(Home);
  bool Owns = Plan_ == PoolPlan::ByRack && In && In->scheduler() &&
              ownsPool(In->view()) && In->dataCentre() == DataCentre_;
  if (!Owns) {
    Registers_.erase(Home);
    return nullptr;
  }
  FencingToken Token = In->scheduler()->token();
  auto Found = Registers_.find(Home);
  if (Found != Registers_.end() && Found->second.token() == Token)
    return &Found->second;
  // Under another token somebody else may have agreed to claims.
  Registers_.erase(Home);
  return &Registers_.try_emplace(Home, Token, Deps_.Clock.now()).first->second;
}

void EntryJobs::collectReports() {
  for (const auto &[Home, In] : Pools_) {
    JobRegister *Of = registerOf(Home);
    if (!Of || Of->isComplete())
      continue;
    // Others are likely to be ready when this owner is.
    if (In->scheduler()->hasTakenOver())
      for (const auto &[Pool, Member] : Pools_)
        if (!Of->hasReported(Pool))
          askForReport(Home, *Of, *Member);
    completeIfKnown(Home, *Of);
  }
}

void EntryJobs::completeIfKnown(const PoolName &Home, JobRegister &Of) {
  std::vector<PoolName> Near;
  std::vector<PoolName> Far;
  for (const auto &[Name, In] : Pools_)
    (In->dataCentre() == DataCentre_ ? Near : Far).push_back(Name);
  Time Now = Deps_.Clock.now();
  if (!Of.completeWith(Near, Far, Now))
    return;
  std::string Missing;
  for (const auto &[Name, In] : Pools_)
    if (!Of.hasReported(Name))
      Missing += (Missing.empty() ? "" : ",") + Name.value();
  logEvent(LogLevel::Info, Module, "register_complete",
           {{"home", Home},
            {"token", Of.token().value()},
            {"pools", Pools_.size()},
            {"missing", Missing},
            {"claims", Of.size()},
            {"took_us", (Now - Of.since()).count()}});
}

void EntryJobs::askForReport(const PoolName &Home, JobRegister &Of,
                             PoolMember &About) {
  if (About.scheduler()) {
    FencingToken &Heeded = Heeded_[Home];
    if (!About.scheduler()->hasTakenOver() || Heeded > Of.token())
      return;
    Heeded = Of.token();
    Of.takeReport({About.name(), About.scheduler()->token(), LastQuestion_},
                  jobsAtHome(Home, *About.scheduler()), Deps_.Clock.now());
    return;
  }
  const OwnerClaim &Owner = About.view().Owner;
  std::pair<PoolName, PoolName> Question{Home, About.name()};
  if (Owner.Token == FencingToken(0) || Owner.At == Self_)
    return;
  Time Now = Deps_.Clock.now();
  ReportQuestion &Asked = ReportsAsked_[Question];
  if (Asked.Of != Of.token())
    Asked = {Of.token(), Time(), FirstReportPause};
  if (Now < Asked.NotBefore)
    return;
  Asked.NotBefore = Now + ReportTimeout;
  Json::Value Params(Json::objectValue);
  Params["home"] = Home.value();
  Params["token"] = Json::UInt64(Of.token().value());
  Params["pool"] = About.name().value();
  Deps_.Client.call(
      Owner.At, wire::method::Report, std::move(Params), ReportTimeout,
      [this, Question, Token = Of.token()](const Outcome<Json::Value> &Result) {
        ReportQuestion &Asked = ReportsAsked_[Question];
        Asked.NotBefore = Deps_.Clock.now() + Asked.Pause;
        Asked.Pause = std::min(Asked.Pause * 2, LongestReportPause);
        takeReport(Question.first, Token, Question.second, Result);
      });
}

void EntryJobs::takeReport(const PoolName &Home, FencingToken Token,
                           const PoolName &Pool,
                           const Outcome<Json::Value> &Result) {
  JobRegister *Of = registerOf(Home);
  if (!Result || !Of || Of->token() != Token)
    return;
  Time Now = Deps_.Clock.now();
  noteHeeded(Home, FencingToken(wire::numberOf(*Result, "heeded")));
  if (!(*Result)["jobs"].isArray())
    return Of->noteNotYet(Now);
  // Another owner of that pool may have jobs that this one has not.
  FencingToken PoolToken(wire::numberOf(*Result, "token"));
  const PoolMember *About = findPool(Pool);
  if (!About || PoolToken < About->view().Owner.Token)
    return;
  std::vector<JobId> Jobs;
  for (const Json::Value &Each : (*Result)["jobs"])
    if (Each.isString())
      Jobs.emplace_back(Each.asString());
  Of->takeReport({Pool, PoolToken, wire::numberOf(*Result, "question")}, Jobs,
                 Now);
  completeIfKnown(Home, *Of);
}

std::vector<JobId> EntryJobs::jobsAtHome(const PoolName &Home,
                                         const Scheduler &Of) const {
  const PoolMember *Named = findPool(Home);
  if (!Named)
    return {};
  std::vector<JobId> Jobs = Of.jobs();
  std::erase_if(Jobs, [&](const JobId &Id) {
    return homeOf(Id, homesIn(Named->dataCentre())) != Home;
  });
  return Jobs;
}

void EntryJobs::answerReport(const Json::Value &Params, const Reply &Answer) {
  auto Home = attempt([&] { return json::readString(Params, "home"); });
  if (!Home)
    return Answer(Home.error());
  PoolMember *In = poolOfMessage(Params);
  FencingToken Token(wire::numberOf(Params, "token"));
  FencingToken &Heeded = Heeded_[PoolName(*Home)];
  bool Knows = In && In->scheduler() && ownsPool(In->view()) &&
               In->scheduler()->hasTakenOver();
  Json::Value Result(Json::objectValue);
  Result["heeded"] = Json::UInt64(Heeded.value());
  if (!Knows || Token < Heeded)
    return Answer(std::move(Result));
  Heeded = Token;
  Result["token"] = Json::UInt64(In->scheduler()->token().value());
  Result["question"] = Json::UInt64(LastQuestion_);
  Result["jobs"] = Json::Value(Json::arrayValue);
  for (const JobId &Id : jobsAtHome(PoolName(*Home), *In->scheduler()))
    Result["jobs"].append(Id.value());
  Answer(std::move(Result));
}

void EntryJobs::noteHeeded(const PoolName &Home, FencingToken Heeded) {
  PoolMember *In = findPool(Home);
  if (In && In->scheduler() && Heeded > In->scheduler()->token())
    noteHighest(In->view(), Heeded);
}

JobRegister *EntryJobs::completeRegisterOf(const PoolName &Home) {
  JobRegister *Of = registerOf(Home);
  // After a pause another registrar may be there.
  if (!Of || !Of->isComplete() || hasJustPaused())
    return nullptr;
  // This entry itself may have reported to another one.
  FencingToken Heeded = Heeded_[Home];
  noteHeeded(Home, Heeded);
  return Heeded > Of->token() ? nullptr : Of;
}

std::optional<ClaimAnswer>
EntryJobs::agreeTo(const PoolName &Home, const JobId &Id, const Claimant &By) {
  JobRegister *Of = completeRegisterOf(Home);
  if (!Of)
    return std::nullopt;
  ClaimAnswer Agreed = Of->claim(Id, By, Deps_.Clock.now());
  logEvent(LogLevel::Info, Module, "job_claimed",
           {{"job", Id},
            {"home", Home},
            {"token", Of->token().value()},
            {"wanted", By.Pool},
            {"owner_token", By.Token.value()},
            {"question", By.Question},
            {"pool", Agreed.Pool},
            {"had_by_other", Agreed.HadByOther},
            {"claims", Of->size()}});
  return Agreed;
}

void EntryJobs::releaseHere(const PoolName &Home, const JobId &Id,
                            const Claimant &By) {
  JobRegister *Of = registerOf(Home);
  if (!Of)
    return;
  Of->release(Id, By);
  logEvent(LogLevel::Info, Module, "job_released",
           {{"job", Id},
            {"home", Home},
            {"pool", By.Pool},
            {"question", By.Question}});
}

void EntryJobs::answerRegister(const Json::Value &Params, const Reply &Answer) {
  auto Name = attempt([&] { return json::readString(Params, "home"); });
  auto Releases = attempt([&] { return wire::readClaims(Params["releases"]); });
  auto Claims = attempt([&] { return wire::readClaims(Params["claims"]); });
  if (!Name || !Releases || !Claims)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  PoolName Home(*Name);
  noteHeeded(Home, FencingToken(wire::numberOf(Params, "heeded")));
  const JobRegister *Of = completeRegisterOf(Home);
  if (!Of)
    return Answer(Error{ErrorCode::Unavailable,
                        "not the registrar, or it does not know all claims"});
  RegistrarWord Word{Of->token(), {}};
  for (const auto &[Job, By] : *Releases)
    releaseHere(Home, Job, By);
  for (const auto &[Job, By] : *Claims)
    if (auto Agreed = agreeTo(Home, Job, By))
      Word.Answers.push_back(*Agreed);
  Answer(wire::write(Word));
}

} // namespace geraniumbay::jobs
