//===- entrysidetest.cpp - Tests of learning, budgets and routing ---------===//

#include "dispatch/hedging.h"
#include "dispatch/retrybudget.h"
#include "dispatch/router.h"
#include "dispatch/runtimes.h"
#include "dispatch/tests/poolfixture.h"
#include "framework/random/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <set>

namespace geraniumbay::dispatch {
namespace {

const ServiceId Service("s");
const CallerId Caller("c");

double logError(Duration Predicted, Duration Ran) {
  return std::abs(std::log(static_cast<double>(Predicted.count()) /
                           static_cast<double>(Ran.count())));
}

/// Mean errors of the learned and the declared run time over the second
/// hundred of tasks whose declared time is off by a factor in [Low, High).
std::pair<double, double> errors(double Low, double High) {
  Random Numbers(7);
  RunTimes Times;
  double Learned = 0;
  double Plain = 0;
  Time Now{};
  for (int I = 0; I < 200; ++I) {
    Duration Ran = milliseconds(50 + Numbers.below(950));
    double Factor = Low + Numbers.unit() * (High - Low);
    Duration Declared(
        static_cast<Duration::rep>(static_cast<double>(Ran.count()) * Factor));
    if (I >= 100) {
      Learned += logError(
          expectedRun(Times, Service, Caller, Declared, seconds(1), Now), Ran);
      Plain += logError(Declared, Ran);
    }
    learnRun(Times, Service, Caller, Declared, Ran, Now);
  }
  return {Learned / 100, Plain / 100};
}

TEST(RunTimesTest, LearnedTimesBeatDeclaredOnesThatAreTenTimesOff) {
  auto [Long, LongPlain] = errors(9, 11);
  EXPECT_LT(Long, LongPlain / 5);
  auto [Short, ShortPlain] = errors(0.09, 0.11);
  EXPECT_LT(Short, ShortPlain / 5);
}

TEST(RunTimesTest, LearningDoesNoHarmWhenDeclaredTimesAreRight) {
  auto [Learned, Plain] = errors(0.95, 1.05);
  EXPECT_LE(Learned, Plain * 1.05);
}

TEST(RunTimesTest, WhatIsOldIsForgotten) {
  RunTimes Times;
  for (int I = 0; I < 20; ++I)
    learnRun(Times, Service, Caller, seconds(1), seconds(9), Time{});
  EXPECT_GT(expectedRun(Times, Service, Caller, seconds(1), seconds(1),
                        Time(seconds(59))),
            seconds(8));
  EXPECT_EQ(expectedRun(Times, Service, Caller, seconds(1), seconds(1),
                        Time(seconds(61))),
            seconds(1));
}

RC_GTEST_PROP(RetryBudgetTest, ExtraMessagesStayWithinTheBudget,
              (const std::vector<std::uint8_t> &Events)) {
  RetryPolicy Policy = retryPolicy(MessageWeight::Messages);
  RetryBudget Budget;
  double FirstTries = 0;
  double Extra = 0;
  for (std::uint8_t Event : Events) {
    if (Event % 2 == 0) {
      FirstTries += Event;
      for (int I = 0; I < Event; ++I)
        earn(Budget, Policy);
    } else if (Event % 4 == 1) {
      Extra += takeHedge(Budget, Policy, RequestKind::RepeatableSingle);
    } else {
      Extra +=
          takeRetry(Budget, Policy, RequestKind::RepeatableSingle, 1, true);
    }
    RC_ASSERT(Extra <= FirstTries * Policy.PerTask);
  }
}

TEST(RetryBudgetTest, OnlyWhatMayRepeatIsSentAgain) {
  RetryPolicy Policy = retryPolicy(MessageWeight::Response);
  RetryBudget Budget{Policy.Most};
  for (RequestKind Kind : {RequestKind::Single, RequestKind::Job}) {
    EXPECT_FALSE(takeRetry(Budget, Policy, Kind, 1, true));
    EXPECT_FALSE(takeHedge(Budget, Policy, Kind));
    EXPECT_TRUE(takeRetry(Budget, Policy, Kind, 1, false));
  }
}

TEST(HedgingTest, HedgesOnlyRepeatableSinglesThatAreLate) {
  HedgePolicy Policy = hedgePolicy(MessageWeight::Response);
  LateProfile Profile;
  Duration Expected = milliseconds(100);
  auto Delay = [&](RequestKind Kind) {
    return hedgeDelay(Profile, Policy, Kind, Expected);
  };
  EXPECT_FALSE(Delay(RequestKind::RepeatableSingle));
  for (int I = 0; I < 1000; ++I)
    learnLateness(Profile, Expected, milliseconds(I % 100 == 0 ? 2000 : 300));
  EXPECT_FALSE(Delay(RequestKind::Single));
  EXPECT_FALSE(Delay(RequestKind::Job));
  ASSERT_TRUE(Delay(RequestKind::RepeatableSingle));
  EXPECT_GE(*Delay(RequestKind::RepeatableSingle), milliseconds(300));
  EXPECT_LE(*Delay(RequestKind::RepeatableSingle), milliseconds(400));
}

PoolSummary pool(const std::string &Owner, const std::string &Centre,
                 std::uint32_t Free, std::uint32_t Queued) {
  PoolSummary Result;
  Result.Owner = VmId(Owner);
  Result.DataCentre = DataCentreId(Centre);
  Result.Slots = 128;
  Result.Free = Free;
  Result.RoutineQueued = Queued;
  Result.DrainPerSecond = 320;
  return Result;
}

TEST(RouterTest, StaysLocalWhileSlotsAreFreeAndGoesAwayFromAQueue) {
  std::vector<PoolSummary> Pools = {pool("far", "b", 100, 0),
                                    pool("near", "a", 2, 0)};
  auto Parts = route({}, request("r"), DataCentreId("a"), Pools, {});
  ASSERT_EQ(Parts.size(), 1U);
  EXPECT_EQ(Parts[0].Owner, VmId("near"));
  Pools[1] = pool("near", "a", 0, 50);
  EXPECT_EQ(route({}, request("r"), DataCentreId("a"), Pools, {})[0].Owner,
            VmId("far"));
}

TEST(RouterTest, DoesNotSendAllToAPoolThatLookedFree) {
  std::vector<PoolSummary> Pools = {pool("far", "b", 40, 0),
                                    pool("near", "a", 0, 20)};
  SentTasks Sent{{VmId("far"), 60}};
  EXPECT_EQ(route({}, request("r"), DataCentreId("a"), Pools, Sent)[0].Owner,
            VmId("near"));
}

RC_GTEST_PROP(RouterTest, EveryTaskOfAJobGoesToExactlyOnePool, ()) {
  std::vector<PoolSummary> Pools;
  int Count = *rc::gen::inRange(1, 6);
  Pools.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Pools.push_back(pool("p" + std::to_string(I), I % 2 ? "a" : "b",
                         *rc::gen::inRange(0, 128), *rc::gen::inRange(0, 300)));
  auto Tasks = static_cast<std::uint32_t>(*rc::gen::inRange(1, 201));
  std::uint32_t Given = 0;
  std::set<VmId> Owners;
  for (const RoutePart &Each :
       route({}, request("j", Tasks), DataCentreId("a"), Pools, {})) {
    Given += Each.Tasks;
    RC_ASSERT(Owners.insert(Each.Owner).second);
  }
  RC_ASSERT(Given == Tasks);
}

} // namespace
} // namespace geraniumbay::dispatch
