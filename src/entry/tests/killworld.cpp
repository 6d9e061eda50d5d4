//===- killworld.cpp - Entries that are killed and frozen -----------------===//
//
// The faked pools, workers and callers, and what must always hold.
//
//===----------------------------------------------------------------------===//

#include "entry/tests/killworld.h"

#include <algorithm>

namespace geraniumbay::entry {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const DataCentreId Home("dc");

std::string afterLastSlash(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

} // namespace

// Pools.

void WorldPools::acquire(dispatch::PoolRequest Request, LeaseCallback OnLease,
                         RejectCallback OnReject) {
  Waiting_[Request.Id] = {Request.Tasks, std::move(OnLease),
                          std::move(OnReject)};
  if (!World_.HoldGrants)
    Timers_.after(milliseconds(1), [this, Id = Request.Id] { decide(Id); });
}

void WorldPools::cancel(const dispatch::RequestId &Request) {
  if (!World_.GrantAfterCancel)
    Waiting_.erase(Request);
}

void WorldPools::release(const dispatch::Lease &Held,
                         dispatch::LeaseOutcome /*Outcome*/, Duration /*Ran*/) {
  Out_.erase(Held.Id);
}

void WorldPools::grantAll() {
  std::vector<dispatch::RequestId> Ids;
  for (const auto &[Id, Asked] : Waiting_)
    Ids.push_back(Id);
  for (const dispatch::RequestId &Id : Ids)
    World_.Net.send(
        World_.Net.at(KillWorld::Platform), KillWorld::processOf(Self_.Entry),
        [this, Id](const ledger::TestProcess & /*At*/) { decide(Id); });
}

void WorldPools::decide(const dispatch::RequestId &Id) {
  auto Found = Waiting_.find(Id);
  if (Found == Waiting_.end())
    return;
  Waiting Asked = std::move(Found->second);
  Waiting_.erase(Found);
  if (World_.Overloaded) {
    Asked.OnReject({dispatch::RejectReason::Overloaded, seconds(1)});
    return;
  }
  for (std::uint32_t I = 0; I < Asked.Tasks; ++I) {
    dispatch::Lease Held;
    Held.Id = dispatch::LeaseId(++LastLease_);
    Held.Request = Id;
    Out_.insert(Held.Id);
    Asked.OnLease(Held);
  }
}

// Connections.

HttpCallId WorldHttp::call(const Endpoint & /*To*/, HttpRequest Request,
                           Duration Timeout, Callback Done) {
  HttpCallId Id(++Last_);
  Open_[Id] = std::move(Done);
  Timers_.after(Timeout, [this, Id] {
    finish(Id, Error{ErrorCode::Timeout, "no answer"});
  });
  World_.toWorker({Self_, Id}, Request);
  return Id;
}

void WorldHttp::finish(HttpCallId Id, const Outcome<HttpResponse> &Answer) {
  auto Found = Open_.find(Id);
  if (Found == Open_.end())
    return;
  Callback Done = std::move(Found->second);
  Open_.erase(Found);
  Done(Answer);
}

void WorldHttp::resetAll() {
  std::vector<HttpCallId> Ids;
  for (const auto &[Id, Done] : Open_)
    Ids.push_back(Id);
  for (HttpCallId Id : Ids)
    finish(Id, Error{ErrorCode::Unavailable, "connection reset"});
}

// Claims.

void NotingClaims::claim(const Submission &Request, ClaimCallback Done) {
  Heard = false;
  Real_.claim(Request, [this, Done = std::move(Done)](const ClaimEvent &Event) {
    const auto *Refused = std::get_if<ClaimRefused>(&Event);
    Heard = Refused == nullptr ||
            Refused->Answer.Reason != FailureReason::LedgerUnavailable;
    Done(Event);
  });
}

void NotingClaims::record(const Submission &Request, const Result &Answer,
                          Time GiveUpAt, RecordCallback Done) {
  ++Records;
  Real_.record(Request, Answer, GiveUpAt, std::move(Done));
}

// Entries.

EntryProcess::EntryProcess(KillWorld &World, ProcessRef Self)
    : EntryProcess(World, World.Net.at(KillWorld::processOf(Self.Entry)),
                   Self) {}

EntryProcess::EntryProcess(KillWorld &World, ledger::TestProcess &Own,
                           ProcessRef Self)
    : Pools(World, *Own.Timers, Self), Http(World, *Own.Timers, Self),
      Workers(Http), Ledger(*Own.Client, World.Net.Clock, *Own.Timers),
      Claims(Ledger), Spans(World.Net.Clock, World.Net.Numbers, {}),
      Submissions(
          RunnerServices{World.Net.Clock, *Own.Timers, Pools, Claims, Workers,
                         [&World] {
                           return dispatch::RequestId(
                               std::to_string(World.Net.Numbers.bits()));
                         },
                         Extra, Measured, Spans}) {}

// The world.

KillWorld::KillWorld(std::uint64_t Seed) : Net(Ledgers, Entries + 1, Seed) {
  Net.runUntil([this] { return Net.hasMembers(Ledgers); });
  Request.Id = SubmissionId(Net.issue(1));
  Request.Home = Home;
  Request.Digest = "digest";
  Request.Service = ServiceId("triage");
  Request.Payloads = {"a", "b", "c"};
  Processes_.resize(Entries);
  for (std::size_t Entry = 0; Entry < Entries; ++Entry)
    restart(Entry);
  Net.run(seconds(1));
}

std::size_t KillWorld::submit(std::size_t Entry, Duration Patience) {
  std::size_t Index = All.size();
  All.push_back({});
  All.back().Entry = Entry;
  Submission Sent = Request;
  Sent.Deadline = Net.Clock.now() + Patience;
  entry(Entry).Submissions.submit(
      Sent, Span{},
      [this, Index](const Result &Answer) { tell(Index, Answer); });
  return Index;
}

Result KillWorld::askUntilFinal(std::size_t Entry) {
  constexpr Duration Patience = seconds(60);
  Time End = Net.Clock.now() + Patience;
  Result Last = notRun(FailureReason::None, "no answer");
  while (Net.Clock.now() < End) {
    std::size_t Index = submit(Entry);
    Net.runUntil([&] { return All[Index].Answer.has_value(); }, seconds(10));
    if (!All[Index].Answer) {
      fail("a caller got no answer");
      return Last;
    }
    Last = *All[Index].Answer;
    if (Last.RetryAfter == Duration::zero())
      return Last;
    Net.run(Last.RetryAfter);
  }
  return Last;
}

void KillWorld::kill(std::size_t Entry) {
  Net.crash(processOf(Entry));
  Processes_[Entry].reset();
}

void KillWorld::restart(std::size_t Entry) {
  std::size_t Process = processOf(Entry);
  if (!Net.at(Process).Client)
    Net.start(Process);
  Processes_[Entry] = std::make_unique<EntryProcess>(
      *this, ProcessRef{Entry, Net.at(Process).Start});
}

bool KillWorld::serves(std::size_t Entry) {
  return Processes_[Entry] != nullptr && !Net.at(processOf(Entry)).Frozen;
}

void KillWorld::cutFromLedgers(std::size_t Entry, bool Cut) {
  for (std::size_t Ledger = 0; Ledger < Ledgers; ++Ledger)
    Net.setCut(processOf(Entry), Ledger, Cut);
}

void KillWorld::stallDisks(bool Stalled) {
  Net.StalledDisks.clear();
  for (std::size_t Ledger = 0; Stalled && Ledger < Ledgers; ++Ledger)
    Net.StalledDisks.insert(Ledger);
}

void KillWorld::heal() {
  HoldGrants = GrantAfterCancel = Overloaded = HoldAnswers = false;
  RefusePercent = 0;
  Net.healAll();
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    if (!Processes_[Entry])
      restart(Entry);
    entry(Entry).Pools.grantAll();
  }
  answerAll();
}

void KillWorld::answerOne() {
  if (!Tasks_.empty())
    finishTask(CallRef(Tasks_.front().Call));
}

void KillWorld::answerAll() {
  while (!Tasks_.empty())
    answerOne();
}

int KillWorld::starts() const {
  int Sum = 0;
  for (const auto &[Id, Count] : Starts)
    Sum += Count;
  return Sum;
}

std::optional<Result> KillWorld::recorded() {
  auto Reply = Net.claim(Platform, Request.Id.value(), Request.Digest,
                         milliseconds(100));
  if (!Reply.ok() || Reply->State != ledger::ClaimState::Answered)
    return std::nullopt;
  return readRecorded(Reply->Answer);
}

// Workers.

void KillWorld::toWorker(const CallRef &Call, const HttpRequest &Sent) {
  Net.send(Net.at(processOf(Call.From.Entry)), Platform,
           [this, Call, Sent](const ledger::TestProcess & /*At*/) {
             arrive(Call, Sent);
           });
}

void KillWorld::arrive(const CallRef &Call, const HttpRequest &Sent) {
  if (!Seen_.insert(Call).second)
    return;
  std::string Id = afterLastSlash(Sent.Path);
  if (Sent.Path.rfind("/cancel/", 0) == 0) {
    std::erase_if(Tasks_, [&](const HeldTask &Task) { return Task.Id == Id; });
    answer(Call, {200, {{TaskIdHeader, Id}}, ""});
    return;
  }
  if (Net.Numbers.below(100) < RefusePercent)
    answer(Call, {503, {{NotStartedHeader, "1"}}, ""});
  else
    startTask(Call, Id, Sent.Body);
}

void KillWorld::startTask(const CallRef &Call, const std::string &Id,
                          const std::string &Payload) {
  ++Starts[Id];
  checkStart(Id);
  Tasks_.push_back({Call, Id, Payload});
  if (!HoldAnswers)
    Net.at(Platform).Timers->after(RunTime, [this, Call] { finishTask(Call); });
}

void KillWorld::finishTask(const CallRef &Call) {
  auto Found =
      std::find_if(Tasks_.begin(), Tasks_.end(),
                   [&](const HeldTask &Task) { return Task.Call == Call; });
  if (Found == Tasks_.end())
    return;
  HeldTask Ended = std::move(*Found);
  Tasks_.erase(Found);
  answer(Ended.Call,
         {200, {{TaskIdHeader, Ended.Id}}, "done:" + Ended.Payload});
}

void KillWorld::answer(const CallRef &Call, const HttpResponse &Response) {
  std::size_t Entry = Call.From.Entry;
  Net.send(Net.at(Platform), processOf(Entry),
           [this, Call, Entry, Response](const ledger::TestProcess &At) {
             // The connection ended with the process that opened it.
             if (Processes_[Entry] && At.Start == Call.From.Start)
               Processes_[Entry]->Http.finish(Call.Id, Response);
           });
}

// What must always hold.

void KillWorld::tell(std::size_t Index, const Result &Answer) {
  Told &Now = All[Index];
  if (Now.Answer)
    fail("a caller was answered twice");
  Now.Answer = Answer;
  Now.StartsBefore = starts();
  checkAnswer(Now);
}

void KillWorld::checkAnswer(const Told &Now) {
  const Result &Answer = *Now.Answer;
  if (!Answer.complete()) {
    if (!Answer.Answers.empty())
      fail("a failed answer has answers of tasks");
    if (Answer.DidRun == Ran::No && Now.StartsBefore > 0)
      fail(std::string("told not run, but it ran: ") +
           failureReasonName(Answer.Reason));
    return;
  }
  std::vector<std::string> Whole;
  for (const std::string &Payload : Request.Payloads)
    Whole.push_back("done:" + Payload);
  if (Answer.Answers != Whole)
    fail("a complete answer is not the whole answer");
}

void KillWorld::checkStart(const std::string &Id) {
  if (Starts[Id] > 1)
    fail("task " + Id + " started twice");
  bool AnyOpen = std::any_of(All.begin(), All.end(), [](const Told &One) {
    return !One.Answer || One.Answer->complete() ||
           One.Answer->DidRun != Ran::No;
  });
  if (!AnyOpen)
    fail("a task started after every caller was told not run");
}

void KillWorld::fail(const std::string &Why) {
  if (Violation_.empty())
    Violation_ = Why;
}

} // namespace geraniumbay::entry
