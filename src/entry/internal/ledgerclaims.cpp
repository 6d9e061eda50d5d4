//===- ledgerclaims.cpp - Claims by the ledger module ---------------------===//
//
// Translates between the coordinator and the ledger's client.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/ledgerclaims.h"

#include "framework/json/json.h"

#include <memory>

namespace geraniumbay::entry {

namespace {

/// How long an answer is tried to be recorded after its caller was told to ask
/// again.
constexpr Duration BackgroundRecording = std::chrono::minutes(10);
/// How long a release is tried.
constexpr Duration ReleaseTime = std::chrono::seconds(30);
/// When a caller comes back whose submission another entry still runs, or
/// whose ledger cannot be reached.
constexpr Duration ComeBack = std::chrono::seconds(1);

/// A ledger that does not answer for so long cannot take the claim now; the
/// caller is told at once to come back. A claim that another entry holds is
/// waited for again and again.
constexpr Duration ClaimPatience = std::chrono::seconds(3);

bool isHeld(const Outcome<ledger::ClaimReply> &Reply) {
  return Reply.ok() && Reply->State == ledger::ClaimState::Held;
}

ClaimEvent refused(Result Answer) { return ClaimRefused{std::move(Answer)}; }

/// The submission is in somebody's hands, who may have started it.
ClaimEvent heldBy(const char *Detail) {
  Result Held = mayHaveRun(FailureReason::HeldElsewhere, Detail);
  Held.RetryAfter = ComeBack;
  return refused(std::move(Held));
}

ClaimEvent readReply(const ledger::ClaimReply &Reply) {
  switch (Reply.State) {
  case ledger::ClaimState::Granted:
    return ClaimGranted{};
  case ledger::ClaimState::Answered:
    return ClaimAnswered{readRecorded(Reply.Answer)};
  case ledger::ClaimState::Held:
    break;
  case ledger::ClaimState::Mismatch:
    return refused(
        notRun(FailureReason::KeyReused, "the key belongs to another request"));
  case ledger::ClaimState::UnknownEpoch:
    return refused(mayHaveRun(FailureReason::UnknownEpoch,
                              "the id is from before a loss of the ledger; "
                              "whether it ran is unknown, it will not be run"));
  }
  return heldBy("another entry runs it; ask again");
}

} // namespace

ClaimEvent readClaimOutcome(const Outcome<ledger::ClaimReply> &Reply) {
  if (Reply.ok())
    return readReply(*Reply);
  // An earlier claim of this entry is in the way, for instance of a job whose
  // answer is not recorded yet.
  if (Reply.error().Code == ErrorCode::Conflict)
    return heldBy("an earlier submission is not over; ask again");
  // Whatever became of the claim, this entry starts nothing of it, and the
  // ledger's client releases what may have been claimed. But nobody has told
  // whether an earlier submission ran.
  Result Away =
      mayHaveRun(FailureReason::LedgerUnavailable, Reply.error().Message);
  Away.RetryAfter = ComeBack;
  return refused(std::move(Away));
}

Result readRecorded(const std::string &Text) {
  auto Answer = attempt([&]() -> RetVal<Result> {
    BOOST_LEAF_AUTO(Value, json::parse(Text));
    return readResult(Value);
  });
  if (Answer.ok())
    return *Answer;
  return mayHaveRun(FailureReason::CoordinatorLost,
                    "the entry that ran it was lost");
}

void LedgerClaims::claim(const Submission &Request, ClaimCallback Done) {
  if (!Pending_.emplace(Request.Id, Pending{}).second) {
    Timers_.after(Duration::zero(), [Done = std::move(Done)] {
      Done(heldBy("an earlier claim of it is under way; ask again"));
    });
    return;
  }
  ask({Request.Home, Request.Id, Request.Digest, Request.Deadline},
      std::move(Done));
}

void LedgerClaims::ask(const Wanted &Claim, ClaimCallback Done) {
  Time GiveUp = std::min(Claim.Deadline, Clock_.now() + ClaimPatience);
  Ledger_.claim(Claim.Home, Claim.Id, Claim.Digest, GiveUp,
                [this, Claim, Done = std::move(Done)](
                    const Outcome<ledger::ClaimReply> &Reply) {
                  bool TimeLeft = Claim.Deadline - Clock_.now() > ClaimPatience;
                  if (isHeld(Reply) && TimeLeft && !Pending_[Claim.Id].Released)
                    return ask(Claim, Done);
                  claimed(Claim.Home, Claim.Id, Reply);
                  Done(readClaimOutcome(Reply));
                });
}

void LedgerClaims::claimed(const DataCentreId &Home, const SubmissionId &Id,
                           const Outcome<ledger::ClaimReply> &Reply) {
  bool Unwanted = Pending_[Id].Released;
  Pending_.erase(Id);
  if (Unwanted && Reply.ok() && Reply->State == ledger::ClaimState::Granted)
    giveBack(Home, Id);
}

void LedgerClaims::record(const Submission &Request, const Result &Answer,
                          Time GiveUpAt, RecordCallback Done) {
  // The first of the two to come, the ledger's answer or the time to give up,
  // answers; recording goes on in the background.
  auto Waiting = std::make_shared<RecordCallback>(std::move(Done));
  auto AnswerOnce = [Waiting](const std::optional<Result> &Recorded) {
    if (RecordCallback Callback = std::exchange(*Waiting, nullptr))
      Callback(Recorded);
  };
  TimerId GiveUp = Timers_.after(GiveUpAt - Clock_.now(),
                                 [AnswerOnce] { AnswerOnce(std::nullopt); });
  Ledger_.record(Request.Home, Request.Id, json::write(resultJson(Answer)),
                 GiveUpAt + BackgroundRecording,
                 [this, AnswerOnce, GiveUp](const Outcome<std::string> &Text) {
                   Timers_.cancel(GiveUp);
                   if (Text.ok())
                     AnswerOnce(readRecorded(*Text));
                   else
                     AnswerOnce(std::nullopt);
                 });
}

void LedgerClaims::release(const Submission &Request) {
  auto Found = Pending_.find(Request.Id);
  if (Found != Pending_.end())
    Found->second.Released = true;
  else
    giveBack(Request.Home, Request.Id);
}

void LedgerClaims::giveBack(const DataCentreId &Home, const SubmissionId &Id) {
  Ledger_.release(Home, Id, Clock_.now() + ReleaseTime,
                  [](const Outcome<geraniumbay::Done> &) {});
}

} // namespace geraniumbay::entry
