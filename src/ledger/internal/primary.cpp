//===- primary.cpp - Claims at the primary --------------------------------===//
//
// Decisions, commits and waiting claimants.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/primary.h"

namespace geraniumbay::ledger {

namespace {

/// How often claimants that wait are looked at before their time, in case that
/// the holder has died.
constexpr Duration RecheckEvery = std::chrono::milliseconds(500);
/// How long a released try is remembered: longer than any message is late.
constexpr Duration ReleasedFor = std::chrono::minutes(1);

Error notRun(const std::string &Why) {
  return Error{ErrorCode::Refused, Why + "; retry_after_ms=1000"};
}

/// Tells "certainly not carried out" from what a lost reply looks like.
Error toReply(const Error &Failure) {
  bool MayWork =
      Failure.Code == ErrorCode::Unavailable || Failure.Code == ErrorCode::Io;
  return MayWork ? notRun(Failure.Message) : Failure;
}

} // namespace

Primary::Primary(const LedgerConfig &Config, const IClock &Clock, Replica &Copy,
                 Replicator &Others)
    : Config_(Config), Clock_(Clock), Replica_(Copy), Replicator_(Others) {
  Alive_.Lease = Config.HolderLease;
  Alive_.Since = Clock.now();
}

void Primary::claim(const ClaimRequest &Request, Reply<ClaimReply> Answer) {
  if (auto Failure = refusal(Request.By)) {
    Answer(*Failure);
    return;
  }
  if (wasReleased(Request)) {
    Answer(Error{ErrorCode::Conflict, "this claim was released"});
    return;
  }
  auto Made = attempt([&] {
    return decideClaim(Replica_.claims(), Alive_, Request, Clock_.now(),
                       Replica_.age(), Replica_.takesOwnKeys());
  });
  if (Made && Made->Reply.State == ClaimState::Held) {
    park(Request, Answer);
    return;
  }
  finish<ClaimReply>(Made, std::move(Answer));
}

void Primary::record(const AnswerRequest &Request, Reply<std::string> Answer) {
  if (auto Failure = refusal(Request.By)) {
    Answer(*Failure);
    return;
  }
  finish<std::string>(
      attempt([&] { return decideAnswer(Replica_.claims(), Request); }),
      std::move(Answer));
}

void Primary::release(const ReleaseRequest &Request, Reply<Done> Answer) {
  if (auto Failure = refusal(Request.By)) {
    Answer(*Failure);
    return;
  }
  Released &Known = Released_[{Request.Submission, Request.By}];
  Known.Attempt = std::max(Known.Attempt, Request.Attempt);
  Known.At = Clock_.now();
  finish<Done>(
      attempt([&] { return decideRelease(Replica_.claims(), Request); }),
      std::move(Answer));
}

void Primary::renew(const Holder &By, const Reply<Epoch> &Answer) {
  if (auto Failure = refusal(By))
    Answer(*Failure);
  else
    Answer(Replica_.view()->LedgerEpoch);
}

void Primary::onProgress() {
  std::uint64_t Committed = Replicator_.committed();
  while (!Waiting_.empty() && Waiting_.begin()->first <= Committed) {
    Waiter Next = std::move(Waiting_.begin()->second);
    Waiting_.erase(Waiting_.begin());
    Next.Finish(true);
  }
}

void Primary::viewChanged() {
  Alive_.Since = Clock_.now();
  if (Replica_.role() == Role::Primary)
    return;
  for (auto &[Index, Next] : std::exchange(Waiting_, {}))
    Next.Finish(false);
  for (auto &[Submission, Next] : std::exchange(Parked_, {}))
    Next.Answer(notRun("no longer the primary"));
}

void Primary::tick() {
  Time Now = Clock_.now();
  std::vector<Waiter> Late;
  std::erase_if(Waiting_, [&](auto &Entry) {
    if (Entry.second.Deadline > Now && !Replica_.failed())
      return false;
    Late.push_back(std::move(Entry.second));
    return true;
  });
  for (const Waiter &Next : Late)
    Next.Finish(false);
  std::erase_if(Released_, [&](const auto &Entry) {
    return Now - Entry.second.At > ReleasedFor;
  });
  recheckParked();
}

void Primary::forgiveSilence() { Alive_.Since = Clock_.now(); }

std::optional<Error> Primary::refusal(const Holder &By) {
  if (Replica_.role() != Role::Primary)
    return notRun("not the primary");
  if (Replica_.failed())
    return notRun("the ledger's disk has failed");
  if (!noteSeen(Alive_, By, Clock_.now()))
    return Error{ErrorCode::Conflict, "a newer start of the entry is known"};
  return std::nullopt;
}

template <typename T>
void Primary::finish(const Outcome<Decision<T>> &Made, Reply<T> Answer) {
  if (!Made) {
    Answer(toReply(Made.error()));
    return;
  }
  if (!Made->Write) {
    std::uint64_t After =
        Made->After ? Made->After : Replica_.past().Last.Index;
    waitFor<T>(After, Made->Reply, std::move(Answer));
    return;
  }
  if (Replicator_.stalled()) {
    Answer(notRun("a copy of the ledger is out of reach"));
    return;
  }
  const Record &Write = *Made->Write;
  auto Index = attempt([&] { return Replica_.appendOwn(Write); });
  if (!Index) {
    Answer(toReply(Index.error()));
    return;
  }
  Replicator_.push();
  Reply<T> AndWake = [this, Submission = Write.Submission,
                      Answer = std::move(Answer)](const Outcome<T> &Result) {
    Answer(Result);
    wake(Submission);
  };
  waitFor<T>(*Index, Made->Reply, std::move(AndWake));
}

template <typename T>
void Primary::waitFor(std::uint64_t Index, T Value, Reply<T> Answer) {
  if (Index <= Replicator_.committed()) {
    Answer(std::move(Value));
    return;
  }
  Waiter Next;
  Next.Deadline = Clock_.now() + Config_.CommitTimeout;
  Next.Finish = [Value = std::move(Value),
                 Answer = std::move(Answer)](bool Committed) {
    if (Committed)
      Answer(Value);
    else
      Answer(Error{ErrorCode::Timeout, "not known to be on all copies"});
  };
  Waiting_.emplace(Index, std::move(Next));
}

bool Primary::wasReleased(const ClaimRequest &Request) const {
  auto Found = Released_.find({Request.Submission, Request.By});
  return Found != Released_.end() && Request.Attempt <= Found->second.Attempt;
}

void Primary::park(const ClaimRequest &Request,
                   const Reply<ClaimReply> &Answer) {
  if (Request.Wait <= Duration::zero()) {
    Answer(ClaimReply{ClaimState::Held, {}});
    return;
  }
  Parked_.emplace(Request.Submission,
                  Parked{Request, Clock_.now() + Request.Wait, Answer});
}

void Primary::wake(const SubmissionId &Submission) {
  auto [First, End] = Parked_.equal_range(Submission);
  std::vector<Parked> Woken;
  for (auto Next = First; Next != End; ++Next)
    Woken.push_back(std::move(Next->second));
  Parked_.erase(First, End);
  for (Parked &Next : Woken) {
    Next.Request.Wait = Next.Deadline - Clock_.now();
    claim(Next.Request, std::move(Next.Answer));
  }
}

void Primary::recheckParked() {
  Time Now = Clock_.now();
  bool All = Now - LastRecheck_ >= RecheckEvery;
  if (All)
    LastRecheck_ = Now;
  std::set<SubmissionId> Submissions;
  for (const auto &[Submission, Next] : Parked_)
    if (All || Next.Deadline <= Now)
      Submissions.insert(Submission);
  for (const SubmissionId &Submission : Submissions)
    wake(Submission);
}

} // namespace geraniumbay::ledger
