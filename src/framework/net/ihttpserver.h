//===- ihttpserver.h - Serving HTTP -----------------------------*- C++ -*-===//
//
// What a module uses to answer HTTP requests on one listening address.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_IHTTPSERVER_H
#define GERANIUMBAY_FRAMEWORK_NET_IHTTPSERVER_H

#include "framework/net/httpmessage.h"

#include <functional>
#include <memory>

namespace geraniumbay {

/// One request and the chance to answer it, now or later.
class IHttpExchange {
public:
  virtual ~IHttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  /// Sends the answer. The first call counts; later ones, and those after the
  /// client has gone, do nothing.
  virtual void reply(HttpResponse Response) = 0;
  /// Calls \p Gone once if the client goes away before the answer is sent.
  virtual void onGone(std::function<void()> Gone) = 0;
};

/// Routes requests of one listener to handlers.
class IHttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<IHttpExchange>)>;

  virtual ~IHttpServer() = default;

  /// Sends requests of \p Method whose path is \p Path, or starts with it when
  /// \p Path ends in '/', to \p Handle. The longest matching path wins.
  virtual void route(const std::string &Method, const std::string &Path,
                     Handler Handle) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_IHTTPSERVER_H
