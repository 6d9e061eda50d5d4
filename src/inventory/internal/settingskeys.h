//===- settingskeys.h - The tables of the settings' sections ----*- C++ -*-===//
//
// One table for each section of a process's settings.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_SETTINGSKEYS_H
#define GERANIUMBAY_INVENTORY_INTERNAL_SETTINGSKEYS_H

#include "inventory/internal/keyspec.h"
#include "inventory/settings.h"

namespace geraniumbay::inventory {

const KeyTable<ProcessIdentity> &processKeys();
const KeyTable<ControlSettings> &controlKeys();
const KeyTable<LogSettings> &logKeys();
const KeyTable<TraceSettings> &traceKeys();
const KeyTable<SecuritySettings> &securityKeys();
const KeyTable<ListenerLimits> &listenerKeys();

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_SETTINGSKEYS_H
