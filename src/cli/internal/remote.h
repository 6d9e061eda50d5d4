//===- remote.h - Calls that a command waits for ----------------*- C++ -*-===//
//
// Commands do one thing after the other: these calls turn the loop until the
// answer is there, and go on to the next process when one cannot answer.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_REMOTE_H
#define GERANIUMBAY_CLI_INTERNAL_REMOTE_H

#include "cli/dependencies.h"
#include "cli/exitcode.h"
#include "cli/internal/target.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace geraniumbay::cli {

/// Calls the processes of a target, in turn.
class Remote {
public:
  /// \p Deps outlives it. \p Timeout is for each call() as a whole.
  Remote(Dependencies &Deps, Target To, Duration Timeout);

  /// Calls \p Method, which is idempotent, until a process answers it. A
  /// process that is not there or cannot answer is passed over.
  Outcome<Json::Value> call(const std::string &Method,
                            const Json::Value &Params);

  /// Whether a call whose answer did not come may have been carried out.
  bool mayHaveRun() const { return MayHaveRun_; }

private:
  Outcome<Json::Value> callOne(const Endpoint &To, const std::string &Method,
                               const Json::Value &Params, Duration Timeout);
  /// Tries each process once; nothing if none could answer.
  std::optional<Outcome<Json::Value>>
  tryAll(const std::string &Method, const Json::Value &Params, Time Until);

  Dependencies &Deps_;
  Target To_;
  Duration Timeout_;
  std::unique_ptr<IRpcClient> Rpc_;
  bool MayHaveRun_ = false;
  /// Why the last process could not answer.
  Error LastFailure_{ErrorCode::Unavailable, "no process answered"};
};

/// Returns how a command ends that failed with \p Why. \p MayHaveRun says that
/// a change may have been made all the same.
ExitCode exitCodeOf(const Error &Why, bool MayHaveRun);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_REMOTE_H
