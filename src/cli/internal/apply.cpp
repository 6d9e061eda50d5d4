//===- apply.cpp - The subcommand "apply" ---------------------------------===//
//
// Sends a new document to the control VMs, in a way that can be repeated after
// a lost answer.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/methods.h"
#include "cli/internal/remote.h"
#include "cli/internal/report.h"
#include "cli/internal/textoutput.h"
#include "framework/json/json.h"
#include "inventory/textfile.h"

#include <iomanip>
#include <sstream>

namespace geraniumbay::cli {
namespace {

/// Returns an operation id that nobody else has.
std::string drawOperation(Random &Draw) {
  std::ostringstream Text;
  Text << std::hex << std::setfill('0') << std::setw(16) << Draw.bits();
  return Text.str();
}

/// Returns the version in force, as the base of a change.
Outcome<std::uint64_t> currentVersion(Remote &Control) {
  Outcome<Json::Value> Status =
      Control.call(method::ControlStatus, method::none());
  if (!Status)
    return Status.error();
  return attempt([&] { return json::readUint(*Status, "version"); });
}

/// The change that is sent.
struct Change {
  std::string Operation;
  std::uint64_t Base = 0;
  std::string Document;
};

/// Returns why control refused \p What, or nothing if \p Answer accepts it.
std::optional<Error> refusalIn(const Json::Value &Answer, const Change &What) {
  auto Failure =
      attempt([&] { return json::readStringOr(Answer, "failure", ""); });
  auto Version = attempt([&] { return json::readUint(Answer, "version"); });
  if (!Failure || !Version)
    return Error{ErrorCode::Corrupt, "the answer has no version"};
  if (Failure->empty())
    return std::nullopt;
  if (*Failure == errorCodeName(ErrorCode::Conflict))
    return Error{
        ErrorCode::Conflict,
        "another change came first: version " + std::to_string(*Version) +
            " is in force, this one is based on " + std::to_string(What.Base)};
  return Error{ErrorCode::InvalidArgument,
               "operation " + What.Operation +
                   " was used for a different change"};
}

int proposeChange(const Options &Values, Remote &Control, const Change &What,
                  std::ostream &Out, std::ostream &Err) {
  Json::Value Params(Json::objectValue);
  Params["operation"] = What.Operation;
  Params["base"] = Json::UInt64(What.Base);
  Params["document"] = What.Document;
  Outcome<Json::Value> Answer = Control.call(method::Propose, Params);
  if (!Answer) {
    ExitCode Code = exitCodeOf(Answer.error(), Control.mayHaveRun());
    if (Code == ExitCode::Unknown)
      Err << "no answer: the change may have been accepted. Send it again with "
          << "--operation " << What.Operation << " --base " << What.Base
          << "\n";
    return reportFailure(Values, Answer.error(), Code, Out, Err);
  }
  if (auto Refusal = refusalIn(*Answer, What))
    return reportFailure(Values, *Refusal, exitCodeOf(*Refusal, true), Out,
                         Err);
  Json::Value Result = *Answer;
  Result["operation"] = What.Operation;
  Result["base"] = Json::UInt64(What.Base);
  printValue(Result, Values.Json, Out);
  return toInt(ExitCode::Ok);
}

int applyDocument(const Options &Values, Dependencies &Deps, const Target &To,
                  const std::string &Document, std::ostream &Out,
                  std::ostream &Err) {
  Remote Control(Deps, To, Values.Timeout);
  Change What{Values.Operation, 0, Document};
  if (What.Operation.empty())
    What.Operation = drawOperation(Deps.Draw);
  if (Values.Base) {
    What.Base = *Values.Base;
  } else {
    Outcome<std::uint64_t> Version = currentVersion(Control);
    if (!Version)
      return reportFailure(Values, Version.error(),
                           exitCodeOf(Version.error(), false), Out, Err);
    What.Base = *Version;
  }
  Err << "operation " << What.Operation << ", base " << What.Base << "\n";
  // Of the calls so far, only a proposal can have changed anything.
  Remote Proposer(Deps, To, Values.Timeout);
  return proposeChange(Values, Proposer, What, Out, Err);
}

} // namespace

int runApply(const Options &Values, Dependencies &Deps, std::ostream &Out,
             std::ostream &Err) {
  if (!Values.Operation.empty() && !Values.Base)
    return reportFailure(Values,
                         {ErrorCode::InvalidArgument,
                          "--operation wants --base: the same change again has "
                          "the same base"},
                         ExitCode::Usage, Out, Err);
  auto Sources = attempt([&] { return inventory::readSources(Values.Files); });
  if (!Sources)
    return reportFailure(Values, Sources.error(), ExitCode::Failure, Out, Err);
  auto Parsed = inventory::parseDocument(*Sources);
  if (!Parsed)
    return reportProblems(Values, Parsed.problems(), Out, Err);
  auto To = attempt([&] { return controlTarget(Values); });
  if (!To)
    return reportFailure(Values, To.error(), inputExitCode(To.error()), Out,
                         Err);
  return applyDocument(Values, Deps, *To, inventory::joinSources(*Sources), Out,
                       Err);
}

} // namespace geraniumbay::cli
