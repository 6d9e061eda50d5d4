//===- baseservices.h - The framework's services of a process ---*- C++ -*-===//
//
// Opens the process's listeners and registers the framework's services.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_BASESERVICES_H
#define GERANIUMBAY_APP_INTERNAL_BASESERVICES_H

#include "framework/clock/systemclock.h"
#include "framework/kernel/registry.h"
#include "framework/metrics/metrics.h"
#include "framework/net/httpclient.h"
#include "framework/net/httpserver.h"
#include "framework/random/random.h"
#include "framework/rpc/rpcclient.h"
#include "framework/rpc/rpcserver.h"
#include "framework/trace/tracer.h"
#include "inventory/settings.h"

namespace geraniumbay::app {

/// What the process shares with others. Never logged.
struct Secrets {
  /// Shared by the system's processes; empty if there is no check.
  std::string PeerKey;
  /// Asked for by the administration; empty if there is no check.
  std::string AdminToken;
};

/// The framework's services of one process. Members are in the order in which
/// they need each other.
struct BaseServices {
  BaseServices(const inventory::ProcessSettings &Settings,
               const Secrets &Shared);

  /// Listens on the peers' and the administration's addresses of \p Settings.
  Ret listen(const inventory::ProcessSettings &Settings);
  /// Registers everything under the names of framework/kernel/names.h.
  void registerAll(Registry &Services);

  SystemClock Clock;
  Random Numbers;
  EventLoop Loop;
  Metrics Measured;
  Tracer Spans;
  HttpClient Http;
  HttpServer Callers;
  HttpServer Peers;
  HttpServer Admin;
  RpcServer PeerRpc;
  RpcServer AdminRpc;
  RpcClient Rpc;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_BASESERVICES_H
