//===- dependencies.h - What subcommands work with --------------*- C++ -*-===//
//
// Everything outside the program that a subcommand may use. The program passes
// the real things, tests pass fakes.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_DEPENDENCIES_H
#define GERANIUMBAY_CLI_DEPENDENCIES_H

#include "framework/clock/iclock.h"
#include "framework/net/ihttpclient.h"
#include "framework/random/random.h"
#include "framework/rpc/irpcclient.h"

#include <functional>
#include <istream>
#include <memory>
#include <string>

namespace geraniumbay::cli {

/// What subcommands work with. All outlive the command.
struct Dependencies {
  /// Makes a client that shows \p Key to the processes it calls.
  using RpcFactory =
      std::function<std::unique_ptr<IRpcClient>(const std::string &Key)>;
  /// Turns the loop until \p Done holds, or \p Limit has passed; returns
  /// whether it holds.
  using RunUntil =
      std::function<bool(const std::function<bool()> &Done, Duration Limit)>;

  RpcFactory MakeRpc;
  IHttpClient &Http;
  const IClock &Clock;
  RunUntil Run;
  Random &Draw;
  /// Standard input.
  std::istream &In;
  /// Standard error is a terminal, so progress may be shown.
  bool Terminal = false;
  /// The program's version.
  std::string Version;
};

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_DEPENDENCIES_H
