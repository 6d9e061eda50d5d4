//===- cancelrelay.cpp - Cancelling wherever a job runs -------------------===//
//
// Asks all live entries at once.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/cancelrelay.h"

#include "framework/json/json.h"

#include <memory>

namespace geraniumbay::entry {

namespace {

constexpr const char *CancelMethod = "entry.cancel";
constexpr Duration AskTimeout = std::chrono::seconds(1);

/// Counts the answers of the entries that were asked.
struct Poll {
  std::size_t Open = 0;
  bool Found = false;
  CancelRelay::Callback Done;
};

void countAnswer(Poll &Asked, const Outcome<Json::Value> &Answer) {
  --Asked.Open;
  Asked.Found |=
      Answer.ok() && (*Answer)["found"].isBool() && (*Answer)["found"].asBool();
  if (Asked.Open == 0)
    Asked.Done(Asked.Found);
}

} // namespace

CancelRelay::CancelRelay(Coordinator &Submissions,
                         const membership::IMembership &Members,
                         IRpcServer &Server, IRpcClient &Client)
    : Submissions_(Submissions), Members_(Members), Client_(Client) {
  Server.method(CancelMethod, [this](const Json::Value &Params,
                                     const IRpcServer::Reply &Answer) {
    auto Id = attempt([&] { return json::readString(Params, "submission"); });
    if (!Id.ok())
      return Answer(Id.error());
    Json::Value Result(Json::objectValue);
    Result["found"] = Submissions_.cancel(SubmissionId(*Id));
    Answer(Result);
  });
}

void CancelRelay::cancel(const SubmissionId &Id, Callback Done) {
  if (Submissions_.cancel(Id))
    return Done(true);
  askOthers(Id, std::move(Done));
}

void CancelRelay::askOthers(const SubmissionId &Id, Callback Done) {
  auto Asked = std::make_shared<Poll>();
  Asked->Done = std::move(Done);
  std::vector<Endpoint> Others;
  for (const membership::EntryInfo &Entry : Members_.aliveEntries())
    if (Entry.Configured.Vm != Members_.self().Vm)
      Others.push_back(Entry.Configured.Address);
  if (Others.empty())
    return Asked->Done(false);
  Asked->Open = Others.size();
  Json::Value Params(Json::objectValue);
  Params["submission"] = Id.value();
  for (const Endpoint &Other : Others)
    Client_.call(Other, CancelMethod, Params, AskTimeout,
                 [Asked](const Outcome<Json::Value> &Answer) {
                   countAnswer(*Asked, Answer);
                 });
}

} // namespace geraniumbay::entry
