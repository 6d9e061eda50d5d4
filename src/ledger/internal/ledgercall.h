//===- ledgercall.h - One request to a ledger, with retries -----*- C++ -*-===//
//
// Sends a request to the primary of a data centre again and again until it is
// answered, refused for good or late, and keeps track of whether it can have
// been carried out.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_LEDGERCALL_H
#define GERANIUMBAY_LEDGER_INTERNAL_LEDGERCALL_H

#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "ledger/ledgerclientconfig.h"
#include "ledger/ledgerview.h"

#include <map>
#include <memory>

namespace geraniumbay::ledger {

/// The views that a client knows, and what its calls work with.
struct CallContext {
  const LedgerClientConfig Config;
  const IClock &Clock;
  ITimers &Timers;
  IRpcClient &Rpc;
  std::map<DataCentreId, LedgerView> Views;
};

/// One request, alive until it is finished.
class LedgerCall : public std::enable_shared_from_this<LedgerCall> {
public:
  /// Makes the parameters of the next try.
  using MakeParams = std::function<Json::Value()>;
  /// Whether a result ends the call; otherwise it is tried again.
  using IsFinal = std::function<bool(const Json::Value &)>;
  using Callback = std::function<void(Outcome<Json::Value>)>;

  /// What is called.
  struct Plan {
    DataCentreId Home;
    std::string Method;
    Time Deadline;
    MakeParams Params;
    IsFinal Final;
    Callback Done;
  };

  LedgerCall(std::shared_ptr<CallContext> Context, Plan Wanted)
      : Context_(std::move(Context)), Plan_(std::move(Wanted)),
        Pause_(Context_->Config.FirstPause) {}

  /// Begins; the callback never runs before this returns. It gets Timeout if
  /// the request may have been carried out, Unavailable if it certainly was
  /// not, and a ledger's own refusal as it is.
  void start();

private:
  void attemptOnce();
  void onResult(const Outcome<Json::Value> &Result);
  void retryLater();
  void finish(Outcome<Json::Value> Result);
  const Endpoint *primary() const;

  std::shared_ptr<CallContext> Context_;
  Plan Plan_;
  Duration Pause_;
  bool Tried_ = false;
  /// Whether some try may have been carried out.
  bool MayHaveRun_ = false;
  /// The last result that was not final.
  std::optional<Json::Value> Last_;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_LEDGERCALL_H
