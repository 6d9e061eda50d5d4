//===- listener.h - Opening a listening socket ------------------*- C++ -*-===//
//
// The system calls behind HttpServer::listen.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_INTERNAL_LISTENER_H
#define GERANIUMBAY_FRAMEWORK_NET_INTERNAL_LISTENER_H

#include "framework/net/endpoint.h"

namespace geraniumbay {

/// A listening socket and the address it got.
struct Listener {
  int Descriptor = -1;
  Endpoint Address;
};

/// Opens a listening socket on \p Address; port 0 takes a free port.
RetVal<Listener> openListener(const Endpoint &Address);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_INTERNAL_LISTENER_H
