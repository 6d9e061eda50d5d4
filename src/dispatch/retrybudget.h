//===- retrybudget.h - How many extra messages may be sent ------*- C++ -*-===//
//
// Bounds retries and hedges together by a token bucket of each entry: every
// first try earns a part of a token, every extra message costs one. A wave of
// failures can therefore not become a storm of retries.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_RETRYBUDGET_H
#define GERANIUMBAY_DISPATCH_RETRYBUDGET_H

#include "dispatch/types.h"

namespace geraniumbay::dispatch {

/// Which of the two measures a deployment weighs more.
enum class MessageWeight : std::uint8_t {
  Messages, ///< Wasted messages: wait rather than send twice.
  Response, ///< Response time: spend messages to answer sooner.
};

/// Settings of the token bucket.
struct RetryPolicy {
  /// Tokens that a first try earns; the long-term bound of extra messages per
  /// task.
  double PerTask = 0.02;
  /// Most tokens that are saved up.
  double Most = 10;
  /// Hedges are sent only while more than this part of Most is left, so that
  /// they never take the tokens that retries need.
  double KeptForRetries = 0.5;
  /// Most tries of one task, the first one included; and most of a task whose
  /// tries certainly did not start.
  std::uint32_t MaxTries = 3;
  std::uint32_t MaxSends = 10;
  /// Wait before the first retry; doubles with each further one.
  Duration Backoff = std::chrono::milliseconds(5);
};

/// The tokens of one entry. Invariant: 0 <= Tokens <= RetryPolicy::Most.
struct RetryBudget {
  double Tokens = 0;
};

/// The policy that goes with \p Weight.
RetryPolicy retryPolicy(MessageWeight Weight);

/// Takes note of the first try of a task.
void earn(RetryBudget &Budget, const RetryPolicy &Policy);

/// Returns true if a task of a request of \p Kind may be sent again after
/// \p Tries tries, and takes a token. \p Started tells that the last try may
/// have started. A task that certainly did not start may be sent again
/// whatever its kind; it takes a token only if there is one, since it has had
/// no real try yet.
bool takeRetry(RetryBudget &Budget, const RetryPolicy &Policy, RequestKind Kind,
               std::uint32_t Tries, bool Started);

/// Returns true, and takes a token, if a hedge may be sent. Only repeatable
/// singles are ever hedged.
bool takeHedge(RetryBudget &Budget, const RetryPolicy &Policy,
               RequestKind Kind);

/// Wait before the retry after \p Tries tries; \p Unit in [0, 1) is random and
/// spreads the wait between half and the whole.
Duration retryDelay(const RetryPolicy &Policy, std::uint32_t Tries,
                    double Unit);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_RETRYBUDGET_H
