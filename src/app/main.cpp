//===- main.cpp - The one binary ------------------------------------------===//
//
// Gives the command line what it needs and runs the chosen subcommand.
//
//===----------------------------------------------------------------------===//

#include "app/internal/servecommand.h"
#include "cli/cli.h"
#include "framework/clock/systemclock.h"
#include "framework/net/httpclient.h"
#include "framework/rpc/rpcclient.h"
#include "platform/program.h"

#include <iostream>
#include <random>
#include <unistd.h>

using namespace geraniumbay; // NOLINT: the program's own namespace

namespace {

bool turnUntil(EventLoop &Loop, const IClock &Clock,
               const std::function<bool()> &Done, Duration Limit) {
  constexpr Duration Turn = std::chrono::milliseconds(50);
  Time GiveUp = Clock.now() + Limit;
  while (!Done() && Clock.now() < GiveUp)
    Loop.turn(std::min(Turn, GiveUp - Clock.now()));
  return Done();
}

} // namespace

int main(int Count, char **Arguments) {
  SystemClock Clock;
  EventLoop Loop(Clock);
  HttpClient Http(Loop, HttpClientLimits());
  Random Numbers(std::random_device{}());
  cli::Dependencies Deps{
      [&](const std::string &Key) {
        return std::make_unique<RpcClient>(Http, Key, RpcEncoding::JsonRpc);
      },
      Http,
      Clock,
      [&](const std::function<bool()> &Done, Duration Limit) {
        return turnUntil(Loop, Clock, Done, Limit);
      },
      Numbers,
      std::cin,
      isatty(STDERR_FILENO) != 0,
      GB_VERSION};
  std::vector<cli::Command> Commands = cli::standardCommands();
  Commands.insert(Commands.begin(), app::serveCommand());
  Commands.push_back(app::standInCommand());
  Commands.push_back(platform::platformCommand());
  return cli::runCommand(Count, Arguments, Commands, Deps, std::cout,
                         std::cerr);
}
