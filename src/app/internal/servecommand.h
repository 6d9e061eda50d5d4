//===- servecommand.h - The subcommands that run processes ------*- C++ -*-===//
//
// "serve" runs a process of the system, "standin" a stand-in upstream.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_SERVECOMMAND_H
#define GERANIUMBAY_APP_INTERNAL_SERVECOMMAND_H

#include "cli/command.h"

namespace geraniumbay::app {

/// Runs the process that a settings file describes.
cli::Command serveCommand();

/// Runs a stand-in upstream, for tests and demonstrations.
cli::Command standInCommand();

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_SERVECOMMAND_H
