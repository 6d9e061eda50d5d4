//===- callerapi.h - The callers' HTTP interface ----------------*- C++ -*-===//
//
// POST /v1/submissions, /v1/jobs and /v1/tasks, DELETE /v1/jobs/KEY, and the
// checks of the platform's balancer. docs/HTTP.md describes it for callers.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_CALLERAPI_H
#define GERANIUMBAY_ENTRY_INTERNAL_CALLERAPI_H

#include "entry/internal/admission.h"
#include "entry/internal/cancelrelay.h"
#include "framework/net/ihttpserver.h"

namespace geraniumbay::entry {

/// Issues ids of submissions.
struct KeySource {
  /// An id for a submission that is claimed at the local data centre, or an
  /// error if its ledger's epoch is not known.
  std::function<Outcome<SubmissionId>()> Issue;
  /// A key that nobody else knows, for a request without a key.
  std::function<SubmissionId()> Private;
};

/// Answers callers.
class CallerApi {
public:
  /// All arguments but \p Keys outlive the object. Spans of requests are begun
  /// by \p Spans, answers counted by \p Measured.
  CallerApi(IHttpServer &Http, Coordinator &Submissions, CancelRelay &Cancels,
            const IClock &Clock, const EntryConfig &Config, KeySource Keys,
            Metrics &Measured, Tracer &Spans);

  /// From now on new submissions are answered "not run: draining", and the
  /// balancer's check fails.
  void drain() { Draining_ = true; }

private:
  void submit(const std::shared_ptr<IHttpExchange> &Exchange, bool SingleTask);
  /// Ends the span of a request that was answered with \p Given.
  void endRoot(Span Root, const Result &Given);
  void issueKey(IHttpExchange &Exchange);
  void cancelJob(const std::shared_ptr<IHttpExchange> &Exchange);
  void checkReady(IHttpExchange &Exchange);

  Coordinator &Submissions_;
  CancelRelay &Cancels_;
  const IClock &Clock_;
  const EntryConfig &Config_;
  const KeySource Keys_;
  Metrics &Measured_;
  Tracer &Spans_;
  bool Draining_ = false;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_CALLERAPI_H
