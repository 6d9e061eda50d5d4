//===- methods.h - The methods that commands call ---------------*- C++ -*-===//
//
// Names and fields of the messages to control VMs and admin interfaces, as in
// docs/CONTRACTS.md.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_METHODS_H
#define GERANIUMBAY_CLI_INTERNAL_METHODS_H

namespace geraniumbay::cli::method {

/// {operation, base, document} -> {version}
constexpr const char *Propose = "control.propose";
/// {} -> {version, document}
constexpr const char *Show = "control.show";
/// {} -> {changes: [{version, operation}]}
constexpr const char *History = "control.history";
/// {} -> fields for people
constexpr const char *ControlStatus = "control.status";
/// {} -> fields for people; running: requests in flight
constexpr const char *AdminStatus = "admin.status";
/// {} -> {}
constexpr const char *AdminDrain = "admin.drain";

} // namespace geraniumbay::cli::method

#endif // GERANIUMBAY_CLI_INTERNAL_METHODS_H
