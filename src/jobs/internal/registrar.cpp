//===- registrar.cpp - Job registers of the homes of this entry -----------===//
//
// Answers to the owners of pools that claim jobs before they start them, and
// the reports of those owners from which a new registrar learns what its
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
/// A request for an owner's report is repeated if it has not been answered.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);
/// The delay before an owner that has answered is asked again. It doubles with
/// each answer, since after a loss of all processes each new registrar asks the
/// owners of all pools.
constexpr Duration MinReportPause = std::chrono::milliseconds(50);
constexpr Duration MaxReportPause = std::chrono::milliseconds(400);

} // namespace

JobRegister *EntryJobs::registerOf(const PoolName &Home) {
  PoolMember *Member = findPool(Home);
  bool Owns = Plan_ == PoolPlan::ByRack && Member && Member->scheduler() &&
              ownsPool(Member->view()) && Member->dataCentre() == DataCentre_;
  if (!Owns) {
    Registers_.erase(Home);
    return nullptr;
  }
  FencingToken Token = Member->scheduler()->token();
  auto Found = Registers_.find(Home);
  if (Found != Registers_.end() && Found->second.token() == Token)
    return &Found->second;
  // With another token in between, another registrar may have agreed to claims.
  Registers_.erase(Home);
  return &Registers_.try_emplace(Home, Token, Deps_.Clock.now()).first->second;
}

void EntryJobs::collectReports() {
  for (const auto &[Home, Member] : Pools_) {
    JobRegister *Register = registerOf(Home);
    if (!Register || Register->isComplete())
      continue;
    for (const auto &[Pool, Other] : Pools_)
      Register->noteOwner(Pool, Other->view().Owner.Token);
    // The other owners are likely to be ready when this one is.
    if (Member->scheduler()->hasTakenOver())
      for (const auto &[Pool, Other] : Pools_)
        if (!Register->hasReported(Pool))
          requestReport(Home, *Register, *Other);
    completeIfKnown(Home, *Register);
  }
}

void EntryJobs::completeIfKnown(const PoolName &Home, JobRegister &Register) {
  std::vector<PoolName> Near;
  std::vector<PoolName> Far;
  for (const auto &[Name, Member] : Pools_)
    (Member->dataCentre() == DataCentre_ ? Near : Far).push_back(Name);
  Time Now = Deps_.Clock.now();
  if (!Register.updateCompleteness(Near, Far, Now))
    return;
  std::string Missing;
  for (const auto &[Name, Member] : Pools_)
    if (!Register.hasReported(Name))
      Missing += (Missing.empty() ? "" : ",") + Name.value();
  logEvent(LogLevel::Info, Module, "register_complete",
           {{"home", Home},
            {"token", Register.token().value()},
            {"pools", Pools_.size()},
            {"missing", Missing},
            {"claims", Register.size()},
            {"took_us", (Now - Register.since()).count()}});
}

void EntryJobs::requestReport(const PoolName &Home, JobRegister &Register,
                              PoolMember &Member) {
  if (Member.scheduler()) {
    FencingToken &AcceptedToken = AcceptedTokens_[Home];
    if (!Member.scheduler()->hasTakenOver() || AcceptedToken > Register.token())
      return;
    AcceptedToken = Register.token();
    Register.applyReport(
        {Member.name(), Member.scheduler()->token(), LastQuestion_},
        jobsAtHome(Home, *Member.scheduler()), Deps_.Clock.now());
    return;
  }
  const OwnerClaim &Owner = Member.view().Owner;
  std::pair<PoolName, PoolName> Question{Home, Member.name()};
  if (Owner.Token == FencingToken(0) || Owner.At == Self_)
    return;
  Time Now = Deps_.Clock.now();
  ReportRequest &Request = ReportRequests_[Question];
  if (Request.RegistrarToken != Register.token())
    Request = {Register.token(), Time(), MinReportPause};
  if (Now < Request.RetryAt)
    return;
  Request.RetryAt = Now + ReportTimeout;
  Json::Value Params(Json::objectValue);
  Params["home"] = Home.value();
  Params["token"] = Json::UInt64(Register.token().value());
  Params["pool"] = Member.name().value();
  Deps_.Client.call(
      Owner.At, wire::method::Report, std::move(Params), ReportTimeout,
      [this, Question,
       Token = Register.token()](const Outcome<Json::Value> &Result) {
        ReportRequest &Request = ReportRequests_[Question];
        Request.RetryAt = Deps_.Clock.now() + Request.Pause;
        Request.Pause = std::min(Request.Pause * 2, MaxReportPause);
        handleReportReply(Question.first, Token, Question.second, Result);
      });
}

void EntryJobs::handleReportReply(const PoolName &Home, FencingToken Token,
                                  const PoolName &Pool,
                                  const Outcome<Json::Value> &Result) {
  JobRegister *Register = registerOf(Home);
  if (!Result || !Register || Register->token() != Token)
    return;
  Time Now = Deps_.Clock.now();
  noteAcceptedToken(Home, FencingToken(wire::numberOf(*Result, "heeded")));
  if (!(*Result)["jobs"].isArray())
    return Register->noteNotReady(Now);
  // A later owner of that pool may have jobs that this one does not have.
  FencingToken PoolToken(wire::numberOf(*Result, "token"));
  const PoolMember *Member = findPool(Pool);
  if (!Member || PoolToken < Member->view().Owner.Token)
    return;
  std::vector<JobId> Jobs;
  for (const Json::Value &Each : (*Result)["jobs"])
    if (Each.isString())
      Jobs.emplace_back(Each.asString());
  Register->applyReport({Pool, PoolToken, wire::numberOf(*Result, "question")},
                        Jobs, Now);
  completeIfKnown(Home, *Register);
}

std::vector<JobId> EntryJobs::jobsAtHome(const PoolName &Home,
                                         const Scheduler &PoolScheduler) const {
  const PoolMember *HomeMember = findPool(Home);
  if (!HomeMember)
    return {};
  std::vector<JobId> Jobs = PoolScheduler.jobs();
  std::erase_if(Jobs, [&](const JobId &Id) {
    return homeOf(Id, homesIn(HomeMember->dataCentre())) != Home;
  });
  return Jobs;
}

void EntryJobs::answerReport(const Json::Value &Params, const Reply &Answer) {
  auto Home = attempt([&] { return json::readString(Params, "home"); });
  if (!Home)
    return Answer(Home.error());
  PoolMember *Member = poolOfMessage(Params);
  FencingToken Token(wire::numberOf(Params, "token"));
  FencingToken &AcceptedToken = AcceptedTokens_[PoolName(*Home)];
  bool CanReport = Member && Member->scheduler() && ownsPool(Member->view()) &&
                   Member->scheduler()->hasTakenOver();
  Json::Value Result(Json::objectValue);
  Result["heeded"] = Json::UInt64(AcceptedToken.value());
  if (!CanReport || Token < AcceptedToken)
    return Answer(std::move(Result));
  AcceptedToken = Token;
  Result["token"] = Json::UInt64(Member->scheduler()->token().value());
  Result["question"] = Json::UInt64(LastQuestion_);
  Result["jobs"] = Json::Value(Json::arrayValue);
  for (const JobId &Id : jobsAtHome(PoolName(*Home), *Member->scheduler()))
    Result["jobs"].append(Id.value());
  Answer(std::move(Result));
}

void EntryJobs::noteAcceptedToken(const PoolName &Home,
                                  FencingToken AcceptedToken) {
  PoolMember *Member = findPool(Home);
  if (Member && Member->scheduler() &&
      AcceptedToken > Member->scheduler()->token())
    noteHighest(Member->view(), AcceptedToken);
}

JobRegister *EntryJobs::completeRegisterOf(const PoolName &Home) {
  JobRegister *Register = registerOf(Home);
  // After a pause there may be another registrar.
  if (!Register || !Register->isComplete() || hasJustPaused())
    return nullptr;
  // This entry may itself have reported to another registrar.
  FencingToken AcceptedToken = AcceptedTokens_[Home];
  noteAcceptedToken(Home, AcceptedToken);
  return AcceptedToken > Register->token() ? nullptr : Register;
}

std::optional<ClaimAnswer> EntryJobs::registerClaim(const PoolName &Home,
                                                    const JobId &Id,
                                                    const Claimant &Claim) {
  JobRegister *Register = completeRegisterOf(Home);
  if (!Register)
    return std::nullopt;
  ClaimAnswer Agreed = Register->claim(Id, Claim, Deps_.Clock.now());
  logEvent(LogLevel::Info, Module, "job_claimed",
           {{"job", Id},
            {"home", Home},
            {"token", Register->token().value()},
            {"wanted", Claim.Pool},
            {"owner_token", Claim.Token.value()},
            {"question", Claim.Question},
            {"pool", Agreed.Pool},
            {"had_by_other", Agreed.HadOtherOwner},
            {"claims", Register->size()}});
  return Agreed;
}

void EntryJobs::releaseLocally(const PoolName &Home, const JobId &Id,
                               const Claimant &Claim) {
  JobRegister *Register = registerOf(Home);
  if (!Register)
    return;
  Register->release(Id, Claim);
  logEvent(LogLevel::Info, Module, "job_released",
           {{"job", Id},
            {"home", Home},
            {"pool", Claim.Pool},
            {"question", Claim.Question}});
}

void EntryJobs::answerRegister(const Json::Value &Params, const Reply &Answer) {
  auto Name = attempt([&] { return json::readString(Params, "home"); });
  auto Releases = attempt([&] { return wire::readClaims(Params["releases"]); });
  auto Claims = attempt([&] { return wire::readClaims(Params["claims"]); });
  if (!Name || !Releases || !Claims)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  PoolName Home(*Name);
  noteAcceptedToken(Home, FencingToken(wire::numberOf(Params, "heeded")));
  const JobRegister *Register = completeRegisterOf(Home);
  if (!Register)
    return Answer(Error{ErrorCode::Unavailable,
                        "not the registrar, or it does not know all claims"});
  RegistrarReply Result{Register->token(), {}};
  for (const auto &[Job, Claim] : *Releases)
    releaseLocally(Home, Job, Claim);
  for (const auto &[Job, Claim] : *Claims)
    if (auto Agreed = registerClaim(Home, Job, Claim))
      Result.Answers.push_back(*Agreed);
  Answer(wire::write(Result));
}

} // namespace geraniumbay::jobs
