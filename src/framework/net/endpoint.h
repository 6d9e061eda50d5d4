//===- endpoint.h - Where a peer listens ------------------------*- C++ -*-===//
//
// Peers are reached by IP number and port; names are never resolved.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_ENDPOINT_H
#define GERANIUMBAY_FRAMEWORK_NET_ENDPOINT_H

#include "framework/errors/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumbay {

/// An IPv4 number and a TCP port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default; // NOLINT
  bool operator==(const Endpoint &) const = default;

  /// "address:port".
  std::string text() const { return Address + ":" + std::to_string(Port); }
};

/// Reads "address:port"; the address must be a dotted IPv4 number.
RetVal<Endpoint> parseEndpoint(std::string_view Text);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_ENDPOINT_H
