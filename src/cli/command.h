//===- command.h - One subcommand -------------------------------*- C++ -*-===//
//
// A subcommand is a line in a table: its name, its help, the flags it takes and
// the function that runs it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_COMMAND_H
#define GERANIUMBAY_CLI_COMMAND_H

#include "cli/dependencies.h"
#include "cli/exitcode.h"
#include "cli/options.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace geraniumbay::cli {

/// Runs a subcommand: results go to \p Out, messages for people to \p Err.
/// Returns an ExitCode as a number.
using RunFunction = std::function<int(const Options &, Dependencies &,
                                      std::ostream &Out, std::ostream &Err)>;

/// One subcommand.
struct Command {
  std::string Name;
  /// What follows the name, such as "FILE...". Empty if there are no
  /// arguments.
  std::string Arguments;
  /// One line for the list of commands.
  std::string Summary;
  /// The rest of the help, in lines of at most 78 characters.
  std::string Details;
  /// Names of the flags it takes, as defined with gflags. A command added by
  /// the program may define its own and read them while it runs.
  std::vector<std::string> Flags;
  /// How many arguments it takes.
  std::size_t MinFiles = 0;
  std::size_t MaxFiles = 0;
  RunFunction Run;
};

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_COMMAND_H
