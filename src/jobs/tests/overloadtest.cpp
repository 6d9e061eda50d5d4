//===- overloadtest.cpp - An owner that is asked for more than it can order
//===//
//
// The workers have room for all jobs, but the link of the pool's owner does not
// carry the orders to start their tasks, each of which contains the job's
// payload. Sent without a limit the orders waited in the owner's sockets, where
// they outlived their validity, leases lapsed and repeats took what was left
// (docs/incidents/overloaded-owner.md).
//
//===----------------------------------------------------------------------===//

#include "jobs/tests/schedulerfake.h"

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t TasksOfAJob = 8;
constexpr std::size_t PayloadBytes = 1200;
/// The size of an order on the fake link.
constexpr std::size_t OrderBytes = PayloadBytes + 300;
/// 2 Mbit/s.
constexpr std::uint64_t LinkBytesPerMilli = 250;
constexpr Duration PlayTime = 10s;
/// 60 ms of work, stretched by 1.6, and an allowance of 60 ms.
constexpr Duration Objective = 156ms;

class OverloadTest : public SchedulerFake {
protected:
  OverloadTest() {
    Workers.TaskTime = 60ms;
    for (int I = 0; I < 40; ++I)
      Pool_.push_back(Workers.add("10.1.2." + std::to_string(I), "a", 16'000));
  }

  void submit(Scheduler &Owner) {
    Job New = job(true);
    New.Id = JobId("job" + std::to_string(++Submitted_));
    New.Spec.Payload = std::string(PayloadBytes, 'x');
    New.Spec.Steps[0].Count = TasksOfAJob;
    New.Spec.Steps[0].Estimate = 60ms;
    New.Promised = {1.6, 60ms};
    New.Tasks = {std::vector<TaskRecord>(TasksOfAJob)};
    TransientRequest Request;
    Request.TimeLeft = 1500ms;
    Owner.run(New, Request,
              [this, Sent = Clock.now()](const Outcome<TransientEnd> &Ended) {
                Duration Took = Clock.now() - Sent;
                bool Done = Ended && Ended->State == JobState::Completed;
                Served_ += Done && Took <= 3 * Objective ? 1 : 0;
                InTime_ += Done && Took <= Objective ? 1 : 0;
                if (Ended && Ended->State == JobState::Cancelled) {
                  ++Refused_;
                  LongestRefusal_ = std::max(LongestRefusal_, Took);
                }
              });
  }

  /// Submits jobs at an even pace that take \p Load times what the link
  /// carries.
  void play(Scheduler &Owner, double Load, Duration For) {
    double JobsPerMilli = Load * static_cast<double>(LinkBytesPerMilli) /
                          static_cast<double>(OrderBytes * TasksOfAJob);
    std::size_t Sent = 0;
    for (std::size_t Milli = 1; Milli <= static_cast<std::size_t>(For / 1ms);
         ++Milli) {
      for (auto Due = static_cast<std::size_t>(static_cast<double>(Milli) *
                                               JobsPerMilli);
           Sent < Due; ++Sent)
        submit(Owner);
      run(1ms);
    }
  }

  /// The jobs whose orders the link carries in \p For.
  static double carried(Duration For) {
    return static_cast<double>(For / 1ms) *
           static_cast<double>(LinkBytesPerMilli) /
           static_cast<double>(OrderBytes * TasksOfAJob);
  }

  std::unique_ptr<Scheduler> ownerOfAll() {
    auto Owner = owner(1, true, Pool_);
    run(2s);
    Calls.LinkBytesPerMilli = LinkBytesPerMilli;
    return Owner;
  }

  std::vector<WorkerInfo> Pool_;
  std::size_t Submitted_ = 0;
  std::size_t Served_ = 0;
  std::size_t InTime_ = 0;
  std::size_t Refused_ = 0;
  Duration LongestRefusal_{0};
};

// Guards against a service that collapses beyond the capacity of an owner's
// link instead of serving what fits.
TEST_F(OverloadTest, AnOverloadedOwnerServesWhatItsLinkCarries) {
  auto Owner = ownerOfAll();
  play(*Owner, 1.5, PlayTime);
  run(2s);
  EXPECT_GE(static_cast<double>(Served_), 0.7 * carried(PlayTime));
  EXPECT_TRUE(Workers.Doubled.empty());
}

// Guards against jobs that wait for their deadline where it is known that they
// can't be served.
TEST_F(OverloadTest, AnOverloadedOwnerRefusesAtOnceWhatDoesNotFit) {
  auto Owner = ownerOfAll();
  play(*Owner, 2, PlayTime);
  run(2s);
  EXPECT_GE(Served_ + Refused_, Submitted_ * 9 / 10);
  EXPECT_LE(LongestRefusal_, 3 * Objective);
}

// Guards against a collapse that outlasts the overload that caused it.
TEST_F(OverloadTest, AnOwnerRecoversOnceTheLoadFits) {
  auto Owner = ownerOfAll();
  play(*Owner, 3, 3s);
  play(*Owner, 0.5, 2s);
  std::size_t Before = Submitted_;
  InTime_ = 0;
  play(*Owner, 0.5, PlayTime);
  run(2s);
  EXPECT_GE(InTime_, (Submitted_ - Before) * 9 / 10);
}

} // namespace
} // namespace geraniumbay::jobs
