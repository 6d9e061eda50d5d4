//===- httpserver.h - Serving HTTP with h2o ---------------------*- C++ -*-===//
//
// One listening address, served by h2o on the loop.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_HTTPSERVER_H
#define GERANIUMBAY_FRAMEWORK_NET_HTTPSERVER_H

#include "framework/net/endpoint.h"
#include "framework/net/eventloop.h"
#include "framework/net/ihttpserver.h"

#include <cstddef>

namespace geraniumbay {

/// Bounds on what clients may take up.
struct HttpServerLimits {
  /// Largest request body, in bytes; a larger one gets status 413.
  std::size_t MaxBodyBytes = std::size_t{8} * 1024 * 1024;
  /// Open connections; more are accepted and closed at once.
  std::size_t MaxConnections = 2000;
  /// Time in which a client must have sent a whole request, and that an idle
  /// connection is kept.
  Duration RequestTimeout = std::chrono::seconds(10);
};

/// An IHttpServer on one address.
class HttpServer : public IHttpServer {
public:
  /// Keeps \p Loop, which outlives the server.
  HttpServer(EventLoop &Loop, HttpServerLimits Limits);
  ~HttpServer() override;

  void route(const std::string &Method, const std::string &Path,
             Handler Handle) override;

  /// Listens on \p Address; port 0 takes a free one. Returns the address taken.
  RetVal<Endpoint> listen(const Endpoint &Address);
  /// Lets each connection close after its next answer, so that clients come
  /// back elsewhere; new connections are still accepted.
  void closeAfterAnswers();
  /// Stops accepting connections and closes each kept one after its answer.
  void stopAccepting();
  /// How many requests have not been answered.
  std::size_t unanswered() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_HTTPSERVER_H
