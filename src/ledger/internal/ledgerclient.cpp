//===- ledgerclient.cpp - An entry's way to the ledgers -------------------===//
//
// What an entry holds, and the calls that follow from it.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/ledgerclient.h"
#include "framework/json/json.h"
#include "framework/log/log.h"
#include "ledger/internal/entrywire.h"

#include <set>

namespace geraniumbay::ledger {

namespace {

bool anyResult(const Json::Value & /*Result*/) { return true; }

bool isNotHeld(const Json::Value &Result) {
  auto Reply = attempt([&] { return claimReplyFromJson(Result); });
  return !Reply || Reply->State != ClaimState::Held;
}

/// Calls back once: with the result, or with Timeout at \p Deadline.
template <typename T>
std::function<void(Outcome<T>)> onceBy(CallContext &Context, Time Deadline,
                                       std::function<void(Outcome<T>)> Done) {
  auto Pending =
      std::make_shared<std::function<void(Outcome<T>)>>(std::move(Done));
  auto Once = [Pending](Outcome<T> Result) {
    if (auto Run = std::exchange(*Pending, nullptr))
      Run(std::move(Result));
  };
  Duration Left =
      std::chrono::duration_cast<Duration>(Deadline - Context.Clock.now());
  Context.Timers.after(std::max(Left, Duration::zero()), [Once] {
    Once(Error{ErrorCode::Timeout, "no answer of the ledger in time"});
  });
  return Once;
}

} // namespace

LedgerClient::LedgerClient(const LedgerClientConfig &Config,
                           const IClock &Clock, ITimers &Timers,
                           IRpcClient &Rpc, Holder Self)
    : Context_(std::make_shared<CallContext>(
          CallContext{Config, Clock, Timers, Rpc, {}})),
      Self_(std::move(Self)) {
  NextRenewal_ = Timers.after(Config.RenewEvery, [this] { renewAll(); });
}

LedgerClient::~LedgerClient() {
  *Alive_ = false;
  Context_->Timers.cancel(NextRenewal_);
}

void LedgerClient::claim(const DataCentreId &Home,
                         const SubmissionId &Submission,
                         const std::string &Digest, Time Deadline,
                         ClaimCallback Done) {
  auto [Known, Fresh] = Active_.emplace(Submission, Active{Home, 0, false});
  if (!Fresh) {
    Error Failure{ErrorCode::Conflict, "this entry has the submission already"};
    if (Known->second.Releasing)
      Failure = {ErrorCode::Unavailable, "a release is still under way"};
    Context_->Timers.after(
        Duration::zero(), [Failure, Done = std::move(Done)] { Done(Failure); });
    return;
  }
  begin(
      Home, method::Claim, Deadline,
      [this, Submission, Digest, Deadline] {
        return claimParams(Submission, Digest, Deadline);
      },
      isNotHeld,
      [this, Submission,
       Done = std::move(Done)](const Outcome<Json::Value> &Result) {
        onClaimed(Submission, Result, Done);
      });
}

void LedgerClient::record(const DataCentreId &Home,
                          const SubmissionId &Submission,
                          const std::string &Answer, Time Deadline,
                          AnswerCallback Done) {
  auto Once = onceBy<std::string>(*Context_, Deadline, std::move(Done));
  AnswerRequest Request{Submission, Self_, Answer};
  begin(
      Home, method::RecordAnswer, Deadline + Context_->Config.KeepTrying,
      [Request] { return toJson(Request); }, anyResult,
      [this, Submission, Once](const Outcome<Json::Value> &Result) {
        Active_.erase(Submission);
        if (!Result) {
          Once(Result.error());
          return;
        }
        Once(attempt([&] { return json::readString(*Result, "answer"); }));
      });
}

void LedgerClient::release(const DataCentreId &Home,
                           const SubmissionId &Submission, Time Deadline,
                           ReleaseCallback Done) {
  auto Once = onceBy<geraniumbay::Done>(*Context_, Deadline, std::move(Done));
  // The numbers only rise, so the latest covers every try of this submission.
  ReleaseRequest Request{Submission, Self_, LastAttempt_};
  Active_[Submission].Home = Home;
  Active_[Submission].Releasing = true;
  begin(
      Home, method::Release, Deadline + Context_->Config.KeepTrying,
      [Request] { return toJson(Request); }, anyResult,
      [this, Submission, Once](const Outcome<Json::Value> &Result) {
        Active_.erase(Submission);
        if (Result)
          Once(geraniumbay::Done{});
        else
          Once(Result.error());
      });
}

void LedgerClient::applyView(const LedgerView &View) {
  LedgerView &Known = Context_->Views[View.DataCentre];
  if (View.Number >= Known.Number)
    Known = View;
}

std::optional<Epoch> LedgerClient::epochOf(const DataCentreId &Home) const {
  auto Found = Context_->Views.find(Home);
  if (Found == Context_->Views.end())
    return std::nullopt;
  return Found->second.LedgerEpoch;
}

Json::Value LedgerClient::claimParams(const SubmissionId &Submission,
                                      const std::string &Digest,
                                      Time Deadline) {
  // Each try has a number of its own, so that one which comes late can neither
  // be granted after its release nor be released in place of a later one.
  std::uint64_t Attempt = ++LastAttempt_;
  Active_[Submission].Attempt = Attempt;
  Duration Left =
      std::chrono::duration_cast<Duration>(Deadline - Context_->Clock.now());
  Duration Wait = std::min(Left - Context_->Config.ReplyMargin,
                           Context_->Config.WaitAtLedger);
  return toJson(ClaimRequest{Submission, Digest, Self_, Attempt, Wait});
}

void LedgerClient::onClaimed(const SubmissionId &Submission,
                             const Outcome<Json::Value> &Result,
                             const ClaimCallback &Done) {
  Outcome<ClaimReply> Reply =
      Result ? attempt([&] { return claimReplyFromJson(*Result); })
             : Outcome<ClaimReply>(Result.error());
  Active Claimed = Active_[Submission];
  if (!Reply && Reply.error().Code == ErrorCode::Timeout)
    releaseInBackground(Submission, Claimed);
  else if (!Reply || Reply->State != ClaimState::Granted)
    Active_.erase(Submission);
  Done(std::move(Reply));
}

void LedgerClient::releaseInBackground(const SubmissionId &Submission,
                                       const Active &Claimed) {
  release(Claimed.Home, Submission, Context_->Clock.now(),
          [](const Outcome<geraniumbay::Done> &) {});
}

void LedgerClient::begin(const DataCentreId &Home, const char *Method,
                         Time Deadline, LedgerCall::MakeParams Params,
                         LedgerCall::IsFinal Final, LedgerCall::Callback Done) {
  auto Guarded = [Alive = Alive_,
                  Done = std::move(Done)](const Outcome<Json::Value> &Result) {
    if (*Alive)
      Done(Result);
  };
  // A client that is gone must not be asked for parameters either.
  auto SafeParams = [Alive = Alive_, Params = std::move(Params)] {
    return *Alive ? Params() : Json::Value(Json::objectValue);
  };
  std::make_shared<LedgerCall>(
      Context_, LedgerCall::Plan{Home, Method, Deadline, std::move(SafeParams),
                                 std::move(Final), std::move(Guarded)})
      ->start();
}

void LedgerClient::renewAll() {
  NextRenewal_ = Context_->Timers.after(Context_->Config.RenewEvery,
                                        [this] { renewAll(); });
  std::set<DataCentreId> Homes;
  for (const auto &[Submission, Known] : Active_)
    Homes.insert(Known.Home);
  for (const DataCentreId &Home : Homes) {
    auto Found = Context_->Views.find(Home);
    if (Found == Context_->Views.end())
      continue;
    const Endpoint *To = Found->second.endpointOf(Found->second.Primary);
    if (To)
      Context_->Rpc.call(*To, method::Renew, toJson(Self_),
                         Context_->Config.RpcTimeout,
                         [](const Outcome<Json::Value> &) {});
  }
}

} // namespace geraniumbay::ledger
