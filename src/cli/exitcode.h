//===- exitcode.h - How a command ends --------------------------*- C++ -*-===//
//
// The exit codes of all subcommands. Scripts rely on them: a code never
// changes its meaning.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_EXITCODE_H
#define GERANIUMBAY_CLI_EXITCODE_H

#include <array>

namespace geraniumbay::cli {

/// What the exit code of the program says; exitCodes() has the meanings.
enum class ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 2,
  NotRun = 3,
  Refused = 4,
  Unknown = 5,
};

constexpr int toInt(ExitCode Code) { return static_cast<int>(Code); }

/// An exit code and what it means, for the help.
struct ExitCodeInfo {
  ExitCode Code;
  const char *Meaning;
};

/// Returns all exit codes in order.
constexpr std::array<ExitCodeInfo, 6> exitCodes() {
  return {{
      {ExitCode::Ok, "done"},
      {ExitCode::Failure, "failed for good, or mistakes found in the input"},
      {ExitCode::Usage, "the command line is wrong; nothing was done"},
      {ExitCode::NotRun, "nothing was done; a later try may succeed"},
      {ExitCode::Refused, "refused (a conflict, a bad request); nothing was "
                          "done"},
      {ExitCode::Unknown, "it may have been done; ask again with the same id"},
  }};
}

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_EXITCODE_H
