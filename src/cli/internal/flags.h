//===- flags.h - The flags of all subcommands -------------------*- C++ -*-===//
//
// The flags are defined with gflags, which holds their types, defaults and
// descriptions. Its own parser ends the process on a mistake and takes every
// flag everywhere, so the arguments are matched here and handed to gflags one
// by one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_FLAGS_H
#define GERANIUMBAY_CLI_INTERNAL_FLAGS_H

#include "cli/command.h"
#include "framework/errors/error.h"

#include <string>
#include <vector>

namespace geraniumbay::cli {

/// What the arguments of a subcommand ask for.
struct CommandLine {
  bool Help = false;
  Options Values;
};

/// Reads \p Arguments, which follow the name of \p Chosen, and sets the flags
/// of gflags. Fails with InvalidArgument, with a line for people.
RetVal<CommandLine> readCommandLine(const Command &Chosen,
                                    const std::vector<std::string> &Arguments);

/// Returns one help entry for the flag \p Name, with its default.
std::string describeFlag(const std::string &Name);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_FLAGS_H
