//===- report.cpp - How a command reports a failure -----------------------===//
//
// Text and JSON forms.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/report.h"

#include "cli/internal/textoutput.h"
#include "framework/json/json.h"

#include <sstream>

namespace geraniumbay::cli {

int reportFailure(const Options &Values, const Error &Why, ExitCode Code,
                  std::ostream &Out, std::ostream &Err) {
  if (Values.Json) {
    Json::Value Object(Json::objectValue);
    Object["error"] = errorCodeName(Why.Code);
    Object["message"] = Why.Message;
    Object["exit_code"] = toInt(Code);
    Out << json::write(Object) << "\n";
  }
  // Line by line, because a message with several mistakes has several.
  std::istringstream Lines(Why.Message);
  for (std::string Line; std::getline(Lines, Line);)
    Err << terminalSafe(Line) << "\n";
  return toInt(Code);
}

int reportProblems(const Options &Values, const inventory::Problems &Found,
                   std::ostream &Out, std::ostream &Err) {
  if (Values.Json) {
    Json::Value Object(Json::objectValue);
    Object["ok"] = false;
    for (const inventory::Problem &Each : Found) {
      Json::Value Item(Json::objectValue);
      Item["file"] = Each.File;
      Item["line"] = Each.Line;
      Item["key"] = Each.Key;
      Item["message"] = Each.Message;
      Object["problems"].append(Item);
    }
    Out << json::write(Object) << "\n";
  }
  for (const inventory::Problem &Each : Found)
    Err << terminalSafe(Each.text()) << "\n";
  return toInt(ExitCode::Failure);
}

ExitCode inputExitCode(const Error &Why) {
  return Why.Code == ErrorCode::InvalidArgument ? ExitCode::Usage
                                                : ExitCode::Failure;
}

} // namespace geraniumbay::cli
