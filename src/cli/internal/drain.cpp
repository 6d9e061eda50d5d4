//===- drain.cpp - The subcommand "drain" ---------------------------------===//
//
// Tells a process to take no new work and waits until none is left in flight.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/methods.h"
#include "cli/internal/remote.h"
#include "cli/internal/report.h"
#include "cli/internal/textoutput.h"
#include "framework/json/json.h"

#include <algorithm>

namespace geraniumbay::cli {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(500);

/// How far a drain has come.
struct Progress {
  bool Ended = false;
  std::uint64_t Running = 0;
};

/// Asks how many requests are in flight. A process that no longer listens has
/// ended.
Outcome<Progress> askProgress(Dependencies &Deps, const Target &To,
                              Duration Timeout) {
  Remote Process(Deps, To, Timeout);
  Outcome<Json::Value> Status =
      Process.call(method::AdminStatus, method::none());
  if (!Status) {
    if (Status.error().Code == ErrorCode::Refused)
      return Progress{true, 0};
    return Status.error();
  }
  auto Running = attempt([&] { return json::readUint(*Status, "running"); });
  if (!Running)
    return Running.error();
  return Progress{*Running == 0, *Running};
}

int reportEnd(const Options &Values, const Progress &Last, std::ostream &Out) {
  Json::Value Object(Json::objectValue);
  Object["drained"] = Last.Ended;
  Object["running"] = Json::UInt64(Last.Running);
  printValue(Object, Values.Json, Out);
  return toInt(Last.Ended ? ExitCode::Ok : ExitCode::Failure);
}

int waitForEnd(const Options &Values, Dependencies &Deps, const Target &To,
               std::ostream &Out, std::ostream &Err) {
  const Time Until = Deps.Clock.now() + Values.Wait;
  Progress Last;
  while (true) {
    Outcome<Progress> Now =
        askProgress(Deps, To, std::min(Values.Timeout, Duration(PollInterval)));
    if (Now)
      Last = *Now;
    if (Last.Ended || Deps.Clock.now() >= Until)
      return reportEnd(Values, Last, Out);
    if (Now && Deps.Terminal)
      Err << "\rin flight: " << Last.Running << "   " << std::flush;
    Deps.Run([] { return false; }, PollInterval);
  }
}

} // namespace

int runDrain(const Options &Values, Dependencies &Deps, std::ostream &Out,
             std::ostream &Err) {
  auto To = attempt([&] { return adminTarget(Values); });
  if (!To)
    return reportFailure(Values, To.error(), inputExitCode(To.error()), Out,
                         Err);
  Remote Process(Deps, *To, Values.Timeout);
  Outcome<Json::Value> Answer =
      Process.call(method::AdminDrain, method::none());
  if (!Answer)
    return reportFailure(Values, Answer.error(),
                         exitCodeOf(Answer.error(), Process.mayHaveRun()), Out,
                         Err);
  return waitForEnd(Values, Deps, *To, Out, Err);
}

} // namespace geraniumbay::cli
