//===- lossofalltest.cpp - All entries are lost at once -------------------===//
//
// The load: all entries of a large deployment die at the same moment and start
// again together. Each needs whole lists from one leader, every pool gets a new
// owner and every home a new registrar within the same second, while callers
// come back with their jobs.
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
// waits for any more: it needs several times the patience of a question to
// write the lists for all of them once.
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
  constexpr std::uint64_t QuestionsEach = 12;
  EXPECT_LE(Fake.Net.Sent[wire::method::Sync],
            QuestionsEach * Fake.Entries.size());
}

/// Questions between owners and registrars in the seconds after all have
/// started again, while callers send a job to each entry every 100 ms. There
/// are twice \p PoolsEach pools.
double questionsAfterLoss(int PoolsEach) {
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
  double Questions = 0;
  for (const char *Method : {wire::method::Report, wire::method::Register}) {
    Questions += static_cast<double>(Fake.Net.Sent[Method]);
  }
  Fake.run(2s);
  // All but those of the first moments, in which nobody owns a pool.
  EXPECT_GE(std::count_if(Jobs.begin(), Jobs.end(), served),
            static_cast<std::ptrdiff_t>(Jobs.size() * 9 / 10));
  EXPECT_TRUE(Fake.Workers.Doubled.empty());
  return Questions;
}

// Guards against registrars of many homes that each ask the owners of all
// pools: a further pool costs no more questions where there are many.
TEST(LossOfAllTest, QuestionsToRegistrarsGrowNoFasterThanThePools) {
  constexpr int Few = 2;
  constexpr int Some = 13;
  constexpr int Many = 38;
  double OfFew = questionsAfterLoss(Few);
  double OfSome = questionsAfterLoss(Some);
  double OfMany = questionsAfterLoss(Many);
  EXPECT_LE((OfMany - OfSome) / (Many - Some),
            (OfSome - OfFew) / (Some - Few) * 1.1);
}

/// Pings of an entry in the first moments after all have started again.
double pingsEach(int EntriesEach) {
  EntryFake Fake(EntriesEach, 60);
  ControlFake Control(Fake, "document");
  Fake.run(4s);
  restartAll(Fake);
  Fake.run(500ms);
  return static_cast<double>(Fake.Net.Sent[wire::method::Ping]) /
         static_cast<double>(Fake.Entries.size());
}

// Guards against entries that know nobody yet and ask the whole group.
TEST(LossOfAllTest, PingsOfAnEntryDoNotGrowWithTheGroup) {
  double Few = pingsEach(10);
  EXPECT_LE(pingsEach(30), Few * 1.1);
  EXPECT_LE(pingsEach(90), Few * 1.1);
}

} // namespace
} // namespace geraniumbay::jobs
