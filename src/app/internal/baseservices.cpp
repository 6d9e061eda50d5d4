//===- baseservices.cpp - The framework's services of a process -----------===//
//
// Builds the framework's services from the process's settings.
//
//===----------------------------------------------------------------------===//

#include "app/internal/baseservices.h"

#include "framework/kernel/names.h"
#include "framework/log/log.h"

#include <random>

namespace geraniumbay::app {

namespace {

constexpr double PercentToShare = 0.01;

std::uint64_t systemSeed() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

HttpServerLimits serverLimits(const inventory::ListenerLimits &Limits) {
  HttpServerLimits Result;
  Result.MaxBodyBytes = Limits.MaxBody.value();
  Result.MaxConnections = Limits.MaxConnections;
  Result.RequestTimeout = Limits.RequestTimeout;
  return Result;
}

TracerSettings tracerSettings(const inventory::ProcessSettings &Settings) {
  TracerSettings Result;
  Result.Process = Settings.Process.Vm.value();
  Result.File = Settings.Trace.File;
  Result.SampleShare = Settings.Trace.Sample.value() * PercentToShare;
  return Result;
}

Ret listenOn(HttpServer &Server, const char *Name, const Endpoint &Address) {
  BOOST_LEAF_AUTO(Taken, Server.listen(Address));
  logEvent(LogLevel::Info, "app", "listening",
           {{"interface", Name}, {"address", Taken.text()}});
  return {};
}

} // namespace

BaseServices::BaseServices(const inventory::ProcessSettings &Settings,
                           const Secrets &Shared)
    : Numbers(systemSeed()), Loop(Clock),
      Spans(Clock, Numbers, tracerSettings(Settings)),
      Http(Loop, HttpClientLimits()),
      Callers(Loop, serverLimits(Settings.Limits)),
      Peers(Loop, serverLimits(Settings.Limits)),
      Admin(Loop, serverLimits(Settings.Limits)),
      PeerRpc(Peers, Shared.PeerKey), AdminRpc(Admin, Shared.AdminToken),
      Rpc(Http, Shared.PeerKey, RpcEncoding::Cbor) {}

Ret BaseServices::listen(const inventory::ProcessSettings &Settings) {
  const inventory::ProcessIdentity &Own = Settings.Process;
  // An entry opens its callers' address when it is ready to serve.
  BOOST_LEAF_CHECK(listenOn(Peers, "peers", Own.Peer));
  if (Own.Admin)
    BOOST_LEAF_CHECK(listenOn(Admin, "admin", *Own.Admin));
  return {};
}

void BaseServices::registerAll(Registry &Services) {
  namespace kernel = geraniumbay::service_name;
  Services.addOwned<IClock>(kernel::Clock, Clock);
  Services.addOwned<ITimers>(kernel::Timers, Loop.timers());
  Services.addOwned<Random>(kernel::Numbers, Numbers);
  Services.addOwned<Metrics>(kernel::Metrics, Measured);
  Services.addOwned<Tracer>(kernel::Tracer, Spans);
  Services.addOwned<IHttpClient>(kernel::HttpClient, Http);
  Services.addOwned<IHttpServer>(kernel::CallerServer, Callers);
  Services.addOwned<IHttpServer>(kernel::PeerServer, Peers);
  Services.addOwned<IHttpServer>(kernel::AdminServer, Admin);
  Services.addOwned<IRpcServer>(kernel::RpcServer, PeerRpc);
  Services.addOwned<IRpcClient>(kernel::RpcClient, Rpc);
}

} // namespace geraniumbay::app
