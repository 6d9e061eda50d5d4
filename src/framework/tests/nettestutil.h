//===- nettestutil.h - A loop with a server for tests -----------*- C++ -*-===//
//
// Turns a real loop until a condition holds, with a bound in turns.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_TESTS_NETTESTUTIL_H
#define GERANIUMBAY_FRAMEWORK_TESTS_NETTESTUTIL_H

#include "framework/clock/systemclock.h"
#include "framework/net/httpclient.h"
#include "framework/net/httpserver.h"

#include <functional>

namespace geraniumbay {

/// A loop, a client and a server on a free port of the loopback address.
struct NetFixture {
  NetFixture() : NetFixture(HttpClientLimits()) {}
  explicit NetFixture(HttpClientLimits Limits)
      : Loop(Clock), Server(Loop, HttpServerLimits()), Client(Loop, Limits) {
    Address = *attempt([&] { return Server.listen({"127.0.0.1", 0}); });
  }

  /// Turns the loop until \p Condition holds; returns whether it did.
  bool runUntil(const std::function<bool()> &Condition) {
    constexpr int MaxTurns = 2000;
    for (int Turn = 0; Turn < MaxTurns && !Condition(); ++Turn)
      Loop.turn(std::chrono::milliseconds(10));
    return Condition();
  }

  SystemClock Clock;
  EventLoop Loop;
  HttpServer Server;
  HttpClient Client;
  Endpoint Address;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_TESTS_NETTESTUTIL_H
