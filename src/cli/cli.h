//===- cli.h - The command line of the program ------------------*- C++ -*-===//
//
// Finds the subcommand, reads its flags and runs it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_CLI_H
#define GERANIUMBAY_CLI_CLI_H

#include "cli/command.h"

#include <ostream>
#include <string>
#include <vector>

namespace geraniumbay::cli {

/// All subcommands but "serve", which the program adds.
std::vector<Command> standardCommands();

/// Runs the one of \p Commands that \p Arguments (without the program's name)
/// begin with. Returns the program's exit code.
int runCommand(const std::vector<std::string> &Arguments,
               const std::vector<Command> &Commands, Dependencies &Deps,
               std::ostream &Out, std::ostream &Err);

/// The same for the arguments of main().
int runCommand(int ArgumentCount, char **Arguments,
               const std::vector<Command> &Commands, Dependencies &Deps,
               std::ostream &Out, std::ostream &Err);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_CLI_H
