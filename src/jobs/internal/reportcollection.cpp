//===- reportcollection.cpp - What new registrars must know ---------------===//
//
// A new registrar learns from the reports of the owners of all pools what its
// predecessors have agreed to. After a loss of all every home has a new
// registrar. So one entry of a data centre, the collector, asks each owner for
// the reports to all homes of the data centre together, and the registrars ask
// it: the questions grow with the pools and not with their square.
//
// The collector only passes reports on. One that does not answer is replaced by
// the next owner; a registrar that finds none asks the owners itself.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

/// A question is given up after this time.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);
/// The pause after an answer that leaves something open, at first and at most.
constexpr Duration FirstReportPause = std::chrono::milliseconds(50);
constexpr Duration LongestReportPause = std::chrono::milliseconds(400);
/// Collectors that are tried before a registrar asks the owners itself.
constexpr std::size_t MostCollectors = 3;
/// What a collector has for a registrar that does not ask is kept for so long.
constexpr Duration CollectionLasts = std::chrono::seconds(2);

} // namespace

bool EntryJobs::ReportPace::isDue(Time Now) const { return Now >= NotBefore; }

void EntryJobs::ReportPace::noteAsked(Time Now) {
  NotBefore = Now + ReportTimeout;
}

void EntryJobs::ReportPace::noteAnswered(Time Now) {
  Pause = std::clamp(Pause * 2, FirstReportPause, LongestReportPause);
  NotBefore = Now + Pause;
}

void EntryJobs::collectReports() {
  Time Now = Needs_.Clock.now();
  for (const auto &[Home, In] : Pools_) {
    JobRegister *Of = registerOf(Home);
    if (!Of || Of->isComplete()) {
      ReportSearches_.erase(Home);
      continue;
    }
    // Others are likely to be ready when this owner is.
    if (In->scheduler()->hasTakenOver())
      askCollector(Home, *Of);
    completeIfKnown(Home, *Of);
  }
  std::erase_if(Collections_, [&](const auto &Entry) {
    return Now - Entry.second.AskedFor >= CollectionLasts;
  });
  if (!Collections_.empty())
    askOwnersForReports();
}

Endpoint EntryJobs::collectorAfter(std::size_t Failures) const {
  std::vector<Endpoint> Tried;
  for (const PoolName &Name : homesIn(DataCentre_)) {
    const PoolMember *In = findPool(Name);
    if (!In || !In->isOwned())
      continue;
    const Endpoint &Owner = In->view().Owner.At;
    if (std::find(Tried.begin(), Tried.end(), Owner) != Tried.end())
      continue;
    if (Tried.size() == Failures)
      return Owner;
    Tried.push_back(Owner);
    if (Tried.size() == MostCollectors)
      break;
  }
  return Self_;
}

void EntryJobs::askCollector(const PoolName &Home, JobRegister &Of) {
  Time Now = Needs_.Clock.now();
  ReportSearch &Search = ReportSearches_[Home];
  if (Search.Of != Of.token())
    Search = {Of.token(), 0, {}};
  for (const auto &[Pool, In] : Pools_) {
    bool Knows = In->scheduler() && In->scheduler()->hasTakenOver();
    if (!Knows || Of.hasReported(Pool))
      continue;
    Json::Value Homes(Json::objectValue);
    Homes[Home.value()] = Json::UInt64(Of.token().value());
    takeReport(Home, Of, Pool, reportsOn(*In, Homes)[Home.value()]);
  }
  Endpoint Collector = collectorAfter(Search.Failures);
  if (Collector == Self_)
    return takeReports(Home, Of.token(),
                       reportsFor(Home, Of.token(), reportedTo(Of)));
  if (!Search.Pace.isDue(Now))
    return;
  Search.Pace.noteAsked(Now);
  Json::Value Params(Json::objectValue);
  Params["home"] = Home.value();
  Params["token"] = Json::UInt64(Of.token().value());
  for (const PoolName &Each : reportedTo(Of))
    Params["known"].append(Each.value());
  Needs_.Client.call(
      Collector, wire::method::Reports, std::move(Params), ReportTimeout,
      [this, Home, Token = Of.token()](const Outcome<Json::Value> &Result) {
        auto Found = ReportSearches_.find(Home);
        if (Found == ReportSearches_.end() || Found->second.Of != Token)
          return;
        Found->second.Pace.noteAnswered(Needs_.Clock.now());
        if (!Result)
          ++Found->second.Failures;
        else
          takeReports(Home, Token, (*Result)["reports"]);
      });
}

std::set<PoolName> EntryJobs::reportedTo(const JobRegister &Of) const {
  std::set<PoolName> Result;
  for (const auto &[Name, In] : Pools_)
    if (Of.hasReported(Name))
      Result.insert(Name);
  return Result;
}

void EntryJobs::answerReports(const Json::Value &Params, const Reply &Answer) {
  auto Home = attempt([&] { return json::readString(Params, "home"); });
  if (!Home)
    return Answer(Home.error());
  std::set<PoolName> Known;
  for (const Json::Value &Each : Params["known"])
    if (Each.isString())
      Known.insert(PoolName(Each.asString()));
  Json::Value Result(Json::objectValue);
  Result["reports"] = reportsFor(
      PoolName(*Home), FencingToken(wire::numberOf(Params, "token")), Known);
  Answer(std::move(Result));
}

Json::Value EntryJobs::reportsFor(const PoolName &Home, FencingToken Token,
                                  const std::set<PoolName> &Known) {
  Json::Value Result(Json::objectValue);
  ReportCollection &Of = Collections_[Home];
  if (Token < Of.Of)
    return Result;
  if (Token > Of.Of)
    Of = {Token, Time(), {}};
  Of.AskedFor = Needs_.Clock.now();
  for (const auto &[Pool, Report] : Of.Reports)
    if (Known.count(Pool) == 0)
      Result[Pool.value()] = Report;
  return Result;
}

bool EntryJobs::lacksReport(const ReportCollection &Of,
                            const PoolMember &About) {
  auto Found = Of.Reports.find(About.name());
  return Found == Of.Reports.end() || !Found->second["jobs"].isArray() ||
         FencingToken(wire::numberOf(Found->second, "token")) <
             About.view().Owner.Token;
}

void EntryJobs::askOwnersForReports() {
  Time Now = Needs_.Clock.now();
  for (const auto &[Pool, About] : Pools_) {
    Json::Value Homes(Json::objectValue);
    for (const auto &[Home, Of] : Collections_)
      if (lacksReport(Of, *About))
        Homes[Home.value()] = Json::UInt64(Of.Of.value());
    ReportPace &Pace = OwnersAsked_[Pool];
    const OwnerClaim &Owner = About->view().Owner;
    if (Homes.empty() || Owner.Token == FencingToken(0)) {
      Pace.Pause = Duration(0);
      continue;
    }
    if (About->scheduler()) {
      keepReports(Pool, reportsOn(*About, Homes));
      continue;
    }
    if (Owner.At == Self_ || !Pace.isDue(Now))
      continue;
    Pace.noteAsked(Now);
    Json::Value Params(Json::objectValue);
    Params["pool"] = Pool.value();
    Params["homes"] = std::move(Homes);
    Needs_.Client.call(Owner.At, wire::method::Report, std::move(Params),
                       ReportTimeout,
                       [this, Pool = Pool](const Outcome<Json::Value> &Result) {
                         OwnersAsked_[Pool].noteAnswered(Needs_.Clock.now());
                         if (Result)
                           keepReports(Pool, (*Result)["homes"]);
                       });
  }
}

void EntryJobs::keepReports(const PoolName &Pool, const Json::Value &Homes) {
  if (!Homes.isObject())
    return;
  for (const std::string &Home : Homes.getMemberNames()) {
    auto Of = Collections_.find(PoolName(Home));
    if (Of != Collections_.end() &&
        wire::numberOf(Homes[Home], "asked_by") == Of->second.Of.value())
      Of->second.Reports[Pool] = Homes[Home];
  }
}

void EntryJobs::takeReports(const PoolName &Home, FencingToken Token,
                            const Json::Value &Reports) {
  JobRegister *Of = registerOf(Home);
  if (!Of || Of->token() != Token || !Reports.isObject())
    return;
  for (const std::string &Pool : Reports.getMemberNames())
    takeReport(Home, *Of, PoolName(Pool), Reports[Pool]);
  completeIfKnown(Home, *Of);
}

void EntryJobs::takeReport(const PoolName &Home, JobRegister &Of,
                           const PoolName &Pool, const Json::Value &Report) {
  Time Now = Needs_.Clock.now();
  noteHeeded(Home, FencingToken(wire::numberOf(Report, "heeded")));
  if (!Report["jobs"].isArray())
    return Of.noteNotYet(Now);
  // Another owner of that pool may have jobs that this one has not.
  FencingToken PoolToken(wire::numberOf(Report, "token"));
  const PoolMember *About = findPool(Pool);
  if (!About || PoolToken < About->view().Owner.Token)
    return;
  std::vector<JobId> Jobs;
  for (const Json::Value &Each : Report["jobs"])
    if (Each.isString())
      Jobs.emplace_back(Each.asString());
  Of.takeReport({Pool, PoolToken, wire::numberOf(Report, "question")}, Jobs,
                Now);
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

Json::Value EntryJobs::reportsOn(const PoolMember &In,
                                 const Json::Value &Homes) {
  Json::Value Result(Json::objectValue);
  for (const std::string &Name : Homes.getMemberNames()) {
    PoolName Home(Name);
    FencingToken Token(wire::numberOf(Homes, Name.c_str()));
    FencingToken &Heeded = Heeded_[Home];
    Json::Value &Report = Result[Name];
    Report["asked_by"] = Json::UInt64(Token.value());
    Report["heeded"] = Json::UInt64(Heeded.value());
    bool Knows =
        In.scheduler() && ownsPool(In.view()) && In.scheduler()->hasTakenOver();
    if (!Knows || Token < Heeded)
      continue;
    Heeded = Token;
    Report["token"] = Json::UInt64(In.scheduler()->token().value());
    Report["question"] = Json::UInt64(LastQuestion_);
    Report["jobs"] = Json::Value(Json::arrayValue);
    for (const JobId &Id : jobsAtHome(Home, *In.scheduler()))
      Report["jobs"].append(Id.value());
  }
  return Result;
}

void EntryJobs::answerReport(const Json::Value &Params, const Reply &Answer) {
  PoolMember *In = poolOfMessage(Params);
  if (!In || !Params["homes"].isObject())
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  Json::Value Result(Json::objectValue);
  Result["homes"] = reportsOn(*In, Params["homes"]);
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
