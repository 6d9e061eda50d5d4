//===- booktest.cpp - The rules of claims against a naive ledger ----------===//

#include "ledger/internal/book.h"
#include "ledger/submissionkey.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::ledger {
namespace {

using std::chrono::seconds;

/// What the rules say, with no thought of records or speed.
class NaiveLedger {
public:
  struct Known {
    std::string Digest;
    Holder By;
    std::uint64_t Attempt;
    std::string Answer;
  };

  std::string claim(const ClaimRequest &Request, Time Now) {
    auto Found = Submissions.find(Request.Submission);
    if (Found == Submissions.end()) {
      Submissions[Request.Submission] = {Request.Digest, Request.By,
                                         Request.Attempt, ""};
      return "granted";
    }
    Known &It = Found->second;
    if (It.Digest != Request.Digest)
      return "mismatch";
    if (!It.Answer.empty())
      return "answer " + It.Answer;
    if (It.By == Request.By) {
      if (Request.Attempt < It.Attempt)
        return "refused";
      It.Attempt = Request.Attempt;
      return "granted";
    }
    bool Replaced = Newest[It.By.Entry] > It.By.Start;
    if (!Replaced && Now - Heard[It.By] <= seconds(10))
      return "held";
    It.Answer = HolderLostAnswer;
    return "answer " + It.Answer;
  }

  std::string record(const AnswerRequest &Request) {
    auto Found = Submissions.find(Request.Submission);
    if (Found == Submissions.end())
      return "refused";
    if (Found->second.Answer.empty()) {
      if (Found->second.By != Request.By)
        return "refused";
      Found->second.Answer = Request.Answer;
    }
    return Found->second.Answer;
  }

  std::string release(const ReleaseRequest &Request) {
    auto Found = Submissions.find(Request.Submission);
    if (Found == Submissions.end())
      return "released";
    if (Found->second.By != Request.By || !Found->second.Answer.empty() ||
        Request.Attempt < Found->second.Attempt)
      return "refused";
    Submissions.erase(Found);
    return "released";
  }

  std::map<SubmissionId, Known> Submissions;
  std::map<Holder, Time> Heard;
  std::map<VmId, Incarnation> Newest;
};

/// The book with its records carried out at once.
class BookLedger {
public:
  BookLedger() { State.Home = DataCentreId("dc"); }

  template <typename T> void carryOut(const Decision<T> &Made) {
    if (!Made.Write)
      return;
    Record Next = *Made.Write;
    Next.At.Index = ++Index;
    apply(State, Next);
  }

  std::string claim(const ClaimRequest &Request, Time Now) {
    auto Made = attempt(
        [&] { return decideClaim(State, Alive, Request, Now, 0, true); });
    if (!Made)
      return "refused";
    carryOut(*Made);
    switch (Made->Reply.State) {
    case ClaimState::Granted:
      return "granted";
    case ClaimState::Answered:
      return "answer " + Made->Reply.Answer;
    case ClaimState::Held:
      return "held";
    case ClaimState::Mismatch:
      return "mismatch";
    case ClaimState::UnknownEpoch:
      return "unknown epoch";
    }
    return "";
  }

  std::string record(const AnswerRequest &Request) {
    auto Made = attempt([&] { return decideAnswer(State, Request); });
    if (!Made)
      return "refused";
    carryOut(*Made);
    return Made->Reply;
  }

  std::string release(const ReleaseRequest &Request) {
    auto Made = attempt([&] { return decideRelease(State, Request); });
    if (!Made)
      return "refused";
    carryOut(*Made);
    return "released";
  }

  Book State;
  Liveness Alive;
  std::uint64_t Index = 0;
};

RC_GTEST_PROP(BookTest, DecidesLikeTheNaiveLedger, ()) {
  NaiveLedger Naive;
  BookLedger Real;
  Time Now(std::chrono::hours(1));
  int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += seconds(*rc::gen::inRange(0, 6));
    Holder By{VmId(std::to_string(*rc::gen::inRange(0, 3))),
              Incarnation(*rc::gen::inRange<std::uint64_t>(1, 4))};
    bool Current = noteSeen(Real.Alive, By, Now);
    RC_ASSERT(Current == (Naive.Newest[By.Entry] <= By.Start));
    if (!Current)
      continue;
    Naive.Newest[By.Entry] = By.Start;
    Naive.Heard[By] = Now;
    SubmissionId Id("caller/" + std::to_string(*rc::gen::inRange(0, 3)));
    auto Attempt = *rc::gen::inRange<std::uint64_t>(1, 4);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
    case 1: {
      std::string Digest = *rc::gen::inRange(0, 5) == 0 ? "other" : "d";
      ClaimRequest Request{Id, Digest, By, Attempt, Duration::zero()};
      RC_ASSERT(Real.claim(Request, Now) == Naive.claim(Request, Now));
      break;
    }
    case 2: {
      AnswerRequest Request{Id, By, "answer " + std::to_string(Step)};
      RC_ASSERT(Real.record(Request) == Naive.record(Request));
      break;
    }
    default: {
      ReleaseRequest Request{Id, By, Attempt};
      RC_ASSERT(Real.release(Request) == Naive.release(Request));
    }
    }
  }
}

RC_GTEST_PROP(SubmissionKeyTest, AnIssuedIdIsReadBackAndNothingElseIs,
              (std::uint64_t Number, std::uint32_t Current,
               const std::string &Text)) {
  IssuedKey Key{DataCentreId("pak.khlong"), Epoch(Current), Number};
  RC_ASSERT(parseIssuedKey(formatIssuedKey(Key).value()) == Key);
  auto Other = parseIssuedKey(Text);
  RC_ASSERT(!Other.has_value());
  SubmissionId Own = callerKey(CallerId("c"), formatIssuedKey(Key).value());
  RC_ASSERT(!parseIssuedKey(Own.value()).has_value());
}

} // namespace
} // namespace geraniumbay::ledger
