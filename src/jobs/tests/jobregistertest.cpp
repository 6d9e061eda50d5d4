//===- jobregistertest.cpp - Which pool runs a job ------------------------===//

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

const FencingToken Earlier(7);
const FencingToken Later(9);

Claimant owner(const PoolName &Pool, FencingToken Token = Earlier,
               std::uint64_t Question = 1) {
  return {Pool, Token, Question};
}

JobRegister newRegister() { return {FencingToken(20), Time()}; }

TEST(JobRegisterTest, TheFirstClaimDecides) {
  JobRegister Register = newRegister();
  EXPECT_EQ(Register.claim(Job, owner(East), Time()),
            (ClaimAnswer{East, false}));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(2ms)).Pool, East);
  EXPECT_EQ(Register.claim(Job, owner(North), Time(4ms)).Pool, East);
  EXPECT_EQ(Register.claim(Job, owner(East, Earlier, 2), Time(5ms)),
            (ClaimAnswer{East, false}));
}

// The refusal of one submission must not affect another submission of the job.
TEST(JobRegisterTest, AClaimMovesOnlyOnceItsOwnerReleasesIt) {
  JobRegister Register = newRegister();
  Register.claim(Job, owner(East), Time());
  EXPECT_EQ(Register.claim(Job, owner(West), Time(5ms)).Pool, East);
  Register.release(Job, owner(West));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(6ms)).Pool, East);
  Register.release(Job, owner(East));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(7ms)).Pool, West);
  EXPECT_EQ(Register.claim(Job, owner(East), Time(8ms)).Pool, West);
}

TEST(JobRegisterTest, AnOwnerThatHasClaimedAgainKeepsItsClaim) {
  JobRegister Register = newRegister();
  Register.claim(Job, owner(East, Earlier, 1), Time());
  Register.claim(Job, owner(East, Earlier, 2), Time(1ms));
  Register.release(Job, owner(East, Earlier, 1));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(2ms)).Pool, East);
}

TEST(JobRegisterTest, ALaterOwnerOfThePoolIsToldThatTheJobMayRun) {
  JobRegister Register = newRegister();
  Register.claim(Job, owner(East), Time());
  EXPECT_EQ(Register.claim(Job, owner(East, Later), Time(1ms)),
            (ClaimAnswer{East, true}));
  Register.release(Job, owner(East));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(2ms)).Pool, East);
}

TEST(JobRegisterTest, ItIsCompleteOnceAllOwnersHaveReported) {
  JobRegister Register = newRegister();
  EXPECT_FALSE(Register.updateCompleteness({East, West}, {North}, Time(1ms)));
  Register.applyReport(owner(East), {Job}, Time(1ms));
  Register.applyReport(owner(North), {}, Time(1ms));
  EXPECT_FALSE(Register.updateCompleteness({East, West}, {North}, Time(2ms)));
  Register.applyReport(owner(West), {}, Time(3ms));
  EXPECT_TRUE(Register.updateCompleteness({East, West}, {North}, Time(3ms)));
  EXPECT_TRUE(Register.isComplete());
  EXPECT_EQ(Register.claim(Job, owner(West), Time(4ms)).Pool, East);
  Register.release(Job, owner(East, Earlier, 5));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(5ms)).Pool, West);
}

// The jobs that they had have ended by then.
TEST(JobRegisterTest, ItWaitsForSilentOwnersForAWhileOnly) {
  JobRegister Far = newRegister();
  Far.applyReport(owner(East), {}, Time());
  EXPECT_FALSE(Far.updateCompleteness({East}, {North}, Time(1519ms)));
  EXPECT_TRUE(Far.updateCompleteness({East}, {North}, Time(1520ms)));
  JobRegister Near = newRegister();
  EXPECT_FALSE(Near.updateCompleteness({East}, {}, Time(2999ms)));
  EXPECT_TRUE(Near.updateCompleteness({East}, {}, Time(3s)));
}

// Guards against a second run beside one of an earlier owner: the later owner
// did not take the job after its first claim, and started it after its second.
TEST(JobRegisterTest, ALaterOwnerIsToldAgainThatTheJobMayRun) {
  JobRegister Register = newRegister();
  Register.claim(Job, owner(East), Time());
  Register.claim(Job, owner(East, Later, 2), Time(1ms));
  EXPECT_EQ(Register.claim(Job, owner(East, Later, 3), Time(2ms)),
            (ClaimAnswer{East, true}));
  Register.applyReport(owner(East, Later, 4), {Job}, Time(3ms));
  EXPECT_EQ(Register.claim(Job, owner(East, Later, 5), Time(4ms)),
            (ClaimAnswer{East, true}));
}

// Guards against a register that is complete on the word of an owner that has
// been replaced: its successor has not promised to obey no earlier registrar.
TEST(JobRegisterTest, AReportDoesNotCountOnceThePoolHasALaterOwner) {
  JobRegister Register = newRegister();
  Register.applyReport(owner(East), {}, Time());
  Register.noteOwner(East, Earlier);
  EXPECT_TRUE(Register.hasReported(East));
  Register.noteOwner(East, Later);
  Register.applyReport(owner(West), {}, Time());
  EXPECT_FALSE(Register.updateCompleteness({East, West}, {}, Time(1ms)));
  Register.applyReport(owner(East, Later), {Job}, Time(2ms));
  EXPECT_TRUE(Register.updateCompleteness({East, West}, {}, Time(2ms)));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(3ms)).Pool, East);
}

// Its pool may still run jobs of an earlier owner.
TEST(JobRegisterTest, ItWaitsLongerForAnOwnerThatDoesNotKnowYet) {
  JobRegister Register = newRegister();
  Register.applyReport(owner(East), {}, Time());
  Register.noteNotReady(Time(1500ms));
  EXPECT_FALSE(Register.updateCompleteness({East}, {North}, Time(1999ms)));
  Register.applyReport(owner(North), {Job}, Time(1999ms));
  EXPECT_TRUE(Register.updateCompleteness({East}, {North}, Time(1999ms)));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(2s)).Pool, North);
}

TEST(JobRegisterTest, AReportedClaimOutlivesAnOlderRelease) {
  JobRegister Register = newRegister();
  Register.applyReport(owner(East, Earlier, 7), {Job}, Time());
  Register.release(Job, owner(East, Earlier, 6));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(1ms)).Pool, East);
  Register.release(Job, owner(East, Earlier, 8));
  EXPECT_EQ(Register.claim(Job, owner(West), Time(2ms)).Pool, West);
}

TEST(JobRegisterTest, ItDoesNotWaitForEntriesThatHaveLongEnded) {
  JobRegister Register(FencingToken(20), Time(10s));
  Register.applyReport(owner(East), {}, Time(10s));
  EXPECT_FALSE(Register.updateCompleteness({East}, {North}, Time(10s)));
  Register.noteEntriesEnded(Time(9s));
  EXPECT_FALSE(Register.updateCompleteness({East}, {North}, Time(10519ms)));
  EXPECT_TRUE(Register.updateCompleteness({East}, {North}, Time(10520ms)));
}

TEST(JobRegisterTest, ClaimsExpireAfterTenSeconds) {
  JobRegister Register = newRegister();
  for (int I = 0; I < 3000; ++I)
    Register.claim(JobId("job" + std::to_string(I)), owner(East),
                   Time(I * 10ms));
  EXPECT_LE(Register.size(), 1001U);
  Register.claim(Job, owner(East), Time(29s));
  // The expiry of a released claim does not remove its successor.
  Register.release(Job, owner(East));
  Register.claim(Job, owner(West), Time(31s));
  EXPECT_EQ(Register.claim(Job, owner(East), Time(40s)).Pool, West);
  EXPECT_EQ(Register.claim(Job, owner(East), Time(42s)).Pool, East);
}

RC_GTEST_PROP(JobRegisterProperties, RemovingAPoolMovesItsOwnJobsOnly, ()) {
  std::vector<PoolName> Pools;
  for (int I = 1; I <= 9; ++I)
    Pools.emplace_back("rack" + std::to_string(I));
  JobId Any(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
  std::optional<PoolName> Before = homeOf(Any, Pools);
  auto Removed = *rc::gen::inRange<std::size_t>(0, Pools.size());
  PoolName Lost = Pools[Removed];
  Pools.erase(Pools.begin() + std::ptrdiff_t(Removed));
  RC_ASSERT(Before == Lost || homeOf(Any, Pools) == Before);
}

TEST(JobRegisterTest, WithoutPoolsThereIsNoHome) {
  EXPECT_EQ(homeOf(Job, {}), std::nullopt);
}

} // namespace
} // namespace geraniumbay::jobs
