//===- ihttpclient.h - Sending HTTP requests --------------------*- C++ -*-===//
//
// What a module uses to send a request and get the whole response.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_IHTTPCLIENT_H
#define GERANIUMBAY_FRAMEWORK_NET_IHTTPCLIENT_H

#include "framework/clock/iclock.h"
#include "framework/errors/error.h"
#include "framework/net/endpoint.h"
#include "framework/net/httpmessage.h"
#include "framework/types/strongid.h"

#include <functional>

namespace geraniumbay {

/// The id of a running call; 0 is never one.
using HttpCallId = StrongId<struct HttpCallTag, std::uint64_t>;

/// Sends requests. A failed call says what is known about the request:
/// ErrorCode::Refused means that no byte of it was written, so it certainly
/// was not received; Timeout, Unavailable and Corrupt mean that it may have
/// been.
class IHttpClient {
public:
  using Callback = std::function<void(Outcome<HttpResponse>)>;

  virtual ~IHttpClient() = default;

  /// Sends \p Request and calls \p Done once with the whole response or the
  /// failure, within \p Timeout. Never calls \p Done before it returns.
  virtual HttpCallId call(const Endpoint &To, HttpRequest Request,
                          Duration Timeout, Callback Done) = 0;
  /// Gives the call up and closes its connection; its callback never runs.
  virtual void cancel(HttpCallId Id) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_IHTTPCLIENT_H
