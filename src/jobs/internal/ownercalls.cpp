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
  WaiterId From = waiterOf(Params, *Origin);
  if (!dropIncoming(JobId(*Job), From) && In && In->scheduler())
    In->scheduler()->dropWaiter(JobId(*Job), From);
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
  // As while this VM stood still.
  if (!wasHeardRecently(*Origin)) {
    logEvent(LogLevel::Warning, Module, "job_stale",
             {{"job", Wanted->Id},
              {"origin", Origin->text()},
              {"serial", wire::numberOf(Params, "serial")}});
    return Answer(NotOwner(In, false));
  }
  auto New = std::make_shared<Incoming>();
  New->Wanted = std::move(*Wanted);
  New->ArrivalInfo = {
      waiterOf(Params, *Origin),
      Duration(static_cast<Duration::rep>(wire::numberOf(Params, "age_us"))),
      Duration(static_cast<Duration::rep>(*Left)),
      wire::isSet(Params, "maybe_taken")};
  if (Params["home"].isString())
    New->Home = PoolName(Params["home"].asString());
  if (auto At =
          attempt([&] { return wire::readEndpoint(Params, "registrar"); }))
    New->Registrar = *At;
  New->OnEnded = [Answer, NotOwner, In](const Outcome<TransientEnd> &Ended) {
    if (Ended)
      return Answer(wire::write(answerOfEnd(*Ended)));
    Answer(NotOwner(In, Ended.error().Code != ErrorCode::Refused));
  };
  New->OnRedirected = [Answer](const PoolName &Pool) {
    Json::Value Result(Json::objectValue);
    Result["registered"] = Pool.value();
    Answer(std::move(Result));
  };
  takeIn(New, *In);
}

bool EntryJobs::wasHeardRecently(const Endpoint &Origin) {
  return Origin == Self_ || Deps_.Clock.now() - Contacts_[Origin] < FreshEcho;
}

} // namespace geraniumbay::jobs
