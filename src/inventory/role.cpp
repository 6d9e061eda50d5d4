//===- role.cpp - The roles of a process ----------------------------------===//
//
// The names of the roles.
//
//===----------------------------------------------------------------------===//

#include "inventory/role.h"

namespace geraniumbay::inventory {

const char *roleName(Role Value) {
  switch (Value) {
  case Role::Entry:
    return "entry";
  case Role::Ledger:
    return "ledger";
  case Role::Control:
    return "control";
  }
  return "";
}

std::optional<Role> roleFromName(std::string_view Name) {
  for (Role Value : {Role::Entry, Role::Ledger, Role::Control})
    if (Name == roleName(Value))
      return Value;
  return std::nullopt;
}

} // namespace geraniumbay::inventory
