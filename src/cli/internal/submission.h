//===- submission.h - The messages of a submitted job -----------*- C++ -*-===//
//
// Builds the body of POST /v1/jobs and reads the answer (docs/HTTP.md). No
// sockets here.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_SUBMISSION_H
#define GERANIUMBAY_CLI_INTERNAL_SUBMISSION_H

#include "cli/exitcode.h"
#include "cli/options.h"
#include "framework/errors/error.h"
#include "framework/net/httpmessage.h"

#include <json/value.h>
#include <string>

namespace geraniumbay::cli {

/// Returns the body for \p Input: the JSON body itself, or with --lines one
/// task for each line. Fails with InvalidArgument.
RetVal<Json::Value> submissionBody(const Options &Values,
                                   const std::string &Input);

/// What an answer means for the command.
struct Verdict {
  ExitCode Code = ExitCode::Ok;
  /// The system asks to come back with the same key.
  bool ComeBack = false;
  /// When to come back.
  Duration After{0};
  /// The answer's body; an object with "status", "ran" and "reason" also if
  /// the process sent no such body.
  Json::Value Body;
};

/// Returns what \p Response to the submission \p Key means. An answer that
/// names another submission is no answer.
Verdict judgeResponse(const HttpResponse &Response, const std::string &Key);

/// Returns a failed answer that the command gives by itself.
Json::Value failedBody(const std::string &Key, bool MayHaveRun,
                       const std::string &Reason);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_SUBMISSION_H
