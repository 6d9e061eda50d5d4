//===- check.cpp - The subcommand "check" ---------------------------------===//
//
// Reads settings and documents and reports every mistake, without talking to
// anyone.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/report.h"

#include "inventory/change.h"
#include "inventory/settings.h"
#include "inventory/textfile.h"

#include <sstream>

namespace geraniumbay::cli {
namespace {

using inventory::Document;
using inventory::ProcessSettings;

/// What was checked so far.
struct CheckState {
  inventory::Problems Found;
  std::optional<ProcessSettings> Settings;
  std::optional<Document> New;

  void add(const inventory::Problems &More) {
    Found.insert(Found.end(), More.begin(), More.end());
  }
};

/// Reads the document in \p Paths; mistakes and unreadable files are added to
/// \p State.
std::optional<Document> checkDocument(const std::vector<std::string> &Paths,
                                      CheckState &State) {
  auto Sources = attempt([&] { return inventory::readSources(Paths); });
  if (!Sources) {
    State.add({{"", 0, "", Sources.error().Message}});
    return std::nullopt;
  }
  auto Parsed = inventory::parseDocument(*Sources);
  if (Parsed)
    return *Parsed;
  State.add(Parsed.problems());
  return std::nullopt;
}

void checkSettings(const std::string &Path, CheckState &State) {
  auto Sources = attempt([&] { return inventory::readSources({Path}); });
  if (!Sources)
    return State.add({{"", 0, "", Sources.error().Message}});
  auto Parsed = inventory::parseSettings(Sources->front().Text, Path);
  if (!Parsed)
    return State.add(Parsed.problems());
  State.Settings = *Parsed;
  inventory::Problems Secrets = inventory::checkSecretFiles(*Parsed);
  for (inventory::Problem &Each : Secrets)
    Each.File = Path;
  State.add(Secrets);
}

std::vector<std::string> splitPaths(const std::string &List) {
  std::vector<std::string> Result;
  std::istringstream Parts(List);
  for (std::string Part; std::getline(Parts, Part, ',');)
    Result.push_back(Part);
  return Result;
}

void checkTogether(const Options &Values, CheckState &State) {
  if (!State.New)
    return;
  if (State.Settings) {
    auto Differences =
        inventory::compareWithInventory(*State.Settings, State.New->Inv);
    for (inventory::Problem &Each : Differences)
      Each.File = Values.Settings;
    State.add(Differences);
  }
  if (Values.Against.empty())
    return;
  if (auto Old = checkDocument(splitPaths(Values.Against), State))
    State.add(inventory::checkChange(*Old, *State.New));
}

} // namespace

int runCheck(const Options &Values, Dependencies &, std::ostream &Out,
             std::ostream &Err) {
  if (Values.Files.empty() && Values.Settings.empty())
    return reportFailure(
        Values,
        {ErrorCode::InvalidArgument, "check wants FILE... or --settings"},
        ExitCode::Usage, Out, Err);
  CheckState State;
  if (!Values.Settings.empty())
    checkSettings(Values.Settings, State);
  if (!Values.Files.empty())
    State.New = checkDocument(Values.Files, State);
  checkTogether(Values, State);
  if (!State.Found.empty())
    return reportProblems(Values, State.Found, Out, Err);
  Out << (Values.Json ? "{\"ok\":true}" : "no mistakes") << "\n";
  return toInt(ExitCode::Ok);
}

} // namespace geraniumbay::cli
