//===- controlsetup.cpp - Wiring of the control module --------------------===//
//
// Looks up what the services need and passes it through their constructors.
//
//===----------------------------------------------------------------------===//

#include "control/controlsetup.h"

#include "control/internal/configsource.h"
#include "control/internal/controlclient.h"
#include "control/internal/controlservice.h"
#include "control/internal/peerfetch.h"
#include "framework/kernel/names.h"

namespace geraniumbay::control {

namespace framework_name = geraniumbay::service_name;

void setUpConfig(Registry &Services, ConfigSourceOptions Options) {
  auto &Client = Services.get<IRpcClient>(framework_name::RpcClient);
  auto &Timers = Services.get<ITimers>(framework_name::Timers);
  auto Storage = Services.find<IStorage>(service_name::ConfigStorage);
  Services.add<IControlClient>(
      service_name::ControlClient,
      std::make_shared<ControlClient>(Options.ControlVms, Client, Timers));
  if (!Options.FromPeer && Options.Peers)
    Options.FromPeer = fetchFrom(Client, Options.Peers);
  auto Source = std::make_shared<ConfigSource>(std::move(Options), Client,
                                               Timers, Storage.get());
  Services.add<IConfigSource>(service_name::ConfigSource, Source);
  offerToPeers(Services.get<IRpcServer>(framework_name::RpcServer), *Source);
  Source->start();
}

Ret setUpControlVm(Registry &Services, ControlOptions Options) {
  auto Service = std::make_shared<ControlService>(
      std::move(Options), Services.get<IStorage>(service_name::ControlStorage),
      Services.get<IClock>(framework_name::Clock),
      Services.get<ITimers>(framework_name::Timers),
      Services.get<IRpcServer>(framework_name::RpcServer),
      Services.get<IRpcClient>(framework_name::RpcClient),
      Services.get<Metrics>(framework_name::Metrics));
  Services.add<ControlService>(service_name::ControlVm, Service);
  Services.add<IReplicatedLog>(service_name::ReplicatedLog, Service);
  return Service->start();
}

} // namespace geraniumbay::control
