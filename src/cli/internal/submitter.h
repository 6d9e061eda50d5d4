//===- submitter.h - Sends a job until it has its answer --------*- C++ -*-===//
//
// Sends a job to one entry after the other under the same key, comes back when
// it is told to, and never takes a lost connection for an answer.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_SUBMITTER_H
#define GERANIUMBAY_CLI_INTERNAL_SUBMITTER_H

#include "cli/dependencies.h"
#include "cli/internal/submission.h"
#include "cli/internal/target.h"

#include <ostream>
#include <string>

namespace geraniumbay::cli {

/// Sends one job. All that it is given outlives it.
class Submitter {
public:
  /// Gives up after \p Wait. Shows progress on \p Err if it is a terminal.
  Submitter(Dependencies &Deps, Target Entries, Duration Wait,
            std::ostream &Err);

  /// Returns an id that the system issues for one submission. Fails with
  /// Unavailable if no entry answers in time.
  Outcome<std::string> issueKey();

  /// Sends \p Body under \p Key until there is a final answer or the time is
  /// over.
  Verdict submit(const std::string &Key, Json::Value Body);

private:
  /// Sends to the entry whose turn it is, and passes the turn on if it fails.
  Outcome<HttpResponse> send(const HttpRequest &Request);
  /// Judges what came for \p Key, and remembers if anything may have run.
  Verdict judge(const std::string &Key, const Outcome<HttpResponse> &Got);
  /// Completes the verdict \p Last with the key and what is known by now.
  Verdict lastVerdict(const std::string &Key, Verdict Last) const;
  /// Turns the loop until \p Done or \p Limit, showing how long it takes.
  void wait(const std::function<bool()> &Done, Duration Limit);
  Duration left() const { return Until_ - Deps_.Clock.now(); }

  Dependencies &Deps_;
  Target Entries_;
  std::ostream &Err_;
  Time Begin_;
  Time Until_;
  /// Index of the entry whose turn it is.
  std::size_t Turn_ = 0;
  /// What is shown as the reason of the wait.
  std::string Activity_;
  /// Some entry may have begun the job.
  bool MayHaveRun_ = false;
};

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_SUBMITTER_H
