//===- httpmessage.h - HTTP requests and responses --------------*- C++ -*-===//
//
// Plain HTTP messages with their whole body, as handlers and callers see them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_HTTPMESSAGE_H
#define GERANIUMBAY_FRAMEWORK_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay {

/// One header line. Names are compared without regard to case.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header \p Name, or null.
const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name);

/// A whole request.
struct HttpRequest {
  std::string Method = "GET";
  /// Path without the query, starting with '/'.
  std::string Path;
  /// What follows '?', without it.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
  /// Names the kind of message in metrics; empty: its path. Not sent.
  std::string Kind{};
};

/// A whole response.
struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_HTTPMESSAGE_H
