//===- peerfetch.cpp - The configuration from other processes -------------===//
//
// One question and its answer.
//
//===----------------------------------------------------------------------===//

#include "control/internal/peerfetch.h"

#include "control/internal/wire.h"

namespace geraniumbay::control {

namespace {

constexpr const char *FetchMethod = "config.fetch";
constexpr Duration FetchTimeout = std::chrono::milliseconds(800);

} // namespace

PeerFetch fetchFrom(IRpcClient &Client,
                    std::function<std::vector<Endpoint>()> Peers) {
  auto Next = std::make_shared<std::size_t>(0);
  return [&Client, Peers = std::move(Peers),
          Next](ConfigVersion Known,
                std::function<void(Outcome<ConfigSnapshot>)> Done) {
    std::vector<Endpoint> All = Peers();
    if (All.empty())
      return;
    Json::Value Params(Json::objectValue);
    Params["version"] = Json::UInt64(Known.value());
    Client.call(
        All[(*Next)++ % All.size()], FetchMethod, std::move(Params),
        FetchTimeout,
        [Done = std::move(Done)](const Outcome<Json::Value> &Answer) {
          if (!Answer)
            return Done(Answer.error());
          Done(attempt([&] { return wire::readConfigSnapshot(*Answer); }));
        });
  };
}

void offerToPeers(IRpcServer &Server, const IConfigSource &Source) {
  Server.method(FetchMethod, [&Source](const Json::Value &Params,
                                       const IRpcServer::Reply &Answer) {
    auto Known = attempt(
        [&] { return wire::readNumber<ConfigVersion>(Params, "version"); });
    if (!Known)
      return Answer(Known.error());
    if (Source.current().Version < *Known)
      return Answer(Error{ErrorCode::NotFound, "nothing newer is known here"});
    Answer(wire::write(Source.current()));
  });
}

} // namespace geraniumbay::control
