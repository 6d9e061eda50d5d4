//===- ownercalls.cpp - What an owner does for other entries --------------===//
//
// Runs the jobs that entries send to the owner of a pool, and stops those whose
// callers have gone.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryask.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"
#include "jobs/internal/submission.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

} // namespace

WaiterId waiterOf(const Json::Value &From, const Endpoint &Origin) {
  return {Origin, wire::numberOf(From, "incarnation"),
          wire::numberOf(From, "serial")};
}

void EntryJobs::answerDrop(const Json::Value &Params, const Reply &Answer) {
  auto Job = attempt([&] { return json::readString(Params, "job"); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  if (!Job || !Origin)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  PoolMember *In = poolOfMessage(Params);
  if (In && In->scheduler())
    In->scheduler()->dropWaiter(JobId(*Job), waiterOf(Params, *Origin));
  Answer(Json::Value(Json::objectValue));
}

void EntryJobs::answerRun(const Json::Value &Params, const Reply &Answer) {
  auto Wanted = attempt([&] { return wire::readJob(Params["job"]); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  auto Left = attempt([&] { return json::readUint(Params, "left_us"); });
  if (!Wanted || !Origin || !Left)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  auto NotOwner = [this](const PoolMember *In, bool MaybeTaken) {
    Json::Value Result = In ? In->writeClaim() : Json::Value(Json::objectValue);
    Result["not_owner"] = true;
    if (MaybeTaken)
      Result["maybe_taken"] = true;
    return Result;
  };
  PoolMember *In = poolOfMessage(Params);
  if (!In || !In->scheduler() || !ownsPool(In->view()))
    return Answer(NotOwner(In, false));
  noteIncarnation(*Origin, Params);
  noteEcho(*Origin, Params);
  // A message that has lain here, as while this VM stood still: the job's
  // caller may have come back at another entry meanwhile, and be served
  // elsewhere.
  if (Needs_.Clock.now() - Contacts_[*Origin] >= FreshEcho) {
    logEvent(LogLevel::Warning, Module, "job_stale",
             {{"job", Wanted->Id}, {"origin", Origin->text()}});
    return Answer(NotOwner(In, false));
  }
  JobId Id = Wanted->Id;
  WaiterId From = waiterOf(Params, *Origin);
  bool AtHome = wire::isSet(Params, "at_home");
  if (AtHome) {
    PoolName Claimed = claimFor(Id, From, In->name(), Params);
    if (Claimed != In->name()) {
      Json::Value Result(Json::objectValue);
      Result["registered"] = Claimed.value();
      return Answer(std::move(Result));
    }
  }
  Arrival How{
      From,
      Duration(static_cast<Duration::rep>(wire::numberOf(Params, "age_us"))),
      Duration(static_cast<Duration::rep>(*Left)),
      wire::isSet(Params, "maybe_taken")};
  In->scheduler()->run(std::move(*Wanted), How,
                       [this, Answer, NotOwner, In, From, AtHome,
                        Id](const Outcome<TransientEnd> &Ended) {
                         // What is refused here may go to any pool.
                         if (AtHome && wasRefused(Ended))
                           Register_.release(Id, From);
                         if (Ended)
                           return Answer(wire::write(answerOfEnd(*Ended)));
                         Answer(NotOwner(In, true));
                       });
}

} // namespace geraniumbay::jobs
