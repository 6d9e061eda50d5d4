//===- book.cpp - Claims and answers of a data centre ---------------------===//
//
// The rules of claims.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/book.h"
#include "ledger/submissionkey.h"

namespace geraniumbay::ledger {

namespace {

Record recordOf(RecordKind Kind, const SubmissionId &Submission) {
  Record Result;
  Result.Kind = Kind;
  Result.Submission = Submission;
  return Result;
}

Record claimRecord(const ClaimRequest &Request) {
  Record Claim = recordOf(RecordKind::Claim, Request.Submission);
  Claim.Digest = Request.Digest;
  Claim.By = Request.By;
  Claim.Attempt = Request.Attempt;
  return Claim;
}

/// Decides on a repeated claim of the holder itself.
RetVal<Decision<ClaimReply>> decideOwn(const Entry &Known,
                                       const ClaimRequest &Request) {
  if (Request.Attempt < Known.Attempt)
    return fail(ErrorCode::Conflict, "a later claim of the holder came first");
  Decision<ClaimReply> Grant{{ClaimState::Granted, {}}, {}, Known.Index};
  if (Request.Attempt > Known.Attempt)
    Grant.Write = claimRecord(Request);
  return Grant;
}

/// Decides on a claim of a submission that is known.
RetVal<Decision<ClaimReply>> decideKnown(const Entry &Known,
                                         const Liveness &Alive,
                                         const ClaimRequest &Request,
                                         Time Now) {
  using Reply = Decision<ClaimReply>;
  if (Known.Digest != Request.Digest)
    return Reply{{ClaimState::Mismatch, {}}, std::nullopt, Known.Index};
  if (Known.Answer)
    return Reply{{ClaimState::Answered, *Known.Answer}, {}, Known.Index};
  if (Known.By == Request.By)
    return decideOwn(Known, Request);
  if (!isDead(Alive, Known.By, Now))
    return Reply{{ClaimState::Held, {}}, std::nullopt, Known.Index};
  // The holder may have started tasks. The recorded failure is the answer from
  // now on, so that the holder's own is refused if it comes after all.
  Record Fence = recordOf(RecordKind::Answer, Request.Submission);
  Fence.Answer = HolderLostAnswer;
  return Reply{{ClaimState::Answered, HolderLostAnswer}, Fence, 0};
}

/// Whether a claim of an unknown submission may be granted; a reply if it is
/// to be refused for good.
RetVal<std::optional<ClaimState>> checkNew(const Book &State,
                                           const ClaimRequest &Request,
                                           AgeMillis Age, bool TakeOwnKeys) {
  std::optional<ClaimState> Grant;
  auto Issued = parseIssuedKey(Request.Submission.value());
  if (!Issued) {
    if (!TakeOwnKeys || Age < State.KeysRefusedUntil)
      return fail(ErrorCode::Unavailable,
                  "callers' own keys are not taken at present");
    return Grant;
  }
  if (Issued->Home != State.Home)
    return fail(ErrorCode::InvalidArgument, "id of another data centre");
  if (Issued->IssuedIn > State.Current)
    return fail(ErrorCode::Unavailable, "id of a later epoch");
  if (Issued->IssuedIn < State.Current)
    Grant = ClaimState::UnknownEpoch;
  return Grant;
}

} // namespace

bool noteSeen(Liveness &Known, const Holder &By, Time Now) {
  auto &Seen = Known.Entries[By.Entry];
  if (By.Start < Seen.Newest)
    return false;
  Seen.Newest = By.Start;
  Seen.At = Now;
  return true;
}

bool isDead(const Liveness &Known, const Holder &By, Time Now) {
  auto Found = Known.Entries.find(By.Entry);
  if (Found == Known.Entries.end())
    return Now - Known.Since > Known.Lease;
  if (Found->second.Newest != By.Start)
    return Found->second.Newest > By.Start || Now - Known.Since > Known.Lease;
  return Now - std::max(Known.Since, Found->second.At) > Known.Lease;
}

RetVal<Decision<ClaimReply>> decideClaim(const Book &State,
                                         const Liveness &Known,
                                         const ClaimRequest &Request, Time Now,
                                         AgeMillis Age, bool TakeOwnKeys) {
  auto Found = State.Entries.find(Request.Submission);
  if (Found != State.Entries.end())
    return decideKnown(Found->second, Known, Request, Now);
  BOOST_LEAF_AUTO(Refusal, checkNew(State, Request, Age, TakeOwnKeys));
  if (Refusal)
    return Decision<ClaimReply>{{*Refusal, {}}, std::nullopt, 0};
  return Decision<ClaimReply>{
      {ClaimState::Granted, {}}, claimRecord(Request), 0};
}

RetVal<Decision<std::string>> decideAnswer(const Book &State,
                                           const AnswerRequest &Request) {
  auto Found = State.Entries.find(Request.Submission);
  if (Found == State.Entries.end())
    return fail(ErrorCode::NotFound, "the submission is not claimed");
  const Entry &Known = Found->second;
  if (Known.Answer)
    return Decision<std::string>{*Known.Answer, std::nullopt, Known.Index};
  if (Known.By != Request.By)
    return fail(ErrorCode::Conflict, "the submission is claimed by another");
  Record Answer = recordOf(RecordKind::Answer, Request.Submission);
  Answer.Answer = Request.Answer;
  return Decision<std::string>{Request.Answer, Answer, 0};
}

RetVal<Decision<Done>> decideRelease(const Book &State,
                                     const ReleaseRequest &Request) {
  auto Found = State.Entries.find(Request.Submission);
  if (Found == State.Entries.end())
    return Decision<Done>{};
  if (Found->second.By != Request.By || Found->second.Answer)
    return fail(ErrorCode::Conflict, "the claim is not to be released");
  if (Request.Attempt < Found->second.Attempt)
    return fail(ErrorCode::Conflict, "a later claim of the holder came first");
  return Decision<Done>{
      {}, recordOf(RecordKind::Release, Request.Submission), 0};
}

void apply(Book &State, const Record &Written) {
  switch (Written.Kind) {
  case RecordKind::Claim:
    State.Entries[Written.Submission] = {
        Written.Digest, Written.By, Written.Attempt, {}, Written.At.Index, 0};
    return;
  case RecordKind::Answer: {
    auto Found = State.Entries.find(Written.Submission);
    if (Found == State.Entries.end())
      return;
    Found->second.Answer = Written.Answer;
    Found->second.Index = Written.At.Index;
    Found->second.AnsweredAt = Written.Age;
    State.Answered.emplace(Written.Age, Written.Submission);
    return;
  }
  case RecordKind::Release:
    State.Entries.erase(Written.Submission);
    return;
  case RecordKind::Entry:
    State.Entries[Written.Submission] = {
        Written.Digest, Written.By,       Written.Attempt,
        Written.Answer, Written.At.Index, Written.Answer ? Written.Age : 0};
    if (Written.Answer)
      State.Answered.emplace(Written.Age, Written.Submission);
    return;
  case RecordKind::Epoch:
  case RecordKind::Head:
    State.Current = Written.NewEpoch;
    State.KeysRefusedUntil = Written.RefuseUntil;
    return;
  }
}

void expire(Book &State, AgeMillis Before) {
  auto Oldest = State.Answered.begin();
  while (Oldest != State.Answered.end() && Oldest->first < Before) {
    auto Found = State.Entries.find(Oldest->second);
    if (Found != State.Entries.end() && Found->second.Answer &&
        Found->second.AnsweredAt == Oldest->first)
      State.Entries.erase(Found);
    Oldest = State.Answered.erase(Oldest);
  }
}

Record restate(const SubmissionId &Submission, const Entry &Known) {
  Record Result = recordOf(RecordKind::Entry, Submission);
  Result.At.Index = Known.Index;
  Result.Age = Known.AnsweredAt;
  Result.Digest = Known.Digest;
  Result.By = Known.By;
  Result.Attempt = Known.Attempt;
  Result.Answer = Known.Answer;
  return Result;
}

} // namespace geraniumbay::ledger
