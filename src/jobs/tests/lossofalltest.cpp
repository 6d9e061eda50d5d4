//===- lossofalltest.cpp - All entries are lost at once -------------------===//
//
// All entries of a large deployment crash at the same moment and are restarted
// together. Each needs whole lists from one leader, every pool gets a new owner
// and every home a new registrar within the same second, while callers send
// their jobs again.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/tests/controlfake.h"

#include <gtest/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

void restartAll(EntryFake &Fake) {
  for (std::size_t I = 0; I < Fake.Entries.size(); ++I)
    Fake.crash(I);
  Fake.run(500ms);
  for (std::size_t I = 0; I < Fake.Entries.size(); ++I)
    Fake.start(I);
  Fake.Net.Sent.clear();
}

bool areAllReady(const EntryFake &Fake) {
  return std::all_of(Fake.Entries.begin(), Fake.Entries.end(),
                     [](const FakeEntry &Each) { return Each.Jobs->ready(); });
}

// Guards against entries that keep a leader busy with answers which nobody
// waits for any more: it needs several times the time-out of a request to write
// the lists for all of them once.
TEST(LossOfAllTest, EntriesThatStartTogetherAreServedByASlowLeader) {
  constexpr int EntriesEach = 147;
  EntryFake Fake(EntriesEach, 60);
  ControlFake Control(Fake, "document");
  Fake.run(4s);
  ASSERT_TRUE(areAllReady(Fake));
  constexpr double SlowBytesPerMilli = 5'000;
  Fake.Net.BytesPerMilli[Fake.controlAddress().Address] = SlowBytesPerMilli;
  restartAll(Fake);
  Fake.run(4s);
  EXPECT_TRUE(areAllReady(Fake));
  constexpr std::uint64_t RequestsEach = 12;
  EXPECT_LE(Fake.Net.Sent[wire::method::Sync],
            RequestsEach * Fake.Entries.size());
}

/// The number of requests between owners and registrars in the seconds after
/// all entries were restarted, while callers send a job to each entry every 100
/// ms. There are twice \p PoolsEach pools.
double requestsAfterLoss(int PoolsEach) {
  EntryFake Fake(PoolsEach, PoolsEach, 1, PoolsEach);
  Fake.Workers.TaskTime = 60ms;
  Fake.settleByRack();
  restartAll(Fake);
  std::vector<std::shared_ptr<Submitted>> Jobs;
  constexpr int Steps = 20;
  for (int Step = 0; Step < Steps; ++Step) {
    for (std::size_t I = 0; I < Fake.Entries.size(); ++I)
      Jobs.push_back(Fake.submit(
          I, "job" + std::to_string(Step) + "." + std::to_string(I), 1));
    Fake.run(100ms);
  }
  double Requests = 0;
  for (const char *Method : {wire::method::Report, wire::method::Register}) {
    Requests += static_cast<double>(Fake.Net.Sent[Method]);
  }
  Fake.run(2s);
  // All but those of the first moments, in which nobody owns a pool.
  EXPECT_GE(std::count_if(Jobs.begin(), Jobs.end(), served),
            static_cast<std::ptrdiff_t>(Jobs.size() * 9 / 10));
  EXPECT_TRUE(Fake.Workers.Doubled.empty());
  return Requests;
}

// Guards against registrars of many homes that each ask the owners of all
// pools: an additional pool costs no more requests where there are many.
TEST(LossOfAllTest, QuestionsToRegistrarsGrowNoFasterThanThePools) {
  constexpr int Few = 2;
  constexpr int Some = 13;
  constexpr int Many = 38;
  double OfFew = requestsAfterLoss(Few);
  double OfSome = requestsAfterLoss(Some);
  double OfMany = requestsAfterLoss(Many);
  EXPECT_LE((OfMany - OfSome) / (Many - Some),
            (OfSome - OfFew) / (Some - Few) * 1.1);
}

/// The pings of each entry in the first half second after all were restarted.
double pingsEach(int EntriesEach) {
  EntryFake Fake(EntriesEach, 60);
  ControlFake Control(Fake, "document");
  Fake.run(4s);
  restartAll(Fake);
  Fake.run(500ms);
  return static_cast<double>(Fake.Net.Sent[wire::method::Ping]) /
         static_cast<double>(Fake.Entries.size());
}

// Guards against entries that know no other entry yet and ping the whole group.
TEST(LossOfAllTest, PingsOfAnEntryDoNotGrowWithTheGroup) {
  double Few = pingsEach(10);
  EXPECT_LE(pingsEach(30), Few * 1.1);
  EXPECT_LE(pingsEach(90), Few * 1.1);
}

} // namespace
} // namespace geraniumbay::jobs
