//===- controlsetup.h - Wiring of the control module ------------*- C++ -*-===//
//
// Builds the module's services and registers them by name. Needs "clock",
// "timers" and "rpc_client"; on a control VM also "rpc_server", "metrics" and
// "control_storage"; "config_storage" is used if it is there.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONTROLSETUP_H
#define GERANIUMBAY_CONTROL_CONTROLSETUP_H

#include "control/configsourceoptions.h"
#include "control/controloptions.h"
#include "framework/kernel/registry.h"

#include <optional>

namespace geraniumbay::control {

namespace service_name {

// Registered by this module.
constexpr const char *ConfigSource = "config_source";   ///< IConfigSource
constexpr const char *ControlClient = "control_client"; ///< IControlClient
constexpr const char *ControlVm = "control_vm";         ///< ControlService
constexpr const char *ReplicatedLog = "replicated_log"; ///< IReplicatedLog

// Looked up by this module.
constexpr const char *ControlStorage = "control_storage"; ///< IStorage
constexpr const char *ConfigStorage = "config_storage";   ///< IStorage

} // namespace service_name

/// Registers IConfigSource and IControlClient, which every process has, and
/// starts to ask control.
void setUpConfig(Registry &Services, ConfigSourceOptions Options);

/// Registers and starts this process's control VM. Fails with Io if its disk
/// cannot be used.
Ret setUpControlVm(Registry &Services, ControlOptions Options);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_CONTROLSETUP_H
