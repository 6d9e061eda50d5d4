//===- poolsizetest.cpp - Tests of rack grouping --------------------------===//

#include "scheduling/poolsize.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::scheduling {
namespace {

using Racks = std::map<std::string, std::size_t>;

std::map<std::string, std::size_t> sizesOf(const Racks &All,
                                           std::size_t Target) {
  std::map<std::string, std::size_t> Result;
  for (const auto &[Rack, Group] : groupRacks(All, Target))
    Result[Group] += All.at(Rack);
  return Result;
}

Racks evenRacks(std::size_t Count, std::size_t Each) {
  Racks Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result["r" + std::to_string(I)] = Each;
  return Result;
}

TEST(PoolSizeTest, SmallRacksAreJoined) {
  for (std::size_t Each : {4, 6, 8, 12, 20}) {
    auto Sizes = sizesOf(evenRacks(240 / Each, Each), TargetWorkersPerPool);
    EXPECT_EQ(Sizes.size(), 6U) << Each;
    for (const auto &[Group, Workers] : Sizes) {
      EXPECT_GE(Workers, 30U) << Each;
      EXPECT_LE(Workers, 60U) << Each;
    }
  }
}

// Guards against pools whose orders fill the link of their owner.
TEST(PoolSizeTest, OwnersWithNarrowLinksHaveSmallerPools) {
  EXPECT_EQ(workersPerPool({}), TargetWorkersPerPool);
  EXPECT_EQ(workersPerPool({{120, 0}, {120, 25'000}}), TargetWorkersPerPool);
  EXPECT_EQ(workersPerPool({{120, 25'000}, {120, 5'000}}), 20U);
  EXPECT_EQ(workersPerPool({{120, 100}}), 1U);
}

TEST(PoolSizeTest, LargeRacksStayAlone) {
  EXPECT_EQ(sizesOf(evenRacks(4, 50), TargetWorkersPerPool).size(), 4U);
}

TEST(PoolSizeTest, AGroupIsNamedAfterItsFirstRack) {
  auto Groups = groupRacks({{"b", 20}, {"a", 20}}, TargetWorkersPerPool);
  EXPECT_EQ(Groups["a"], "a");
  EXPECT_EQ(Groups["b"], "a");
}

TEST(PoolSizeTest, NoRacksMakeNoGroups) {
  EXPECT_TRUE(groupRacks({}, TargetWorkersPerPool).empty());
}

RC_GTEST_PROP(PoolSizeProperties, EachRackHasAGroupThatIsOneOfItsRacks, ()) {
  auto Counts = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(1, 60));
  Racks All;
  for (std::size_t I = 0; I < Counts.size(); ++I)
    All["r" + std::to_string(I)] = Counts[I];
  auto Groups = groupRacks(All, TargetWorkersPerPool);
  RC_ASSERT(Groups.size() == All.size());
  for (const auto &[Rack, Group] : Groups)
    RC_ASSERT(Groups.at(Group) == Group);
}

} // namespace
} // namespace geraniumbay::scheduling
