//===- drainer.cpp - A planned stop ---------------------------------------===//
//
// Polls what is in flight until it is done or the bound is reached.
//
//===----------------------------------------------------------------------===//

#include "app/internal/drainer.h"

namespace geraniumbay::app {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(50);
/// The callers' address stays open at least so long after the balancer's check
/// has turned, so that requests under way to it are still answered.
constexpr Duration BalancerGrace = std::chrono::milliseconds(500);

} // namespace

Drainer::Drainer(const IClock &Clock, ITimers &Timers, Duration Bound,
                 DrainHooks Hooks)
    : Clock_(Clock), Timers_(Timers), Bound_(Bound), Hooks_(std::move(Hooks)) {}

void Drainer::begin(bool ThenStop) {
  bool StopNow = ThenStop && !ThenStop_;
  ThenStop_ |= ThenStop;
  if (!Begun_) {
    Begun_ = true;
    Hooks_.Refuse();
  }
  if (!StopNow)
    return;
  Deadline_ = Clock_.now() + Bound_;
  Timers_.after(BalancerGrace, [this] { check(); });
}

void Drainer::check() {
  std::size_t Left = Hooks_.InFlight();
  if (Left == 0 || Clock_.now() >= Deadline_) {
    Hooks_.Finished(Left);
    return;
  }
  Timers_.after(CheckInterval, [this] { check(); });
}

} // namespace geraniumbay::app
