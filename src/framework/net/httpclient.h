//===- httpclient.h - Sending HTTP requests with h2o ------------*- C++ -*-===//
//
// HTTP/1.1 calls with kept-alive connections, on the loop.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_HTTPCLIENT_H
#define GERANIUMBAY_FRAMEWORK_NET_HTTPCLIENT_H

#include "framework/net/eventloop.h"
#include "framework/net/ihttpclient.h"

#include <cstddef>
#include <memory>

namespace geraniumbay {

/// Bounds of the client.
struct HttpClientLimits {
  /// Kept-alive connections to one peer.
  std::size_t MaxIdlePerPeer = 64;
  /// An idle connection is closed after this time. Something between the ends
  /// may lose track of an idle connection, so it is kept for a short time only.
  Duration IdleTimeout = std::chrono::seconds(2);
  /// Without a sign of life from the peer for about this long, a connection
  /// counts as lost even while a call waits on it.
  Duration SilenceTimeout = std::chrono::seconds(4);
  /// Largest response body, in bytes; a larger one fails as Corrupt.
  std::size_t MaxBodyBytes = std::size_t{16} * 1024 * 1024;
};

/// An IHttpClient on h2o's client.
class HttpClient : public IHttpClient {
public:
  /// Keeps \p Loop, which outlives the client.
  HttpClient(EventLoop &Loop, HttpClientLimits Limits);
  ~HttpClient() override;

  HttpCallId call(const Endpoint &To, HttpRequest Request, Duration Timeout,
                  Callback Done) override;
  void cancel(HttpCallId Id) override;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_HTTPCLIENT_H
