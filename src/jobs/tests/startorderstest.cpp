//===- startorderstest.cpp - Orders that are not answered -----------------===//
//
// Workers leave some orders unanswered and carry them out late. An order to an
// idle worker carries a whole lease, so it is valid for a second; a short task
// that waited for its expiry would end too late to be useful.
//
//===----------------------------------------------------------------------===//

#include "jobs/tests/schedulerfake.h"

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

class StartOrdersTest : public SchedulerFake {
protected:
  StartOrdersTest() { Workers.TaskTime = 60ms; }

  /// Submits the job and loses its first start order.
  std::shared_ptr<std::optional<JobState>> loseFirstOrder(Scheduler &Owner) {
    auto Ended = std::make_shared<std::optional<JobState>>();
    TransientRequest New;
    New.TimeLeft = 5s;
    Faults.LatePercent = 100;
    Owner.run(job(true), New, [Ended](const Outcome<TransientEnd> &Result) {
      ASSERT_TRUE(Result);
      *Ended = Result->State;
    });
    run(5ms);
    Faults.LatePercent = 0;
    return Ended;
  }
};

TEST_F(StartOrdersTest, ALostOrderToAnIdleWorkerIsRevokedAtOnce) {
  auto Owner = owner(1, true, {First, Second});
  run(2s);
  auto Ended = loseFirstOrder(*Owner);
  run(195ms);
  EXPECT_EQ(*Ended, JobState::Completed);
  EXPECT_EQ(Workers.Starts, 1U);
  // The delayed order arrives after it was revoked and starts nothing.
  run(8s);
  EXPECT_EQ(Workers.Starts, 1U);
  EXPECT_TRUE(Workers.Doubled.empty());
}

// Start and stop orders are both lost at random: no task is started elsewhere
// before one of them is known to have arrived or the start order has expired.
TEST_F(StartOrdersTest, NoTaskRunsTwiceWhereAnyOrderMayGetLost) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    Workers.Rng = Random(Seed);
    Faults.LatePercent = 0;
    auto Owner = owner(Seed, true, {First, Second});
    run(500ms);
    Faults.LatePercent = 30;
    Job New = job(true);
    New.Id = JobId("job" + std::to_string(Seed));
    New.Spec.Steps[0].Count = 3;
    New.Tasks = {{TaskRecord(), TaskRecord(), TaskRecord()}};
    TransientRequest Request;
    Request.TimeLeft = 5s;
    Owner->run(New, Request, [](const Outcome<TransientEnd> &) {});
    run(3s);
    ASSERT_TRUE(Workers.Doubled.empty()) << "seed " << Seed;
  }
}

} // namespace
} // namespace geraniumbay::jobs
