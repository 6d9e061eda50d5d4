//===- rules.cpp - The rules on top of the inventory ----------------------===//
//
// Questions that other modules ask the rules.
//
//===----------------------------------------------------------------------===//

#include "inventory/rules.h"

#include <algorithm>

namespace geraniumbay::inventory {

bool isRepeatable(const Rules &Rules, const ServiceId &Service,
                  std::string_view Request) {
  auto Forbids = [&](const RequestKind &Kind) {
    return Kind.Service == Service &&
           (Kind.Request.empty() || Request.empty() || Kind.Request == Request);
  };
  return std::none_of(Rules.NotRepeatable.begin(), Rules.NotRepeatable.end(),
                      Forbids);
}

} // namespace geraniumbay::inventory
