//===- process.h - One process of the system --------------------*- C++ -*-===//
//
// Builds the roles that the settings name, gives them the configuration, and
// runs them until a planned stop.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_PROCESS_H
#define GERANIUMBAY_APP_PROCESS_H

#include "framework/errors/error.h"
#include "inventory/settings.h"

#include <memory>

namespace geraniumbay::app {

/// A process with its roles.
class Process {
public:
  explicit Process(inventory::ProcessSettings Settings);
  ~Process();

  /// Reads secrets and opens files and listeners. Fails with Io, Conflict,
  /// Refused (a secret that others may read) or InvalidArgument.
  Ret start();
  /// Runs, once started, until a planned stop has ended; returns how many
  /// requests it cut off.
  std::size_t run();

private:
  struct Impl;

  const inventory::ProcessSettings Settings_;
  /// Null before start().
  std::unique_ptr<Impl> Impl_;
};

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_PROCESS_H
