//===- report.h - How a command reports a failure ---------------*- C++ -*-===//
//
// The one form of a failed command: a line for people on standard error, and
// an object on standard output with --json.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_REPORT_H
#define GERANIUMBAY_CLI_INTERNAL_REPORT_H

#include "cli/exitcode.h"
#include "cli/options.h"
#include "framework/errors/error.h"
#include "inventory/problem.h"

#include <ostream>

namespace geraniumbay::cli {

/// Reports \p Why and returns \p Code as a number.
int reportFailure(const Options &Values, const Error &Why, ExitCode Code,
                  std::ostream &Out, std::ostream &Err);

/// Reports mistakes in the input and returns ExitCode::Failure as a number.
int reportProblems(const Options &Values, const inventory::Problems &Found,
                   std::ostream &Out, std::ostream &Err);

/// Returns how a command ends whose target or input could not be read.
ExitCode inputExitCode(const Error &Why);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_REPORT_H
