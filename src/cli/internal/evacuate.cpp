//===- evacuate.cpp - The subcommand "evacuate" ---------------------------===//
//
// Orders an evacuation or its end, and shows how far evacuations are obeyed.
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

Outcome<Json::Value> listEvacuations(Remote &Control) {
  Outcome<Json::Value> Answer =
      Control.call(method::Evacuations, method::none());
  if (!Answer)
    return Answer;
  auto Rows = attempt([&] { return json::readArray(*Answer, "evacuations"); });
  if (!Rows)
    return Rows.error();
  return *Rows;
}

/// Whether all entries know of the order and no task runs there. An end is
/// obeyed once it is recorded: whoever hears of it later only starts less.
bool isObeyed(const Json::Value &Rows, const std::string &DataCentre,
              bool End) {
  auto Found =
      std::find_if(Rows.begin(), Rows.end(), [&](const Json::Value &Row) {
        return Row["data_centre"].asString() == DataCentre;
      });
  if (Found == Rows.end())
    return End;
  return !End && (*Found)["entries_behind"].empty() &&
         (*Found)["running"].asUInt64() == 0;
}

int show(const Options &Values, const Json::Value &Rows, std::ostream &Out,
         bool Ok) {
  Json::Value Object(Json::objectValue);
  Object["evacuations"] = Rows;
  printValue(Object, Values.Json, Out);
  return toInt(Ok ? ExitCode::Ok : ExitCode::Failure);
}

int waitUntilObeyed(const Options &Values, Dependencies &Deps, Remote &Control,
                    std::ostream &Out) {
  const Time Until = Deps.Clock.now() + Values.Wait;
  Json::Value Last(Json::arrayValue);
  while (true) {
    Outcome<Json::Value> Rows = listEvacuations(Control);
    if (Rows)
      Last = *Rows;
    if (Rows && isObeyed(*Rows, Values.Files.front(), Values.End))
      return show(Values, Last, Out, true);
    if (Deps.Clock.now() >= Until)
      return show(Values, Last, Out, false);
    Deps.Run([] { return false; }, PollInterval);
  }
}

} // namespace

int runEvacuate(const Options &Values, Dependencies &Deps, std::ostream &Out,
                std::ostream &Err) {
  auto To = attempt([&] { return controlTarget(Values); });
  if (!To)
    return reportFailure(Values, To.error(), inputExitCode(To.error()), Out,
                         Err);
  Remote Control(Deps, *To, Values.Timeout);
  bool Orders = !Values.Files.empty();
  Outcome<Json::Value> Answer = Json::Value(Json::objectValue);
  if (Orders) {
    Json::Value Params(Json::objectValue);
    Params["data_centre"] = Values.Files.front();
    Params["evacuate"] = !Values.End;
    Answer = Control.call(method::Evacuate, Params);
  }
  if (Answer && Orders && Values.WaitObeyed)
    return waitUntilObeyed(Values, Deps, Control, Out);
  if (Answer)
    Answer = listEvacuations(Control);
  if (!Answer)
    return reportFailure(Values, Answer.error(),
                         exitCodeOf(Answer.error(), Control.mayHaveRun()), Out,
                         Err);
  return show(Values, *Answer, Out, true);
}

} // namespace geraniumbay::cli
