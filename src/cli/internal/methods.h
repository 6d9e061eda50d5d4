//===- methods.h - The methods that commands call ---------------*- C++ -*-===//
//
// Names and fields of the messages to control VMs and admin interfaces, as in
// docs/CONTRACTS.md.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_METHODS_H
#define GERANIUMBAY_CLI_INTERNAL_METHODS_H

#include <json/value.h>

namespace geraniumbay::cli::method {

/// {operation, base, document} -> {version, failure}: the new version; or with
/// a failure the version in force.
constexpr const char *Propose = "control.propose";
/// {vm, process, incarnation, in_force, revision} -> {version, document,
/// ledgers}
constexpr const char *Watch = "control.watch";
/// {} -> {version, control_vms, voters, silent_voters, spare_voters, watchers,
/// history}
constexpr const char *ControlStatus = "control.status";
/// {data_centre, evacuate} -> {}
constexpr const char *Evacuate = "evacuation.order";
/// {} -> {evacuations: [{data_centre, since_ms, running, entries_behind}]}
constexpr const char *Evacuations = "evacuation.list";
/// {} -> fields for people; running: requests in flight
constexpr const char *AdminStatus = "admin.status";
/// {} -> the same
constexpr const char *AdminDrain = "admin.drain";

/// Whom a command calls itself when it watches; no VM can have this name.
constexpr const char *OperatorVm = "(operator)";

/// The parameters of a method that takes none.
inline Json::Value none() { return Json::Value(Json::objectValue); }

/// The parameters of Watch that ask for everything there is.
inline Json::Value watchAll() {
  Json::Value Params(Json::objectValue);
  Params["vm"] = OperatorVm;
  Params["process"] = "cli";
  Params["incarnation"] = 1;
  Params["in_force"] = 0;
  Params["revision"] = 0;
  return Params;
}

} // namespace geraniumbay::cli::method

#endif // GERANIUMBAY_CLI_INTERNAL_METHODS_H
