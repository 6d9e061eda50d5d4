//===- ledgercall.cpp - One request to a ledger, with retries -------------===//
//
// Tries, pauses and the verdict.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/ledgercall.h"

#include <algorithm>

namespace geraniumbay::ledger {

namespace {

/// Whether \p Code is a ledger's refusal for good.
bool isVerdict(ErrorCode Code) {
  return Code == ErrorCode::Conflict || Code == ErrorCode::NotFound ||
         Code == ErrorCode::InvalidArgument;
}

} // namespace

void LedgerCall::start() {
  Context_->Timers.after(Duration::zero(),
                         [Self = shared_from_this()] { Self->attemptOnce(); });
}

void LedgerCall::attemptOnce() {
  Time Now = Context_->Clock.now();
  Duration Margin = Tried_ ? Context_->Config.ReplyMargin : Duration::zero();
  if (Now + Margin >= Plan_.Deadline) {
    if (Last_ && !MayHaveRun_)
      finish(*Last_);
    else if (MayHaveRun_)
      finish(Error{ErrorCode::Timeout, "no answer of the ledger in time"});
    else
      finish(Error{ErrorCode::Unavailable, "the ledger is out of reach"});
    return;
  }
  const Endpoint *To = primary();
  if (!To) {
    retryLater();
    return;
  }
  Tried_ = true;
  Duration Left = std::chrono::duration_cast<Duration>(Plan_.Deadline - Now);
  Context_->Rpc.call(
      *To, Plan_.Method, Plan_.Params(),
      std::min(Left, Context_->Config.RpcTimeout),
      [Self = shared_from_this()](const Outcome<Json::Value> &Result) {
        Self->onResult(Result);
      });
}

void LedgerCall::onResult(const Outcome<Json::Value> &Result) {
  if (Result && Plan_.Final(*Result)) {
    finish(*Result);
    return;
  }
  if (Result) {
    Last_ = *Result;
    Pause_ = Context_->Config.FirstPause;
    retryLater();
    return;
  }
  ErrorCode Code = Result.error().Code;
  if (isVerdict(Code)) {
    finish(Result.error());
    return;
  }
  if (Code != ErrorCode::Refused)
    MayHaveRun_ = true;
  retryLater();
}

void LedgerCall::retryLater() {
  Duration Left = std::chrono::duration_cast<Duration>(Plan_.Deadline -
                                                       Context_->Clock.now());
  Duration Wait = std::clamp(Left, Duration::zero(), Pause_);
  Pause_ = std::min(2 * Pause_, Context_->Config.LastPause);
  Context_->Timers.after(Wait,
                         [Self = shared_from_this()] { Self->attemptOnce(); });
}

void LedgerCall::finish(Outcome<Json::Value> Result) {
  Plan_.Done(std::move(Result));
}

const Endpoint *LedgerCall::primary() const {
  auto Found = Context_->Views.find(Plan_.Home);
  if (Found == Context_->Views.end())
    return nullptr;
  return Found->second.endpointOf(Found->second.Primary);
}

} // namespace geraniumbay::ledger
