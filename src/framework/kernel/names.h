//===- names.h - Names of the framework's services --------------*- C++ -*-===//
//
// The names under which the framework registers its services. A module's own
// names stand in its setup header.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_KERNEL_NAMES_H
#define GERANIUMBAY_FRAMEWORK_KERNEL_NAMES_H

namespace geraniumbay::service_name {

constexpr const char *Clock = "clock";               ///< IClock
constexpr const char *Timers = "timers";             ///< ITimers
constexpr const char *Numbers = "numbers";           ///< Random
constexpr const char *Metrics = "metrics";           ///< Metrics
constexpr const char *Tracer = "tracer";             ///< Tracer
constexpr const char *HttpClient = "http_client";    ///< IHttpClient
constexpr const char *CallerServer = "http_callers"; ///< IHttpServer
constexpr const char *PeerServer = "http_peers";     ///< IHttpServer
constexpr const char *AdminServer = "http_admin";    ///< IHttpServer
constexpr const char *RpcServer = "rpc_server";      ///< IRpcServer
constexpr const char *RpcClient = "rpc_client";      ///< IRpcClient

} // namespace geraniumbay::service_name

#endif // GERANIUMBAY_FRAMEWORK_KERNEL_NAMES_H
