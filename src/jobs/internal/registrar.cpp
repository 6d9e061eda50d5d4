//===- registrar.cpp - The registers of the homes that this entry owns ----===//
//
// Answers to the owners of pools that ask before they start a job. What a new
// registrar must know before is in reportcollection.cpp.
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
  return &Registers_.try_emplace(Home, Token, Needs_.Clock.now()).first->second;
}

void EntryJobs::completeIfKnown(const PoolName &Home, JobRegister &Of) {
  std::vector<PoolName> Near;
  std::vector<PoolName> Far;
  for (const auto &[Name, In] : Pools_)
    (In->dataCentre() == DataCentre_ ? Near : Far).push_back(Name);
  Time Now = Needs_.Clock.now();
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
  ClaimAnswer Agreed = Of->claim(Id, By, Needs_.Clock.now());
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
