//===- retrybudget.cpp - How many extra messages may be sent --------------===//
//
// The token bucket of retries and hedges.
//
//===----------------------------------------------------------------------===//

#include "dispatch/retrybudget.h"

#include <algorithm>

namespace geraniumbay::dispatch {
namespace {

/// Extra messages per task with MessageWeight::Messages and ::Response.
constexpr double MessagesPerTask = 0.015;
constexpr double ResponsePerTask = 0.04;

bool take(RetryBudget &Budget, double Floor) {
  if (Budget.Tokens < Floor + 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace

RetryPolicy retryPolicy(MessageWeight Weight) {
  RetryPolicy Policy;
  Policy.PerTask =
      Weight == MessageWeight::Messages ? MessagesPerTask : ResponsePerTask;
  return Policy;
}

void earn(RetryBudget &Budget, const RetryPolicy &Policy) {
  Budget.Tokens = std::min(Budget.Tokens + Policy.PerTask, Policy.Most);
}

bool takeRetry(RetryBudget &Budget, const RetryPolicy &Policy, RequestKind Kind,
               std::uint32_t Tries, bool Started) {
  if (!Started) {
    take(Budget, 0);
    return Tries < Policy.MaxSends;
  }
  if (Kind != RequestKind::RepeatableSingle || Tries >= Policy.MaxTries)
    return false;
  return take(Budget, 0);
}

bool takeHedge(RetryBudget &Budget, const RetryPolicy &Policy,
               RequestKind Kind) {
  if (Kind != RequestKind::RepeatableSingle)
    return false;
  return take(Budget, Policy.Most * Policy.KeptForRetries);
}

Duration retryDelay(const RetryPolicy &Policy, std::uint32_t Tries,
                    double Unit) {
  constexpr std::uint32_t MaxDoublings = 10;
  std::uint32_t Doublings = std::min(Tries > 0 ? Tries - 1 : 0, MaxDoublings);
  auto Full = static_cast<double>((Policy.Backoff * (1 << Doublings)).count());
  return Duration(static_cast<Duration::rep>(Full * (1 + Unit) / 2));
}

} // namespace geraniumbay::dispatch
