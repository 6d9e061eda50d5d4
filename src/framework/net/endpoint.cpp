//===- endpoint.cpp - Where a peer listens --------------------------------===//
//
// Reading "address:port".
//
//===----------------------------------------------------------------------===//

#include "framework/net/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace geraniumbay {

RetVal<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(ErrorCode::InvalidArgument, "no port; wanted address:port");

  Endpoint Result;
  Result.Address = std::string(Text.substr(0, Colon));
  in_addr Number{};
  // inet_pton reads up to a NUL byte.
  if (Result.Address.find('\0') != std::string::npos ||
      inet_pton(AF_INET, Result.Address.c_str(), &Number) != 1)
    return fail(ErrorCode::InvalidArgument, "not an IPv4 number");

  std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  auto Parsed = std::from_chars(Port.data(), End, Result.Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Result.Port == 0)
    return fail(ErrorCode::InvalidArgument, "not a port from 1 to 65535");
  return Result;
}

} // namespace geraniumbay
