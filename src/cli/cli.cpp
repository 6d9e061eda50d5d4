//===- cli.cpp - The command line of the program --------------------------===//
//
// Choosing the subcommand, and the help.
//
//===----------------------------------------------------------------------===//

#include "cli/cli.h"
#include "cli/internal/flags.h"

#include <algorithm>
#include <gflags/gflags.h>

namespace geraniumbay::cli {
namespace {

constexpr const char *Program = "geraniumbay";

std::string padded(const std::string &Text, std::size_t Width) {
  return Text + std::string(Width - std::min(Width, Text.size()), ' ');
}

void printExitCodes(std::ostream &Out) {
  Out << "\nExit codes:\n";
  for (const ExitCodeInfo &Each : exitCodes())
    Out << "  " << toInt(Each.Code) << "  " << Each.Meaning << "\n";
}

void printOverview(const std::vector<Command> &Commands, std::ostream &Out) {
  std::size_t Width = 0;
  for (const Command &Each : Commands)
    Width = std::max(Width, Each.Name.size());
  Out << "Usage: " << Program << " COMMAND [FLAGS] [ARGUMENTS]\n\n"
      << "A dispatcher for sub-second tasks.\n\nCommands:\n";
  for (const Command &Each : Commands)
    Out << "  " << padded(Each.Name, Width) << "  " << Each.Summary << "\n";
  Out << "\n" << Program << " COMMAND --help describes a command.\n";
  printExitCodes(Out);
}

void printHelp(const Command &Chosen, std::ostream &Out) {
  Out << "Usage: " << Program << " " << Chosen.Name << " [FLAGS]"
      << (Chosen.Arguments.empty() ? "" : " " + Chosen.Arguments) << "\n\n"
      << Chosen.Summary << "\n\n"
      << Chosen.Details << "\nFlags:\n";
  for (const std::string &Name : Chosen.Flags)
    Out << describeFlag(Name);
  printExitCodes(Out);
}

int runChosen(const Command &Chosen, const std::vector<std::string> &Rest,
              Dependencies &Deps, std::ostream &Out, std::ostream &Err) {
  // The flags are global: they keep their values while the command runs, and
  // are put back then, so that a process can run several commands, as tests do.
  gflags::FlagSaver Saver;
  auto Line = attempt([&] { return readCommandLine(Chosen, Rest); });
  if (!Line) {
    Err << Line.error().Message << "\n"
        << "See " << Program << " " << Chosen.Name << " --help\n";
    return toInt(ExitCode::Usage);
  }
  if (Line->Help) {
    printHelp(Chosen, Out);
    return toInt(ExitCode::Ok);
  }
  return Chosen.Run(Line->Values, Deps, Out, Err);
}

} // namespace

int runCommand(const std::vector<std::string> &Arguments,
               const std::vector<Command> &Commands, Dependencies &Deps,
               std::ostream &Out, std::ostream &Err) {
  if (Arguments.empty()) {
    printOverview(Commands, Err);
    return toInt(ExitCode::Usage);
  }
  const std::string &Name = Arguments.front();
  if (Name == "help" || Name == "--help" || Name == "-h") {
    printOverview(Commands, Out);
    return toInt(ExitCode::Ok);
  }
  auto Chosen =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const Command &Each) { return Each.Name == Name; });
  if (Chosen == Commands.end()) {
    Err << "no command " << Name << "\nSee " << Program << " --help\n";
    return toInt(ExitCode::Usage);
  }
  std::vector<std::string> Rest(Arguments.begin() + 1, Arguments.end());
  return runChosen(*Chosen, Rest, Deps, Out, Err);
}

int runCommand(int ArgumentCount, char **Arguments,
               const std::vector<Command> &Commands, Dependencies &Deps,
               std::ostream &Out, std::ostream &Err) {
  std::vector<std::string> Rest;
  for (int I = 1; I < ArgumentCount; ++I)
    Rest.emplace_back(Arguments[I]);
  return runCommand(Rest, Commands, Deps, Out, Err);
}

} // namespace geraniumbay::cli
