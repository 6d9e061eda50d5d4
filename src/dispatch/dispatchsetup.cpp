//===- dispatchsetup.cpp - Registers the services of dispatch -------------===//
//
// Resolves by name what the constructors need.
//
//===----------------------------------------------------------------------===//

#include "dispatch/dispatchsetup.h"

#include "dispatch/internal/poolclient.h"
#include "dispatch/internal/poolservice.h"
#include "framework/kernel/names.h"

namespace geraniumbay::dispatch {

void setupDispatch(Registry &Services, const DispatchSettings &Settings) {
  namespace base = geraniumbay::service_name;
  auto &Clock = Services.get<IClock>(base::Clock);
  auto &Timers = Services.get<ITimers>(base::Timers);
  auto &Server = Services.get<IRpcServer>(base::RpcServer);
  auto &Client = Services.get<IRpcClient>(base::RpcClient);
  auto &Directory = Services.get<IPoolDirectory>(service_name::PoolDirectory);
  Services.add<IPoolOwner>(service_name::PoolOwner,
                           std::make_shared<PoolService>(Clock, Timers, Server,
                                                         Client, Directory,
                                                         Settings.Pool));
  Services.add<IPoolClient>(service_name::PoolClient,
                            std::make_shared<PoolClient>(Clock, Timers, Server,
                                                         Client, Directory,
                                                         Settings.Route));
}

} // namespace geraniumbay::dispatch
