//===- routetable.h - Which handler serves a path ---------------*- C++ -*-===//
//
// The routes of one server: exact paths, and prefixes that end in '/'.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_INTERNAL_ROUTETABLE_H
#define GERANIUMBAY_FRAMEWORK_NET_INTERNAL_ROUTETABLE_H

#include "framework/net/ihttpserver.h"

#include <map>

namespace geraniumbay {

/// The result of a look-up.
struct RouteMatch {
  /// Null if no route serves the request.
  const IHttpServer::Handler *Handle = nullptr;
  /// Whether another method of the same path is served.
  bool PathKnown = false;
};

/// Handlers by path and method.
class RouteTable {
public:
  void add(const std::string &Method, const std::string &Path,
           IHttpServer::Handler Handle);
  RouteMatch find(const std::string &Method, const std::string &Path) const;

private:
  using Methods = std::map<std::string, IHttpServer::Handler>;
  std::map<std::string, Methods> ByPath_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_INTERNAL_ROUTETABLE_H
