//===- poolpropertytest.cpp - Properties of a pool under any events -------===//

#include "dispatch/tests/poolfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace geraniumbay::dispatch {
namespace {

/// Feeds a pool with random events and keeps books of its own beside it.
struct RandomRun {
  RandomRun() {
    for (int I = 0; I < Workers; ++I)
      announceWorker(I);
  }

  void step() {
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
      Fixture.Clock.advance(milliseconds(*rc::gen::inRange(1, 1500)));
      break;
    case 1:
      announceWorker(*rc::gen::inRange(0, Workers));
      break;
    case 2:
      leave(*rc::gen::inRange(0, Workers));
      break;
    case 3:
      cancelOne();
      break;
    case 4:
    case 5:
      releaseOne();
      break;
    default:
      askOne();
    }
    settle();
  }

  /// Ends all leases and lets the pool serve what is left.
  void finish() {
    for (int Round = 0; Round < 2000 && !(Out.empty() && Open.empty());
         ++Round) {
      for (int I = 0; I < Workers; ++I)
        announceWorker(I);
      while (!Out.empty())
        releaseOne();
      settle();
    }
    RC_ASSERT(Open.empty());
  }

  static constexpr int Workers = 4;
  static constexpr std::uint32_t Slots = 3;

  struct Known {
    Time HeardAt{};
    std::uint64_t Start = 1;
    bool Left = false;
  };

  void announceWorker(int Index) {
    std::string Name = "w" + std::to_string(Index);
    Known &State = Of[Name];
    // A worker that left comes back as a new process.
    State.Start += State.Left ? 1 : 0;
    State.Left = false;
    State.HeardAt = Fixture.Clock.now();
    RC_ASSERT(announce(*Fixture.Pool, worker(Name, Slots, State.Start),
                       Fixture.Clock.now()));
  }

  void leave(int Index) {
    std::string Name = "w" + std::to_string(Index);
    WorkerAnnouncement Leaving = worker(Name, Slots, Of[Name].Start);
    Leaving.Leaving = true;
    announce(*Fixture.Pool, Leaving, Fixture.Clock.now());
    Of[Name].Left = true;
  }

  void askOne() {
    bool IsUrgent = *rc::gen::arbitrary<bool>();
    PoolRequest Request =
        request("r" + std::to_string(++Asked), *rc::gen::inRange(1, 9),
                IsUrgent ? WorkClass::Urgent : WorkClass::Routine,
                "t" + std::to_string(*rc::gen::inRange(0, 3)));
    if (*rc::gen::arbitrary<bool>())
      Request.TimeLeft = milliseconds(*rc::gen::inRange(200, 3000));
    if (*rc::gen::arbitrary<bool>() && Request.Tasks == 1)
      Request.Kind = RequestKind::RepeatableSingle;
    if (!Fixture.ask(Request))
      Open[Request.Id] = Request.Tasks;
  }

  void cancelOne() {
    if (Open.empty())
      return;
    auto Victim = Open.begin();
    cancel(*Fixture.Pool, Victim->first);
    Open.erase(Victim);
  }

  void releaseOne() {
    if (Out.empty())
      return;
    Lease Of = Out.back();
    Out.pop_back();
    auto Outcome = *rc::gen::element(
        LeaseOutcome::Succeeded, LeaseOutcome::Succeeded, LeaseOutcome::Failed,
        LeaseOutcome::NotStarted, LeaseOutcome::Cancelled);
    Fixture.done(Of, Outcome, milliseconds(*rc::gen::inRange(1, 400)));
  }

  /// Takes the actions into the books and checks them.
  void settle() {
    for (const Lease &Each : Fixture.grants()) {
      const Known &State = Of[Each.Worker.value()];
      RC_ASSERT(!State.Left);
      RC_ASSERT(Fixture.Clock.now() - State.HeardAt < seconds(3));
      Out.push_back(Each);
      Starts[Each.Id] = State.Start;
      RC_ASSERT(Ids.insert(Each.Id).second);
      RC_ASSERT(Open.contains(Each.Request));
      if (--Open[Each.Request] == 0)
        Open.erase(Each.Request);
    }
    for (const Refusal &Each : Fixture.Last.Refusals)
      RC_ASSERT(Open.erase(Each.Request) == 1U);
    checkSlots();
  }

  void checkSlots() {
    std::map<std::string, std::uint32_t> Busy;
    for (const Lease &Each : Out)
      if (Starts[Each.Id] == Of[Each.Worker.value()].Start)
        RC_ASSERT(++Busy[Each.Worker.value()] <= Slots);
  }

  PoolFixture Fixture;
  std::map<std::string, Known> Of;
  std::vector<Lease> Out;
  std::map<LeaseId, std::uint64_t> Starts;
  std::set<LeaseId> Ids;
  /// Accepted requests and their tasks without a lease.
  std::map<RequestId, std::uint32_t> Open;
  int Asked = 0;
};

// Never leases a slot twice, never grants on a leaving or silent worker, and
// serves in full, rejects or cancels every request that it accepted.
RC_GTEST_PROP(PoolPropertyTest, SlotsAndRequestsAreExactUnderAnyEvents, ()) {
  RandomRun Run;
  int Steps = *rc::gen::inRange(1, 200);
  for (int I = 0; I < Steps; ++I)
    Run.step();
  Run.finish();
}

/// The pick as written down: the least busy worker that has a free slot, and
/// of equal ones the one picked longest ago.
struct NaivePool {
  struct Slot {
    std::string Name;
    std::uint32_t Slots;
    std::uint32_t Leased;
    std::uint64_t Picked;
  };

  std::string pick() {
    Slot *Best = nullptr;
    for (Slot &Each : All)
      if (Each.Leased < Each.Slots && (!Best || key(Each) < key(*Best)))
        Best = &Each;
    if (!Best)
      return "";
    ++Best->Leased;
    Best->Picked = ++Picks;
    return Best->Name;
  }

  static std::pair<std::uint32_t, std::uint64_t> key(const Slot &Of) {
    return {Of.Leased * 1024 / Of.Slots, Of.Picked};
  }

  std::vector<Slot> All;
  std::uint64_t Picks = 1000;
};

RC_GTEST_PROP(PoolPropertyTest, PicksTheSameWorkersAsANaiveScan, ()) {
  PoolPolicy Policy;
  Policy.FirstLeases = 100;
  PoolFixture Fixture(Policy);
  NaivePool Naive;
  int Workers = *rc::gen::inRange(1, 12);
  for (int I = 0; I < Workers; ++I) {
    auto Slots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
    std::string Name = "w" + std::to_string(I);
    announce(*Fixture.Pool, worker(Name, Slots), Fixture.Clock.now());
    Naive.All.push_back({Name, Slots, 0, static_cast<std::uint64_t>(I)});
  }
  std::vector<Lease> Out;
  int Steps = *rc::gen::inRange(1, 100);
  for (int I = 0; I < Steps; ++I) {
    if (!Out.empty() && *rc::gen::arbitrary<bool>()) {
      std::size_t Index = *rc::gen::inRange<std::size_t>(0, Out.size());
      for (auto &Each : Naive.All)
        Each.Leased -= Each.Name == Out[Index].Worker.value() ? 1 : 0;
      Fixture.done(Out[Index], LeaseOutcome::Succeeded);
      Out.erase(Out.begin() + static_cast<std::ptrdiff_t>(Index));
    }
    std::string Id = "r" + std::to_string(I);
    Fixture.ask(request(Id));
    std::vector<Lease> Granted = Fixture.grants();
    std::string Wanted = Naive.pick();
    RC_ASSERT(Granted.empty() == Wanted.empty());
    cancel(*Fixture.Pool, RequestId(Id));
    if (Granted.empty())
      continue;
    RC_ASSERT(Granted[0].Worker.value() == Wanted);
    Out.push_back(Granted[0]);
  }
}

} // namespace
} // namespace geraniumbay::dispatch
