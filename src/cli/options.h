//===- options.h - The command line as plain values -------------*- C++ -*-===//
//
// What the flags of a subcommand say. Each subcommand reads those that it
// lists in the table of commands; the others have their defaults.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_OPTIONS_H
#define GERANIUMBAY_CLI_OPTIONS_H

#include "framework/clock/iclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::cli {

/// The flags and the arguments after them.
struct Options {
  /// Arguments that are no flags: files.
  std::vector<std::string> Files;
  /// Output for programs instead of people.
  bool Json = false;

  // Whom to talk to.
  /// Settings file of a process, which names the addresses and secrets.
  std::string Settings;
  /// Peer addresses of control VMs, between commas.
  std::string Control;
  std::string KeyFile;
  /// Admin address of one process.
  std::string Admin;
  std::string TokenFile;
  /// Caller addresses of entries, between commas.
  std::string Entry;
  /// How long one exchange with the system may take.
  Duration Timeout = std::chrono::seconds(10);
  /// How long to wait for work to end (submit, drain, evacuate).
  Duration Wait = std::chrono::minutes(1);

  // check and apply.
  /// Document that the new one is compared with.
  std::string Against;
  std::string Operation;
  std::optional<std::uint64_t> Base;

  // evacuate.
  /// The evacuation ends.
  bool End = false;
  /// Wait until the order is obeyed.
  bool WaitObeyed = false;

  // submit.
  std::string Key;
  std::string Caller;
  std::string Service;
  std::string Request;
  /// Each line of the input is the payload of one task.
  bool Lines = false;
  std::uint64_t DeadlineMillis = 0;
};

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_OPTIONS_H
