//===- listener.cpp - Opening a listening socket --------------------------===//
//
// The system calls behind HttpServer::listen.
//
//===----------------------------------------------------------------------===//

#include "framework/net/internal/listener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumbay {

namespace {

constexpr int ListenBacklog = 1024;

auto systemFailure(const Endpoint &Address, const char *Step) {
  return fail(ErrorCode::Io, std::string(Step) + " " + Address.text() + ": " +
                                 std::strerror(errno));
}

} // namespace

RetVal<Listener> openListener(const Endpoint &Address) {
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Address.Port);
  if (inet_pton(AF_INET, Address.Address.c_str(), &Name.sin_addr) != 1)
    return fail(ErrorCode::InvalidArgument, "not an IPv4 number");

  Listener Result;
  Result.Address = Address;
  Result.Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Result.Descriptor < 0)
    return systemFailure(Address, "socket");
  int On = 1;
  setsockopt(Result.Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));

  auto *Bound = reinterpret_cast<sockaddr *>(&Name);
  socklen_t Size = sizeof(Name);
  if (bind(Result.Descriptor, Bound, Size) != 0 ||
      ::listen(Result.Descriptor, ListenBacklog) != 0 ||
      getsockname(Result.Descriptor, Bound, &Size) != 0) {
    auto Failure = systemFailure(Address, "listen on");
    close(Result.Descriptor);
    return Failure;
  }
  Result.Address.Port = ntohs(Name.sin_port);
  return Result;
}

} // namespace geraniumbay
