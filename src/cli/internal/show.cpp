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

/// A question to the processes of a target.
struct Question {
  RetVal<Target> (*Where)(const Options &);
  const char *Method;
  Json::Value Params;
};

/// An answer, or how the command ends without one.
struct Reply {
  std::optional<Json::Value> Value;
  int Code = toInt(ExitCode::Ok);
};

/// Asks \p What and reports a failure.
Reply ask(const Options &Values, Dependencies &Deps, const Question &What,
          std::ostream &Out, std::ostream &Err) {
  auto To = attempt([&] { return What.Where(Values); });
  if (!To)
    return {std::nullopt, reportFailure(Values, To.error(),
                                        inputExitCode(To.error()), Out, Err)};
  Remote Process(Deps, *To, Values.Timeout);
  Outcome<Json::Value> Answer = Process.call(What.Method, What.Params);
  if (Answer && !Answer->isObject())
    Answer = Error{ErrorCode::Corrupt, "the answer is not an object"};
  if (!Answer)
    return {std::nullopt,
            reportFailure(Values, Answer.error(),
                          exitCodeOf(Answer.error(), false), Out, Err)};
  return {*Answer, toInt(ExitCode::Ok)};
}

/// Returns the elements of the list \p Name that are not about the command
/// itself.
Json::Value withoutSelf(const Json::Value &Status, const char *Name) {
  Json::Value Result(Json::arrayValue);
  auto Rows = attempt([&] { return json::readArray(Status, Name); });
  if (!Rows)
    return Result;
  for (const Json::Value &Row : *Rows) {
    auto Vm = attempt([&] { return json::readStringOr(Row, "vm", ""); });
    if (!Vm || *Vm != method::OperatorVm)
      Result.append(Row);
  }
  return Result;
}

} // namespace

int runShow(const Options &Values, Dependencies &Deps, std::ostream &Out,
            std::ostream &Err) {
  Reply Got = ask(Values, Deps,
                  {controlTarget, method::Watch, method::watchAll()}, Out, Err);
  if (!Got.Value)
    return Got.Code;
  auto Version = attempt([&] { return json::readUint(*Got.Value, "version"); });
  auto Text =
      attempt([&] { return json::readStringOr(*Got.Value, "document", ""); });
  if (!Version || !Text)
    return reportFailure(Values, Version ? Text.error() : Version.error(),
                         ExitCode::Failure, Out, Err);
  if (Values.Json) {
    Json::Value Object(Json::objectValue);
    Object["version"] = Json::UInt64(*Version);
    Object["document"] = *Text;
    printValue(Object, true, Out);
    return toInt(ExitCode::Ok);
  }
  // A comment, so that the output can be edited and applied.
  Out << "; version " << *Version << "\n" << *Text;
  return toInt(ExitCode::Ok);
}

int runHistory(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &Err) {
  Reply Got =
      ask(Values, Deps, {controlTarget, method::ControlStatus, method::none()},
          Out, Err);
  if (!Got.Value)
    return Got.Code;
  Json::Value Object(Json::objectValue);
  Object["changes"] = (*Got.Value)["history"];
  printValue(Object, Values.Json, Out);
  return toInt(ExitCode::Ok);
}

int runStatus(const Options &Values, Dependencies &Deps, std::ostream &Out,
              std::ostream &Err) {
  bool OneProcess = !Values.Admin.empty();
  Question First =
      OneProcess
          ? Question{adminTarget, method::AdminStatus, method::none()}
          : Question{controlTarget, method::ControlStatus, method::none()};
  Reply Got = ask(Values, Deps, First, Out, Err);
  if (!Got.Value)
    return Got.Code;
  Json::Value Shown = *Got.Value;
  if (!OneProcess) {
    Reply Views =
        ask(Values, Deps, {controlTarget, method::Watch, method::watchAll()},
            Out, Err);
    if (!Views.Value)
      return Views.Code;
    Shown["watchers"] = withoutSelf(Shown, "watchers");
    Shown["ledgers"] = (*Views.Value)["ledgers"];
    Shown.removeMember("history");
  }
  printValue(Shown, Values.Json, Out);
  return toInt(ExitCode::Ok);
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
