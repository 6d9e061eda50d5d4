//===- target.h - Whom a command talks to -----------------------*- C++ -*-===//
//
// Works out addresses and secrets from the flags, or from the settings of a
// process that --settings names.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_TARGET_H
#define GERANIUMBAY_CLI_INTERNAL_TARGET_H

#include "cli/options.h"
#include "framework/errors/error.h"
#include "framework/net/endpoint.h"

#include <string>
#include <vector>

namespace geraniumbay::cli {

/// Processes that offer the same, and the secret to show them.
struct Target {
  /// Never empty.
  std::vector<Endpoint> Addresses;
  /// Empty if none is needed.
  std::string Secret;
};

// Each fails with InvalidArgument if nothing says where to go, and with the
// failures of reading the files.

/// The control VMs: --control and --key_file, or --settings.
RetVal<Target> controlTarget(const Options &Values);
/// One process's admin interface: --admin and --token_file, or --settings.
RetVal<Target> adminTarget(const Options &Values);
/// The entries, for a caller: --entry, or --settings.
RetVal<Target> entryTarget(const Options &Values);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_TARGET_H
