//===- show.cpp - The subcommands "show", "history" and "status" ----------===//
//
// Ask for one value and show it.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/methods.h"
#include "cli/internal/remote.h"
#include "cli/internal/report.h"
#include "cli/internal/textoutput.h"
#include "framework/json/json.h"

namespace geraniumbay::cli {
namespace {

using TargetFunction = RetVal<Target> (*)(const Options &);

/// Asks \p Where for \p Method, and reports a failure. Nothing on failure, with
/// the exit code in \p Code.
std::optional<Json::Value> ask(const Options &Values, Dependencies &Deps,
                               TargetFunction Where, const char *Method,
                               int &Code, std::ostream &Out,
                               std::ostream &Err) {
  auto To = attempt([&] { return Where(Values); });
  if (!To) {
    Code =
        reportFailure(Values, To.error(), inputExitCode(To.error()), Out, Err);
    return std::nullopt;
  }
  Remote Process(Deps, *To, Values.Timeout);
  Outcome<Json::Value> Answer =
      Process.call(Method, Json::Value(Json::objectValue));
  if (!Answer) {
    Code = reportFailure(Values, Answer.error(),
                         exitCodeOf(Answer.error(), false), Out, Err);
    return std::nullopt;
  }
  Code = toInt(ExitCode::Ok);
  return *Answer;
}

} // namespace

int runShow(const Options &Values, Dependencies &Deps, std::ostream &Out,
            std::ostream &Err) {
  int Code = 0;
  auto Shown = ask(Values, Deps, controlTarget, method::Show, Code, Out, Err);
  if (!Shown)
    return Code;
  if (Values.Json) {
    printValue(*Shown, true, Out);
    return Code;
  }
  auto Version = attempt([&] { return json::readUint(*Shown, "version"); });
  auto Text = attempt([&] { return json::readString(*Shown, "document"); });
  if (!Version || !Text)
    return reportFailure(Values, Version ? Text.error() : Version.error(),
                         ExitCode::Failure, Out, Err);
  // A comment, so that the output can be edited and applied.
  Out << "; version " << *Version << "\n" << *Text;
  return Code;
}

int runHistory(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &Err) {
  int Code = 0;
  auto Shown =
      ask(Values, Deps, controlTarget, method::History, Code, Out, Err);
  if (Shown)
    printValue(*Shown, Values.Json, Out);
  return Code;
}

int runStatus(const Options &Values, Dependencies &Deps, std::ostream &Out,
              std::ostream &Err) {
  bool OneProcess = !Values.Admin.empty();
  int Code = 0;
  auto Shown = ask(Values, Deps, OneProcess ? adminTarget : controlTarget,
                   OneProcess ? method::AdminStatus : method::ControlStatus,
                   Code, Out, Err);
  if (Shown)
    printValue(*Shown, Values.Json, Out);
  return Code;
}

int runVersion(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &) {
  Json::Value Object(Json::objectValue);
  Object["version"] = Deps.Version;
  if (Values.Json)
    printValue(Object, true, Out);
  else
    Out << "geraniumbay " << Deps.Version << "\n";
  return toInt(ExitCode::Ok);
}

} // namespace geraniumbay::cli
