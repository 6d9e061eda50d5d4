//===- role.h - The roles of a process --------------------------*- C++ -*-===//
//
// What a process of the system does. One process may have several roles.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_ROLE_H
#define GERANIUMBAY_INVENTORY_ROLE_H

#include <optional>
#include <string_view>

namespace geraniumbay::inventory {

/// A role of a process.
enum class Role {
  Entry,   ///< Takes callers' requests and runs their tasks.
  Ledger,  ///< Keeps the durable record of its data centre's submissions.
  Control, ///< Takes part in the agreement on the configuration.
};

/// Returns the name of \p Value as settings and inventory write it.
const char *roleName(Role Value);

/// Returns the role called \p Name, or nothing.
std::optional<Role> roleFromName(std::string_view Name);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_ROLE_H
