//===- jobregistertest.cpp - Which pool a job goes to ---------------------===//

#include "jobs/internal/jobregister.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

const PoolName East("east");
const PoolName West("west");
const PoolName North("north");
const JobId Job("5c0e7a21d94b36f8");

WaiterId waiter(std::uint64_t Entry, std::uint64_t Serial = 1) {
  return {Endpoint{"10.0.0." + std::to_string(Entry), 7000}, 1, Serial};
}

TEST(JobRegisterTest, TheFirstClaimDecides) {
  JobRegister Register;
  EXPECT_EQ(Register.claim(Job, waiter(1), East, {}, Time()), East);
  EXPECT_EQ(Register.claim(Job, waiter(2), West, {}, Time(2ms)), East);
  EXPECT_EQ(Register.claim(Job, waiter(3), North, {}, Time(4ms)), East);
}

TEST(JobRegisterTest, AClaimThatNobodyElseHeardOfMoves) {
  JobRegister Register;
  Register.claim(Job, waiter(1), East, {}, Time());
  EXPECT_EQ(Register.claim(Job, waiter(1), West, {}, Time(50ms)), West);
  EXPECT_EQ(Register.claim(Job, waiter(2), East, {}, Time(60ms)), West);
  // Entry 2 may have sent it to "west" by now.
  EXPECT_EQ(Register.claim(Job, waiter(1), North, {}, Time(90ms)), West);
}

TEST(JobRegisterTest, ARefusedJobMovesOnceForAllWhoWereRefused) {
  JobRegister Register;
  Register.claim(Job, waiter(1), East, {}, Time());
  Register.claim(Job, waiter(2), East, {}, Time());
  EXPECT_EQ(Register.claim(Job, waiter(1), West, {East}, Time(5ms)), West);
  EXPECT_EQ(Register.claim(Job, waiter(2), North, {East}, Time(6ms)), West);
}

TEST(JobRegisterTest, AReleasedJobGoesAnywhereUnlessItIsShared) {
  JobRegister Register;
  Register.claim(Job, waiter(1), East, {}, Time());
  Register.release(Job, waiter(1));
  EXPECT_EQ(Register.claim(Job, waiter(1, 2), West, {}, Time(1s)), West);
  Register.claim(Job, waiter(2), North, {}, Time(1s));
  Register.release(Job, waiter(1, 2));
  EXPECT_EQ(Register.claim(Job, waiter(3), East, {}, Time(1s)), West);
}

TEST(JobRegisterTest, ClaimsAreForgottenAfterThreeSeconds) {
  JobRegister Register;
  for (int I = 0; I < 1000; ++I)
    Register.claim(JobId("job" + std::to_string(I)), waiter(1), East, {},
                   Time(I * 10ms));
  EXPECT_LE(Register.size(), 301U);
  Register.claim(Job, waiter(1), East, {}, Time(9s));
  // A released one does not take its successor along.
  Register.release(Job, waiter(1));
  Register.claim(Job, waiter(1), West, {}, Time(11s));
  EXPECT_EQ(Register.claim(Job, waiter(2), East, {}, Time(13s)), West);
  EXPECT_EQ(Register.claim(Job, waiter(2), East, {}, Time(15s)), East);
}

RC_GTEST_PROP(JobRegisterProperties, APoolThatGoesMovesItsOwnJobsOnly, ()) {
  std::vector<PoolName> Pools;
  for (int I = 1; I <= 9; ++I)
    Pools.emplace_back("rack" + std::to_string(I));
  JobId Any(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
  std::optional<PoolName> Before = homeOf(Any, Pools);
  auto Gone = *rc::gen::inRange<std::size_t>(0, Pools.size());
  PoolName Lost = Pools[Gone];
  Pools.erase(Pools.begin() + std::ptrdiff_t(Gone));
  RC_ASSERT(Before == Lost || homeOf(Any, Pools) == Before);
}

TEST(JobRegisterTest, WithoutPoolsThereIsNoHome) {
  EXPECT_EQ(homeOf(Job, {}), std::nullopt);
}

} // namespace
} // namespace geraniumbay::jobs
