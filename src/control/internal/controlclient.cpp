//===- controlclient.cpp - Asking the control group -----------------------===//
//
// Attempts in rotation. Every request is idempotent: a change of the
// configuration by its operation id, one of a ledger by its view number.
//
//===----------------------------------------------------------------------===//

#include "control/internal/controlclient.h"

#include "control/internal/wire.h"

namespace geraniumbay::control {

namespace {

/// Two rounds over three VMs: an election fits in between.
constexpr std::size_t MaxAttempts = 6;
constexpr Duration AttemptTimeout = std::chrono::seconds(5);
constexpr Duration AttemptDelay = std::chrono::milliseconds(500);

/// Whether another control VM might have an answer.
bool isWorthAnother(const Error &Failure) {
  return Failure.Code == ErrorCode::Unavailable ||
         Failure.Code == ErrorCode::Timeout ||
         Failure.Code == ErrorCode::Refused;
}

/// Turns an RPC result into a typed one with \p Read.
template <typename T, typename ReadT>
IRpcClient::Callback typed(std::function<void(Outcome<T>)> Done, ReadT Read) {
  return [Done = std::move(Done), Read](const Outcome<Json::Value> &Result) {
    if (!Result)
      return Done(Result.error());
    Done(attempt([&] { return Read(*Result); }));
  };
}

} // namespace

struct ControlClient::Request {
  const char *Method;
  Json::Value Params;
  IRpcClient::Callback Answer;
  std::size_t Attempts = 0;
  std::size_t To = 0;
  /// An attempt may have been carried out without our knowing.
  bool MayHaveRun = false;
};

ControlClient::ControlClient(std::vector<Endpoint> ControlVms,
                             IRpcClient &Client, ITimers &Timers)
    : ControlVms_(std::move(ControlVms)), Client_(Client), Timers_(Timers) {}

void ControlClient::propose(ConfigChange Change,
                            std::function<void(Outcome<ConfigAnswer>)> Done) {
  start("control.propose", wire::write(Change),
        typed<ConfigAnswer>(std::move(Done), wire::readConfigAnswer));
}

void ControlClient::changeLedger(
    LedgerChange Change, std::function<void(Outcome<LedgerAnswer>)> Done) {
  start("control.ledger", wire::write(Change),
        typed<LedgerAnswer>(std::move(Done), wire::readLedgerAnswer));
}

void ControlClient::removeMember(VmId Vm,
                                 std::function<void(Outcome<Done>)> Answer) {
  Json::Value Params(Json::objectValue);
  Params["vm"] = Vm.value();
  start("control.remove", std::move(Params),
        typed<Done>(std::move(Answer),
                    [](const Json::Value &) { return RetVal<Done>(Done{}); }));
}

void ControlClient::status(std::function<void(Outcome<ControlStatus>)> Done) {
  start("control.status", Json::Value(Json::objectValue),
        typed<ControlStatus>(std::move(Done), wire::readStatus));
}

void ControlClient::start(const char *Method, Json::Value Params,
                          IRpcClient::Callback Answer) {
  auto Work = std::make_shared<Request>();
  Work->Method = Method;
  Work->Params = std::move(Params);
  Work->Answer = std::move(Answer);
  Work->To = Preferred_;
  attemptNext(Work);
}

void ControlClient::attemptNext(const std::shared_ptr<Request> &Work) {
  ++Work->Attempts;
  const Endpoint &To = ControlVms_[Work->To % ControlVms_.size()];
  Client_.call(To, Work->Method, Work->Params, AttemptTimeout,
               [this, Work](const Outcome<Json::Value> &Result) {
                 answered(Work, Result);
               });
}

void ControlClient::answered(const std::shared_ptr<Request> &Work,
                             const Outcome<Json::Value> &Result) {
  if (Result || !isWorthAnother(Result.error())) {
    Preferred_ = Work->To;
    return Work->Answer(Result);
  }
  Work->MayHaveRun =
      Work->MayHaveRun || Result.error().Code == ErrorCode::Timeout;
  if (Work->Attempts >= MaxAttempts)
    return Work->Answer(
        Error{Work->MayHaveRun ? ErrorCode::Timeout : ErrorCode::Unavailable,
              Result.error().Message});
  ++Work->To;
  Timers_.after(AttemptDelay, [this, Work] { attemptNext(Work); });
}

} // namespace geraniumbay::control
