//===- ownercalls.cpp - What an owner does for other entries --------------===//
//
// Runs the jobs that entries send to the owner of a pool, and stops those whose
// callers have disconnected.
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
  PoolMember *Member = poolOfMessage(Params);
  WaiterId From = waiterOf(Params, *Origin);
  if (!dropIncoming(JobId(*Job), From) && Member && Member->scheduler())
    Member->scheduler()->dropWaiter(JobId(*Job), From);
  Answer(Json::Value(Json::objectValue));
}

void EntryJobs::answerRun(const Json::Value &Params, const Reply &Answer) {
  auto Wanted = attempt([&] { return wire::readJob(Params["job"]); });
  auto Origin = attempt([&] { return wire::readEndpoint(Params, "origin"); });
  auto Left = attempt([&] { return json::readUint(Params, "left_us"); });
  if (!Wanted || !Origin || !Left)
    return Answer(Error{ErrorCode::InvalidArgument, "malformed message"});
  auto NotOwner = [this](const PoolMember *Member, bool MaybeTaken) {
    Json::Value Result =
        Member ? Member->writeClaim() : Json::Value(Json::objectValue);
    Result["not_owner"] = true;
    if (MaybeTaken)
      Result["maybe_taken"] = true;
    return Result;
  };
  PoolMember *Member = poolOfMessage(Params);
  if (!Member || !Member->scheduler() || !ownsPool(Member->view()))
    return Answer(NotOwner(Member, false));
  noteIncarnation(*Origin, Params);
  noteEcho(*Origin, Params);
  // The message may have been delayed while this VM was paused.
  if (!wasHeardRecently(*Origin)) {
    logEvent(LogLevel::Warning, Module, "job_stale",
             {{"job", Wanted->Id},
              {"origin", Origin->text()},
              {"serial", wire::numberOf(Params, "serial")}});
    return Answer(NotOwner(Member, false));
  }
  auto Request = std::make_shared<Incoming>();
  Request->Wanted = std::move(*Wanted);
  Request->ArrivalInfo = {
      waiterOf(Params, *Origin),
      Duration(static_cast<Duration::rep>(wire::numberOf(Params, "age_us"))),
      Duration(static_cast<Duration::rep>(*Left)),
      wire::isSet(Params, "maybe_taken"),
      {}};
  if (Params["sent_elsewhere_us"].isUInt64())
    Request->ArrivalInfo.SentElsewhereAgo = Duration(static_cast<Duration::rep>(
        wire::numberOf(Params, "sent_elsewhere_us")));
  if (Params["home"].isString())
    Request->Home = PoolName(Params["home"].asString());
  if (auto At =
          attempt([&] { return wire::readEndpoint(Params, "registrar"); }))
    Request->Registrar = *At;
  Request->OnEnded = [Answer, NotOwner,
                      Member](const Outcome<TransientEnd> &Ended) {
    if (Ended)
      return Answer(wire::write(answerOfEnd(*Ended)));
    Answer(NotOwner(Member, Ended.error().Code != ErrorCode::Refused));
  };
  Request->OnRedirected = [Answer](const PoolName &Pool) {
    Json::Value Result(Json::objectValue);
    Result["registered"] = Pool.value();
    Answer(std::move(Result));
  };
  admitJob(Request, *Member);
}

bool EntryJobs::wasHeardRecently(const Endpoint &Origin) {
  return Origin == Self_ ||
         Deps_.Clock.now() - ConfirmedUntil_[Origin] < MaxEchoAge;
}

} // namespace geraniumbay::jobs
