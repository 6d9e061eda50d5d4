//===- dispatchsetup.h - Registers the services of dispatch -----*- C++ -*-===//
//
// The module's entry point. Needs the framework's clock, timers, RPC server
// and client, and an IPoolDirectory under service_name::PoolDirectory.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_DISPATCHSETUP_H
#define GERANIUMBAY_DISPATCH_DISPATCHSETUP_H

#include "dispatch/poolpolicy.h"
#include "dispatch/router.h"
#include "framework/kernel/registry.h"

namespace geraniumbay::dispatch {

namespace service_name {
constexpr const char *PoolDirectory = "pool_directory"; ///< IPoolDirectory
constexpr const char *PoolOwner = "pool_owner";         ///< IPoolOwner
constexpr const char *PoolClient = "pool_client";       ///< IPoolClient
} // namespace service_name

/// Settings of the module.
struct DispatchSettings {
  PoolPolicy Pool;
  RoutePolicy Route;
};

/// Registers IPoolOwner and IPoolClient.
void setupDispatch(Registry &Services, const DispatchSettings &Settings);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_DISPATCHSETUP_H
